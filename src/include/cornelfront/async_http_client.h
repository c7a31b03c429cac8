#pragma once

/// \file
/// Asynchronous HTTP client: libcurl's multi interface driven by an asio event
/// loop.

#include "cornelfront/http_client.h"

#include <asio.hpp>

#include <functional>
#include <memory>

namespace cornelfront {

struct AsyncHttpClientOptions
{
  /// Connection limit per server; further requests wait for a free connection.
  long maxConnectionsPerHost_ = 8;
};

/// Bounds how long a response may make no progress. A slow transfer goes on for
/// as long as bytes arrive; a silent server is noticed however large the
/// response may be.
struct ProgressLimits
{
  /// From the start of the request, connecting included, to the first byte of
  /// the response.
  Millis firstByte_{ 1000 };
  /// From one byte of the response to the next.
  Millis nextByte_{ 1000 };
};

/// Not thread-safe: all calls must be made, and all callbacks run, on the
/// thread of the event loop.
class AsyncHttpClient
{
public:
  using Callback = std::function<void(HttpResult)>;

  AsyncHttpClient(asio::io_context& aLoop, AsyncHttpClientOptions aOptions);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Starts a request. \p aDone is called once from the event loop, never from
  /// within this call, and not at all if the client is destroyed first.
  void Send(HttpClientRequest aRequest, Callback aDone);
  /// As above; also ends the request when a limit on its progress is reached.
  void Send(HttpClientRequest aRequest, ProgressLimits aLimits, Callback aDone);
  /// True if no request is under way.
  bool Idle() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
