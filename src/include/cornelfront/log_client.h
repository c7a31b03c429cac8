#pragma once

/// \file
/// Client of the platform's append-only log service.
///
/// Protocol of the service, HTTP with JSON bodies:
///   POST /streams/<stream>/records        body: the record, opaque text
///     -> 200 {"offset": N}                once the record is durable
///   GET  /streams/<stream>/records?from=N&max=M&wait_ms=W
///     -> 200 {"first": F, "next": X,
///             "records": [{"offset": N, "body": "..."}]}
/// F is the oldest offset still retained and X the offset of the next append. A
/// read returns immediately if there are records at or after `from`, otherwise
/// after at most W milliseconds. A read returns every record whose append was
/// acknowledged before the read arrived. Status 503 means that the service is
/// down. An append whose response was lost may or may not have taken effect.

#include "cornelfront/clock.h"
#include "cornelfront/http_client.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelfront {

/// The log could not be reached or returned an error. An append that fails with
/// this exception may still have taken effect.
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
  /// Offset of the next append.
  uint64_t next_ = 0;
  std::vector<LogRecord> records_;
};

struct LogReadOptions
{
  uint64_t from_ = 0;
  uint64_t maxRecords_ = 1000;
  /// How long the service may delay the response while there is no new record
  /// (long poll).
  Millis wait_{ 0 };
  Millis timeout_{ 2000 };
};

struct LogClientOptions
{
  /// "http://<ip>:<port>"
  std::string url_;
  std::string stream_ = "config";
};

/// Reads from and appends to one stream. Not thread-safe: use one object per
/// thread.
class LogClient
{
public:
  explicit LogClient(LogClientOptions aOptions);

  /// Appends a record and returns its offset.
  /// \throws LogUnavailable
  uint64_t Append(const std::string& aBody, Millis aTimeout);

  /// Reads records, waiting for new ones up to LogReadOptions::wait_.
  /// \throws LogUnavailable
  LogPage Read(const LogReadOptions& aOptions);

private:
  LogClientOptions options_;
  HttpClient http_;
};

} // namespace cornelfront
