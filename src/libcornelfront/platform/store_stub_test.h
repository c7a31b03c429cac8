#pragma once

/// \file
/// Store of one keyed topic for tests of its readers. It can stop answering,
/// leave single connections silent, and send its answers slowly.

#include "cornelfront/clock.h"
#include "cornelfront/codec.h"
#include "platform/store_client.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <limits>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront::platform {

/// Serves reads on the thread of the event loop, one request at a time on each
/// connection. Appends are answered and not kept.
class StoreStub
{
public:
  struct Pace
  {
    /// Bytes of an answer that are sent at a time; 0 sends all at once.
    size_t bytes_ = 0;
    Millis interval_{ 0 };
  };

  explicit StoreStub(asio::io_context& aLoop)
    : loop_(aLoop)
    , acceptor_(aLoop, { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  /// Appends a record and answers the reads that wait for one.
  void Append(const std::string& aKey, const std::string& aValue)
  {
    records_.push_back({ aKey, aValue });
    for (const auto& connection : connections_) {
      if (connection->waiting_) {
        connection->waiting_ = false;
        Answer(connection, connection->from_);
      }
    }
  }

  /// While silent, requests are taken and never answered, later neither.
  void SetSilent(bool aSilent)
  {
    silent_ = aSilent;
    if (silent_) {
      SilenceOpenConnections();
    }
  }

  /// Nothing is sent any more on the connections that are open now.
  void SilenceOpenConnections()
  {
    for (const auto& connection : connections_) {
      connection->silent_ = true;
      connection->waiting_ = false;
    }
  }

  /// Drops the records before this offset.
  void DropBefore(size_t aFirst) { first_ = aFirst; }
  void SetPace(Pace aPace) { pace_ = aPace; }
  /// Answers of reads have at most this many records.
  void SetMaxRecords(size_t aRecords) { maxRecords_ = aRecords; }
  size_t Requests() const { return requests_; }
  size_t OpenConnections() const { return connections_.size(); }

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aLoop)
      : socket_(aLoop)
      , timer_(aLoop)
    {
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string received_;
    std::string answer_;
    bool silent_ = false;
    /// A read is held until a record comes or its wait has passed.
    bool waiting_ = false;
    size_t from_ = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    auto connection = std::make_shared<Connection>(loop_);
    acceptor_.async_accept(connection->socket_,
                           [this, connection](const asio::error_code& aError) {
                             if (aError) {
                               return;
                             }
                             connection->silent_ = silent_;
                             connections_.push_back(connection);
                             Receive(connection);
                             Accept();
                           });
  }

  void Receive(const ConnectionPtr& aConnection)
  {
    asio::async_read_until(
      aConnection->socket_,
      asio::dynamic_buffer(aConnection->received_),
      "\r\n\r\n",
      [this, aConnection](const asio::error_code& aError, size_t aSize) {
        if (aError) {
          connections_.remove(aConnection);
          return;
        }
        const std::string head = aConnection->received_.substr(0, aSize);
        aConnection->received_.erase(0, aSize);
        ReceiveBody(aConnection, head);
      });
  }

  void ReceiveBody(const ConnectionPtr& aConnection, const std::string& aHead)
  {
    const size_t size = Number(aHead, "Content-Length: ");
    const size_t missing = size - std::min(size, aConnection->received_.size());
    asio::async_read(
      aConnection->socket_,
      asio::dynamic_buffer(aConnection->received_),
      asio::transfer_exactly(missing),
      [this, aConnection, aHead, size](const asio::error_code& aError, size_t) {
        if (aError) {
          connections_.remove(aConnection);
          return;
        }
        aConnection->received_.erase(0, size);
        ++requests_;
        if (!aConnection->silent_) {
          Handle(aConnection, aHead);
        }
        Receive(aConnection);
      });
  }

  static uint64_t Number(const std::string& aHead, const std::string& aName)
  {
    const auto at = aHead.find(aName);
    return at == std::string::npos
             ? 0
             : std::stoull(aHead.substr(at + aName.size()));
  }

  void Handle(const ConnectionPtr& aConnection, const std::string& aHead)
  {
    if (aHead.find("/log-append") != std::string::npos) {
      Send(aConnection, "{}");
      return;
    }
    if (aHead.find("/log-newest") != std::string::npos) {
      Send(aConnection, NewestBody());
      return;
    }
    aConnection->from_ = Number(aHead, "from=");
    if (aConnection->from_ < first_) {
      const nlohmann::json body{ { "first", first_ } };
      Send(aConnection, body.dump(), "410 Gone");
      return;
    }
    if (aConnection->from_ < records_.size()) {
      Answer(aConnection, aConnection->from_);
      return;
    }
    aConnection->waiting_ = true;
    aConnection->timer_.expires_after(Millis(Number(aHead, "waitMs=")));
    aConnection->timer_.async_wait(
      [this, aConnection](const asio::error_code& aError) {
        if (!aError && aConnection->waiting_) {
          aConnection->waiting_ = false;
          Answer(aConnection, aConnection->from_);
        }
      });
  }

  static std::string BigEndian(uint64_t aNumber)
  {
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
      bytes.push_back(
        static_cast<char>(aNumber >> static_cast<unsigned>(shift)));
    }
    return bytes;
  }

  void Answer(const ConnectionPtr& aConnection, size_t aFrom)
  {
    std::string body = BigEndian(records_.size()) + BigEndian(first_);
    const size_t end = std::min(records_.size(), aFrom + maxRecords_);
    for (size_t i = aFrom; i < end; ++i) {
      body += EncodeRecord(records_[i]);
    }
    Send(aConnection, body);
  }

  std::string NewestBody() const
  {
    std::map<std::string, std::string> newest;
    for (const KeyedRecord& record : records_) {
      newest[record.key_] = record.value_;
    }
    nlohmann::json body{ { "items", nlohmann::json::array() },
                         { "hasMore", false },
                         { "end", records_.size() } };
    for (const auto& [key, value] : newest) {
      body["items"].push_back(
        { { "key", key }, { "value", EncodeBase64(value) }, { "offset", 0 } });
    }
    return body.dump();
  }

  void Send(const ConnectionPtr& aConnection,
            const std::string& aBody,
            const std::string& aStatus = "200 OK")
  {
    aConnection->answer_ = "HTTP/1.1 " + aStatus + "\r\nContent-Length: " +
                           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    SendNext(aConnection);
  }

  void SendNext(const ConnectionPtr& aConnection)
  {
    if (aConnection->silent_ || aConnection->answer_.empty()) {
      return;
    }
    const size_t size = pace_.bytes_ == 0
                          ? aConnection->answer_.size()
                          : std::min(pace_.bytes_, aConnection->answer_.size());
    asio::error_code error;
    asio::write(aConnection->socket_,
                asio::buffer(aConnection->answer_.data(), size),
                error);
    aConnection->answer_.erase(0, size);
    if (error || aConnection->answer_.empty()) {
      return;
    }
    aConnection->timer_.expires_after(pace_.interval_);
    aConnection->timer_.async_wait(
      [this, aConnection](const asio::error_code& aError) {
        if (!aError) {
          SendNext(aConnection);
        }
      });
  }

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::list<ConnectionPtr> connections_;
  std::vector<KeyedRecord> records_;
  Pace pace_;
  size_t maxRecords_ = std::numeric_limits<uint32_t>::max();
  size_t requests_ = 0;
  size_t first_ = 0;
  bool silent_ = false;
};

} // namespace cornelfront::platform
