#pragma once

/// \file
/// Asynchronous HTTP client: many concurrent requests on one thread.

#include "cornelfront/clock.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront {

struct LoadHttpResponse
{
  /// HTTP status; 0 if the exchange failed.
  long status_ = 0;
  /// Header fields under their lowercase names.
  std::map<std::string, std::string> headers_;
  std::string body_;
};

/// Asynchronous HTTP client on a libcurl multi handle. Connections are kept
/// open and reused. Not thread-safe.
class LoadHttpClient
{
public:
  using Done = std::function<void(const LoadHttpResponse&)>;

  LoadHttpClient();
  ~LoadHttpClient();
  LoadHttpClient(const LoadHttpClient&) = delete;
  LoadHttpClient& operator=(const LoadHttpClient&) = delete;

  /// Starts a POST request; \p aDone is called from Poll once it has ended.
  void Post(const std::string& aUrl,
            const std::vector<std::string>& aHeaders,
            std::string aBody,
            Done aDone);

  /// Processes network events and calls the callbacks of ended requests; waits
  /// for at most \p aTimeout.
  void Poll(Millis aTimeout);

  /// Number of requests that have not ended.
  size_t PendingCount() const { return exchanges_.size(); }

private:
  struct Exchange;

  void Finish(CURL* aHandle, CURLcode aCode);

  CURLM* multi_;
  std::map<CURL*, std::unique_ptr<Exchange>> exchanges_;
  std::vector<CURL*> idle_;
};

} // namespace cornelfront
