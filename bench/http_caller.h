#pragma once

/// \file
/// Many HTTP exchanges at once on one thread.

#include "cornelfront/clock.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelfront {

struct CallerResponse
{
  /// 0 if the exchange failed.
  long status_ = 0;
  /// Header fields under their lowercase names.
  std::map<std::string, std::string> headers_;
  std::string body_;
};

/// Not thread-safe.
class HttpCaller
{
public:
  using Done = std::function<void(const CallerResponse&)>;

  HttpCaller();
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /// Starts a POST; \p aDone is called from Poll.
  void Post(const std::string& aUrl,
            const std::vector<std::string>& aHeaders,
            std::string aBody,
            Done aDone);

  /// Makes progress for at most \p aTimeout.
  void Poll(Millis aTimeout);

  size_t OpenCount() const { return exchanges_.size(); }

private:
  struct Exchange;

  void Finish(CURL* aHandle, CURLcode aCode);

  CURLM* multi_;
  std::map<CURL*, std::unique_ptr<Exchange>> exchanges_;
  std::vector<CURL*> idle_;
};

} // namespace cornelfront
