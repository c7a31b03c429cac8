#pragma once

/// \file
/// Client of the platform's append-only log service.
///
/// The published protocol, over HTTP/JSON:
///   POST /streams/<stream>/records        body: the record, opaque text
///     -> 200 {"offset": N}                once the record is durable
///   GET  /streams/<stream>/records?from=N&max=M&wait_ms=W
///     -> 200 {"first": F, "next": X,
///             "records": [{"offset": N, "body": "..."}]}
/// F is the oldest offset still retained and X the offset that the next
/// append will get. A read answers at once if there are records at or after
/// `from`, else after W milliseconds. Reads reflect every append that was
/// acknowledged before the read arrived. 503 means that the service is down;
/// a lost answer to an append says nothing about its effect.

#include "cornelfront/clock.h"
#include "cornelfront/http_client.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// The log could not be reached or refused. An append that failed this way
/// may nevertheless have taken effect.
class LogUnavailable : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct LogRecord
{
  uint64_t offset_ = 0;
  std::string body_;
};

struct LogPage
{
  /// Oldest offset that is still retained.
  uint64_t first_ = 0;
  /// Offset that the next append will get.
  uint64_t next_ = 0;
  std::vector<LogRecord> records_;
};

struct LogReadOptions
{
  uint64_t from_ = 0;
  uint64_t maxRecords_ = 1000;
  /// How long the service may hold the answer while there is no new record.
  Millis wait_{ 0 };
  Millis timeout_{ 2000 };
};

struct LogClientOptions
{
  /// "http://<ip>:<port>"
  std::string url_;
  std::string stream_ = "config";
};

/// Reads and appends one stream; use one object per thread.
class LogClient
{
public:
  explicit LogClient(LogClientOptions aOptions);

  /// Returns the offset of the appended record.
  /// \throws LogUnavailable
  uint64_t Append(const std::string& aBody, Millis aTimeout);

  /// \throws LogUnavailable
  LogPage Read(const LogReadOptions& aOptions);

private:
  LogClientOptions options_;
  HttpClient http_;
};

} // namespace cornelfront
