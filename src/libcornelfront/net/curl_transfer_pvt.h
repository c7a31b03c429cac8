#pragma once

/// \file
/// Transfer of one HttpClientRequest on a libcurl easy handle; shared by the
/// blocking and the asynchronous client.

#include "cornelfront/http_client.h"

#include <curl/curl.h>

#include <optional>

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

/// State of one transfer. libcurl holds pointers into this object and its
/// request, so both must stay at their address until the transfer has ended.
class CurlTransfer
{
public:
  explicit CurlTransfer(const HttpClientRequest& aRequest);
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// Sets all options of a newly created or reset handle.
  void Prepare(CURL* aEasy);
  /// Moves out the result after the transfer has ended with \p aCode.
  HttpResult TakeResult(CURL* aEasy, CURLcode aCode);
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
  /// libcurl was kept from issuing the request again.
  bool repeatPrevented_ = false;
  const CurlHeaders headers_;
  HttpResult result_;
  std::optional<MonoTime> lastByte_;
};

} // namespace cornelfront
