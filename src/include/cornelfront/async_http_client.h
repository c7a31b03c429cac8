#pragma once

/// \file
/// HTTP client for processes that run on one event loop: libcurl's sockets and
/// timer are served by asio.

#include "cornelfront/http_client.h"

#include <asio.hpp>

#include <functional>
#include <memory>

namespace cornelfront {

struct AsyncHttpClientOptions
{
  /// Connections to one server; further requests wait for one of them.
  long maxConnectionsPerHost_ = 8;
};

/// All calls and callbacks are on the thread of the event loop.
class AsyncHttpClient
{
public:
  using Callback = std::function<void(HttpResult)>;

  AsyncHttpClient(asio::io_context& aLoop, AsyncHttpClientOptions aOptions);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Begins one exchange. \p aDone is called once, from the loop, never from
  /// inside this call; not at all if the client is destroyed before.
  void Send(HttpClientRequest aRequest, Callback aDone);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
