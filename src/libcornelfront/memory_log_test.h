#pragma once

/// \file
/// In-memory append-only log served over HTTP, for tests.

#include "cornelfront/config.h"
#include "cornelfront/http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cornelfront {

/// HTTP server of an in-memory log. Answers every read immediately, without the
/// long poll of the real log.
class InMemoryLogServer
{
public:
  InMemoryLogServer()
    : server_({}, [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      Handle(aRequest, aReply);
    })
  {
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(server_.Port());
  }

  void Append(const std::string& aBody)
  {
    std::lock_guard lock(mutex_);
    records_.push_back(aBody);
  }

  void AppendZone(uint64_t aBase, const std::string& aText)
  {
    Append(EncodeConfigRecord(
      ConfigChange{ .key_ = "zone/a", .base_ = { aBase }, .text_ = aText }));
  }

  void AppendEntryZones(const std::string& aZones)
  {
    Append(EncodeConfigRecord(
      ConfigChange{ .key_ = "entry_zones", .text_ = aZones }));
  }

  void TruncateBefore(uint64_t aFirst)
  {
    std::lock_guard lock(mutex_);
    first_ = aFirst;
  }

  size_t Size()
  {
    std::lock_guard lock(mutex_);
    return records_.size();
  }

  /// Called with the lock held, before each append takes effect.
  std::function<void(std::vector<std::string>&)> beforeAppend_;
  /// Number of next appends that take effect but are answered 500.
  std::atomic<int> responsesToLose_ = 0;
  /// Number of next appends that are answered 503 and take no effect.
  std::atomic<int> appendsToRefuse_ = 0;
  std::atomic<bool> unavailable_ = false;
  std::atomic<bool> unresponsive_ = false;

private:
  void Handle(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    std::lock_guard lock(mutex_);
    if (unresponsive_) {
      pendingReplies_.push_back(aReply);
    } else if (unavailable_) {
      aReply.Send({ .status_ = 503 });
    } else if (aRequest.method_ == "POST") {
      AppendLocked(aRequest.body_, aReply);
    } else {
      aReply.Send({ .body_ = PageLocked(std::stoull(aRequest.Query("from"))) });
    }
  }

  void AppendLocked(const std::string& aBody, const HttpReply& aReply)
  {
    if (appendsToRefuse_ > 0) {
      --appendsToRefuse_;
      aReply.Send({ .status_ = 503 });
      return;
    }
    if (beforeAppend_) {
      beforeAppend_(records_);
    }
    records_.push_back(aBody);
    if (responsesToLose_ > 0) {
      --responsesToLose_;
      aReply.Send({ .status_ = 500 });
      return;
    }
    const nlohmann::json answer = { { "offset", records_.size() - 1 } };
    aReply.Send({ .body_ = answer.dump() });
  }

  std::string PageLocked(uint64_t aFrom)
  {
    nlohmann::json records = nlohmann::json::array();
    for (uint64_t i = std::max(aFrom, first_); i < records_.size(); ++i) {
      records.push_back({ { "offset", i }, { "body", records_[i] } });
    }
    const nlohmann::json page = { { "first", first_ },
                                  { "next", records_.size() },
                                  { "records", std::move(records) } };
    return page.dump();
  }

  std::mutex mutex_;
  uint64_t first_ = 0;
  std::vector<std::string> records_;
  std::vector<HttpReply> pendingReplies_;
  HttpServer server_;
};

} // namespace cornelfront
