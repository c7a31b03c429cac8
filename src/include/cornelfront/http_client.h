#pragma once

/// \file
/// Blocking HTTP client on libcurl that tells whether a failed request can
/// have reached the server.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"

#include <atomic>
#include <string>
#include <utility>
#include <vector>

namespace cornelfront {

enum class HttpFailure
{
  None,
  /// No byte of the request left this process.
  NotSent,
  /// The server may have received and acted on the request.
  MayHaveBeenSent,
};

struct HttpResult
{
  HttpFailure failure_ = HttpFailure::None;
  /// libcurl's description when failure_ is not None.
  std::string error_;
  HttpResponse response_;

  /// True if a response with a 2xx status arrived.
  bool Ok() const
  {
    return failure_ == HttpFailure::None && response_.status_ / 100 == 2;
  }
};

struct HttpClientRequest
{
  std::string method_ = "GET";
  std::string url_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  Millis connectTimeout_{ 1000 };
  /// Bound on the whole exchange.
  Millis timeout_{ 10000 };
  /// A larger response fails the exchange, as MayHaveBeenSent.
  size_t maxResponseBytes_ = 16U << 20;
  /// Uses a connection of its own. libcurl silently sends a request again when
  /// a reused connection turns out closed; a request that must not be repeated
  /// needs a new one.
  bool freshConnection_ = false;
};

/// One connection cache; use one object per thread.
class HttpClient
{
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Performs one exchange; never throws for network failures. Setting
  /// \p aAbort from another thread ends the exchange early.
  HttpResult Perform(const HttpClientRequest& aRequest,
                     const std::atomic<bool>* aAbort = nullptr);

private:
  void* easy_;
};

} // namespace cornelfront
