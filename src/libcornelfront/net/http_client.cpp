#include "cornelfront/http_client.h"

#include "net/curl_transfer_pvt.h"

#include <stdexcept>

namespace cornelfront {

namespace {

int
CheckAbort(void* aFlag, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  const auto* flag = static_cast<const std::atomic<bool>*>(aFlag);
  return flag->load() ? 1 : 0;
}

} // namespace

HttpClient::HttpClient()
  : sockets_(std::make_unique<CurlSockets>())
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
  CurlTransfer transfer(aRequest, *sockets_);
  curl_easy_reset(easy_);
  transfer.Prepare(easy_);
  if (aAbort != nullptr) {
    curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy_, CURLOPT_XFERINFOFUNCTION, &CheckAbort);
    curl_easy_setopt(easy_, CURLOPT_XFERINFODATA, aAbort);
  }
  return transfer.TakeResult(easy_, curl_easy_perform(easy_));
}

} // namespace cornelfront
