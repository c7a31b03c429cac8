#pragma once

/// \file
/// Transfer of one HttpClientRequest on a libcurl easy handle; shared by the
/// blocking and the asynchronous client.

#include "cornelfront/http_client.h"

#include <curl/curl.h>

#include <map>
#include <optional>
#include <string_view>

namespace cornelfront {

/// Initialises libcurl on the first call.
void
InitializeCurlOnce();

/// Owns a libcurl header list.
class CurlHeaders
{
public:
  explicit CurlHeaders(
    const std::vector<std::pair<std::string, std::string>>& aHeaders);
  ~CurlHeaders();
  CurlHeaders(const CurlHeaders&) = delete;
  CurlHeaders& operator=(const CurlHeaders&) = delete;

  curl_slist* Get() const { return list_; }

private:
  void Append(const std::string& aLine);

  curl_slist* list_ = nullptr;
};

/// Open sockets of the connections of one client. libcurl holds a pointer to
/// this object until the last of them is closed.
class CurlSockets
{
public:
  CurlSockets() = default;
  CurlSockets(const CurlSockets&) = delete;
  CurlSockets& operator=(const CurlSockets&) = delete;

  /// Opens a socket, which Close closes.
  curl_socket_t Open(const curl_sockaddr& aAddress);
  /// Function that libcurl calls to close a socket of \p aSockets.
  static int Close(void* aSockets, curl_socket_t aSocket);
  /// True if neither data nor the end of the connection has arrived on the
  /// connection from this port. libcurl would read such data as the response
  /// to the next request.
  bool IsQuiet(int aLocalPort);

private:
  /// Local port of each open socket; 0 until it has been read.
  std::map<curl_socket_t, int> ports_;
};

/// State of one transfer. libcurl holds pointers into this object and its
/// request, so both must stay at their address until the transfer has ended.
class CurlTransfer
{
public:
  CurlTransfer(const HttpClientRequest& aRequest, CurlSockets& aSockets);
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// Sets all options of a newly created or reset handle.
  void Prepare(CURL* aEasy);
  /// Moves out the result after the transfer has ended with \p aCode.
  HttpResult TakeResult(CURL* aEasy, CURLcode aCode);
  /// Returns true once the request has been issued.
  bool Issued() const { return result_.issued_ > 0; }
  /// Returns when the newest byte of the response arrived, or nothing if none
  /// has.
  std::optional<MonoTime> LastByte() const { return lastByte_; }

private:
  /// True if the request may be issued now. libcurl issues it again by itself
  /// when a connection that was used before closes without a response; the
  /// answer to a repeat would tell nothing of what the first issue has done.
  bool MayIssue() const;
  /// Called by libcurl each time it is about to issue the request.
  static int BeforeIssue(void* aTransfer,
                         char* aServerIp,
                         char* aLocalIp,
                         int aServerPort,
                         int aLocalPort);
  /// Called by libcurl when it needs a new connection.
  static curl_socket_t OpenSocket(void* aTransfer,
                                  curlsocktype aPurpose,
                                  curl_sockaddr* aAddress);
  static size_t CollectHeader(char* aData,
                              size_t aSize,
                              size_t aCount,
                              void* aTransfer);
  static size_t CollectBody(char* aData,
                            size_t aSize,
                            size_t aCount,
                            void* aTransfer);

  const HttpClientRequest& request_;
  CurlSockets& sockets_;
  /// Why libcurl was kept from issuing the request; empty if it was not.
  std::string_view preventedBy_;
  const CurlHeaders headers_;
  HttpResult result_;
  std::optional<MonoTime> lastByte_;
};

} // namespace cornelfront
