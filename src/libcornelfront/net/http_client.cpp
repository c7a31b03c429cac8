#include "cornelfront/http_client.h"

#include <curl/curl.h>

#include <mutex>
#include <stdexcept>

namespace cornelfront {

namespace {

void
InitializeCurlOnce()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// Where a response body goes, and its bound.
struct BodyTarget
{
  std::string& body_;
  size_t maxBytes_;
};

size_t
CollectBody(char* aData, size_t aSize, size_t aCount, void* aTarget)
{
  auto* target = static_cast<BodyTarget*>(aTarget);
  const size_t bytes = aSize * aCount;
  if (target->body_.size() + bytes > target->maxBytes_) {
    return 0; // libcurl ends the exchange
  }
  target->body_.append(aData, bytes);
  return bytes;
}

size_t
CollectHeader(char* aData, size_t aSize, size_t aCount, void* aTarget)
{
  const std::string line(aData, aSize * aCount);
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r\n");
    std::string value;
    if (first != std::string::npos && last >= first) {
      value = line.substr(first, last - first + 1);
    }
    static_cast<HttpResponse*>(aTarget)->headers_.emplace_back(
      std::move(name), std::move(value));
  }
  return aSize * aCount;
}

int
CheckAbort(void* aFlag, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  const auto* flag = static_cast<const std::atomic<bool>*>(aFlag);
  return flag->load() ? 1 : 0;
}

/// Header list that frees itself.
class HeaderList
{
public:
  explicit HeaderList(
    const std::vector<std::pair<std::string, std::string>>& aHeaders)
  {
    Append("Expect:"); // no 100-continue round trip
    for (const auto& [name, value] : aHeaders) {
      Append(name + ": " + value);
    }
  }
  ~HeaderList() { curl_slist_free_all(list_); }
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;

  curl_slist* Get() const { return list_; }

private:
  void Append(const std::string& aLine)
  {
    list_ = curl_slist_append(list_, aLine.c_str());
  }

  curl_slist* list_ = nullptr;
};

void
SetBody(CURL* aEasy, const HttpClientRequest& aRequest)
{
  if (aRequest.method_ == "GET") {
    curl_easy_setopt(aEasy, CURLOPT_HTTPGET, 1L);
    return;
  }
  curl_easy_setopt(aEasy, CURLOPT_POST, 1L);
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aRequest.method_.c_str());
  curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aRequest.body_.data());
  curl_easy_setopt(aEasy,
                   CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(aRequest.body_.size()));
}

HttpFailure
Classify(CURL* aEasy, CURLcode aCode)
{
  if (aCode == CURLE_OK) {
    return HttpFailure::None;
  }
  long sentBytes = 0;
  curl_easy_getinfo(aEasy, CURLINFO_REQUEST_SIZE, &sentBytes);
  return sentBytes == 0 ? HttpFailure::NotSent : HttpFailure::MayHaveBeenSent;
}

} // namespace

HttpClient::HttpClient()
{
  InitializeCurlOnce();
  easy_ = curl_easy_init();
  if (easy_ == nullptr) {
    throw std::runtime_error("curl_easy_init failed");
  }
}

HttpClient::~HttpClient()
{
  curl_easy_cleanup(easy_);
}

HttpResult
HttpClient::Perform(const HttpClientRequest& aRequest,
                    const std::atomic<bool>* aAbort)
{
  HttpResult result;
  const HeaderList headers(aRequest.headers_);
  BodyTarget body{ result.response_.body_, aRequest.maxResponseBytes_ };
  curl_easy_reset(easy_);
  SetBody(easy_, aRequest);
  curl_easy_setopt(easy_, CURLOPT_URL, aRequest.url_.c_str());
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers.Get());
  curl_easy_setopt(easy_,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(aRequest.connectTimeout_.count()));
  curl_easy_setopt(
    easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout_.count()));
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &CollectBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &body);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &CollectHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &result.response_);
  if (aRequest.freshConnection_) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
  if (aAbort != nullptr) {
    curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy_, CURLOPT_XFERINFOFUNCTION, &CheckAbort);
    curl_easy_setopt(easy_, CURLOPT_XFERINFODATA, aAbort);
  }
  const CURLcode code = curl_easy_perform(easy_);
  result.failure_ = Classify(easy_, code);
  if (code != CURLE_OK) {
    result.error_ = curl_easy_strerror(code);
    return result;
  }
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  result.response_.status_ = static_cast<int>(status);
  return result;
}

} // namespace cornelfront
