#pragma once

/// \file
/// HTTP server on libmicrohttpd whose answers may be sent later, from any
/// thread, without holding a thread per open request.

#include "cornelfront/clock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelfront {

/// One complete HTTP request.
struct HttpRequest
{
  std::string method_;
  std::string path_;
  /// Query arguments, decoded, and joined by "," if they occur several times.
  std::map<std::string, std::string> query_;
  /// Header fields under their lowercase names; the values of a field that
  /// occurs several times are joined by ", ".
  std::map<std::string, std::string> headers_;
  std::string body_;

  /// Returns the header \p aLowercaseName, or \p aDefault if it is absent.
  std::string Header(const std::string& aLowercaseName,
                     const std::string& aDefault = "") const;
  /// Returns the query argument \p aName, or \p aDefault if it is absent.
  std::string Query(const std::string& aName,
                    const std::string& aDefault = "") const;
};

/// One HTTP response.
struct HttpResponse
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
};

/// The right to answer one request. Copies share it; only the first Send has
/// an effect, and dropping every copy unsent answers 500.
class HttpReply
{
public:
  struct State;

  explicit HttpReply(std::shared_ptr<State> aState);

  /// Sends the response; thread-safe. Later calls do nothing.
  void Send(HttpResponse aResponse) const;

  /// Calls \p aGone once if the client closes its connection before the answer
  /// is sent. Only on a server with an event loop, from its thread; does
  /// nothing on others.
  void WhenClientLeaves(std::function<void()> aGone) const;

private:
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

struct HttpServerOptions
{
  std::string address_ = "127.0.0.1";
  /// 0 picks a free port.
  uint16_t port_ = 0;
  unsigned threads_ = 2;
  /// Serves on this loop instead of threads of its own. The handler and all
  /// answers are then on the loop's thread.
  asio::io_context* loop_ = nullptr;
  size_t maxBodyBytes_ = 16U << 20;
  /// A connection with no traffic for this long is closed.
  std::chrono::seconds idleTimeout_{ 30 };
  /// A request that has not arrived whole this long after its first line gets
  /// 408 and its connection is closed.
  Millis requestReceiveLimit_{ 30000 };
  unsigned maxConnections_ = 4096;
};

/// Serves until destroyed. Errors that the server answers itself carry the
/// outcome header and a JSON body as described in docs/API.md. The handler runs
/// on the server's threads and must not block for long.
class HttpServer
{
public:
  /// \throws std::runtime_error if the address cannot be bound.
  HttpServer(HttpServerOptions aOptions, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The bound port.
  uint16_t Port() const;

  /// Requests that have begun to arrive and whose response is not yet written.
  size_t OpenRequests() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace cornelfront
