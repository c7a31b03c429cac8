#include "http_caller.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cornelfront {

namespace {

constexpr long kTimeoutMs = 60000;

size_t
AppendBody(char* aData, size_t aSize, size_t aCount, void* aTarget)
{
  static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
  return aSize * aCount;
}

size_t
AddHeader(char* aData, size_t aSize, size_t aCount, void* aTarget)
{
  auto& headers = *static_cast<std::map<std::string, std::string>*>(aTarget);
  const std::string line(aData, aSize * aCount);
  const size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
    const size_t first = line.find_first_not_of(' ', colon + 1);
    const size_t last = line.find_last_not_of("\r\n");
    headers[name] = first == std::string::npos || last < first
                      ? ""
                      : line.substr(first, last - first + 1);
  }
  return aSize * aCount;
}

} // namespace

struct LoadHttpClient::Exchange
{
  ~Exchange() { curl_slist_free_all(headers_); }

  curl_slist* headers_ = nullptr;
  std::string body_;
  LoadHttpResponse response_;
  Done done_;
};

LoadHttpClient::LoadHttpClient()
  : multi_(curl_multi_init())
{
}

LoadHttpClient::~LoadHttpClient()
{
  for (const auto& [handle, exchange] : exchanges_) {
    curl_multi_remove_handle(multi_, handle);
    curl_easy_cleanup(handle);
  }
  for (CURL* handle : idle_) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(multi_);
}

void
LoadHttpClient::Post(const std::string& aUrl,
                     const std::vector<std::string>& aHeaders,
                     std::string aBody,
                     Done aDone)
{
  CURL* handle = idle_.empty() ? curl_easy_init() : idle_.back();
  if (!idle_.empty()) {
    idle_.pop_back();
    curl_easy_reset(handle);
  }
  auto exchange = std::make_unique<Exchange>();
  for (const std::string& header : aHeaders) {
    exchange->headers_ = curl_slist_append(exchange->headers_, header.c_str());
  }
  exchange->body_ = std::move(aBody);
  exchange->done_ = std::move(aDone);
  curl_easy_setopt(handle, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, exchange->headers_);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, exchange->body_.data());
  curl_easy_setopt(
    handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(exchange->body_.size()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &exchange->response_.body_);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &AddHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &exchange->response_.headers_);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  exchanges_.emplace(handle, std::move(exchange));
  curl_multi_add_handle(multi_, handle);
}

void
LoadHttpClient::Poll(Millis aTimeout)
{
  int running = 0;
  curl_multi_perform(multi_, &running);
  curl_multi_poll(
    multi_, nullptr, 0, static_cast<int>(aTimeout.count()), nullptr);
  curl_multi_perform(multi_, &running);
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void
LoadHttpClient::Finish(CURL* aHandle, CURLcode aCode)
{
  auto found = exchanges_.find(aHandle);
  const std::unique_ptr<Exchange> exchange = std::move(found->second);
  exchanges_.erase(found);
  curl_multi_remove_handle(multi_, aHandle);
  if (aCode == CURLE_OK) {
    curl_easy_getinfo(
      aHandle, CURLINFO_RESPONSE_CODE, &exchange->response_.status_);
  }
  idle_.push_back(aHandle);
  exchange->done_(exchange->response_);
}

} // namespace cornelfront
