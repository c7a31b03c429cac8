#include "net/request_framing.h"

#include "net/server_errors.h"

#include <algorithm>
#include <cctype>

namespace cornelfront {
namespace {

constexpr const char* kContentLength = "content-length";
constexpr const char* kTransferEncoding = "transfer-encoding";

bool
IsNumber(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aC) {
    return std::isdigit(static_cast<unsigned char>(aC)) != 0;
  });
}

} // namespace

std::optional<HttpResponse>
CheckFraming(const HttpRequest& aRequest)
{
  const auto length = aRequest.headers_.find(kContentLength);
  if (length != aRequest.headers_.end()) {
    if (!IsNumber(length->second)) {
      return InvalidHeader(
        kContentLength, length->second, "must be one number");
    }
    if (aRequest.headers_.contains(kTransferEncoding)) {
      return InvalidHeader(kContentLength,
                           length->second,
                           "must not stand beside Transfer-Encoding");
    }
  }
  return std::nullopt;
}

} // namespace cornelfront
