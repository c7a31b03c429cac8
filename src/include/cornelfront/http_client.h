#pragma once

/// \file
/// Blocking HTTP client based on libcurl. A failed request is reported together
/// with whether it may have reached the server. Only a GET is issued a
/// second time, so that an error status speaks for the whole call.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelfront {

/// Whether a failed request may have had an effect on the server.
enum class HttpFailure
{
  None,
  /// No byte of the request was sent.
  NotSent,
  /// The server may have received and acted on the request.
  MayHaveBeenSent,
};

struct HttpResult
{
  HttpFailure failure_ = HttpFailure::None;
  /// Error message of libcurl if failure_ is not None.
  std::string error_;
  HttpResponse response_;
  /// Bytes of the response that arrived, headers included, also if it was cut
  /// off.
  size_t receivedBytes_ = 0;
  /// The request opened a connection of its own.
  bool openedConnection_ = false;
  /// Times the request was issued, repeats by libcurl included.
  int issued_ = 0;

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
  /// Timeout of the whole request, connecting included.
  Millis timeout_{ 10000 };
  /// A larger response body aborts the request with MayHaveBeenSent.
  size_t maxResponseBytes_ = 16U << 20;
  /// Uses a new connection, so that the request is not lost on one that the
  /// server is about to close.
  bool freshConnection_ = false;
};

class CurlSockets;

/// Owns a libcurl handle with its connection cache. Not thread-safe: use one
/// object per thread.
class HttpClient
{
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Performs a request and waits for the response. Network failures are
  /// reported in the result, never thrown. Setting \p aAbort from another
  /// thread aborts the request.
  HttpResult Perform(const HttpClientRequest& aRequest,
                     const std::atomic<bool>* aAbort = nullptr);

private:
  std::unique_ptr<CurlSockets> sockets_;
  void* easy_;
};

} // namespace cornelfront
