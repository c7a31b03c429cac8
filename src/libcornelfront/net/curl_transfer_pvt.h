#pragma once

/// \file
/// One exchange of an HttpClientRequest on a libcurl easy handle; shared by
/// the blocking and the asynchronous client.

#include "cornelfront/http_client.h"

#include <curl/curl.h>

namespace cornelfront {

/// Initialises libcurl on the first call.
void
InitializeCurlOnce();

/// Header list that frees itself.
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

/// Must stay where it is, with its request, until the exchange has ended.
class CurlTransfer
{
public:
  explicit CurlTransfer(const HttpClientRequest& aRequest);
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  /// Sets up a handle that was reset.
  void Prepare(CURL* aEasy);
  /// The result after the exchange has ended with \p aCode.
  HttpResult Take(CURL* aEasy, CURLcode aCode);

private:
  static size_t CollectBody(char* aData,
                            size_t aSize,
                            size_t aCount,
                            void* aTransfer);

  const HttpClientRequest& request_;
  const CurlHeaders headers_;
  HttpResult result_;
};

} // namespace cornelfront
