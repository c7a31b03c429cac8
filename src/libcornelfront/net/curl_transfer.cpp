#include "net/curl_transfer_pvt.h"

#include <algorithm>
#include <mutex>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelfront {

namespace {

constexpr std::string_view kClosedBeforeResponse =
  "the connection closed before a response";
constexpr std::string_view kUnaskedData =
  "the connection had data or its end before the request";

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
Classify(CURLcode aCode, int aIssued)
{
  if (aCode == CURLE_OK) {
    return HttpFailure::None;
  }
  return aIssued > 0 ? HttpFailure::MayHaveBeenSent : HttpFailure::NotSent;
}

size_t
ReceivedBytes(CURL* aEasy)
{
  long headerBytes = 0;
  curl_off_t bodyBytes = 0;
  curl_easy_getinfo(aEasy, CURLINFO_HEADER_SIZE, &headerBytes);
  curl_easy_getinfo(aEasy, CURLINFO_SIZE_DOWNLOAD_T, &bodyBytes);
  return static_cast<size_t>(headerBytes) + static_cast<size_t>(bodyBytes);
}

bool
OpenedConnection(CURL* aEasy)
{
  long connects = 0;
  curl_easy_getinfo(aEasy, CURLINFO_NUM_CONNECTS, &connects);
  return connects > 0;
}

/// Returns 0 if the socket has no address of IP.
int
LocalPort(curl_socket_t aSocket)
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  switch (address.ss_family) {
    case AF_INET:
      return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
    case AF_INET6:
      return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
    default:
      return 0;
  }
}

bool
HasArrivals(curl_socket_t aSocket)
{
  char byte = 0;
  return recv(aSocket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace

void
InitializeCurlOnce()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

CurlHeaders::CurlHeaders(
  const std::vector<std::pair<std::string, std::string>>& aHeaders)
{
  Append("Expect:"); // disables the 100-continue round trip
  for (const auto& [name, value] : aHeaders) {
    Append(name + ": " + value);
  }
}

CurlHeaders::~CurlHeaders()
{
  curl_slist_free_all(list_);
}

void
CurlHeaders::Append(const std::string& aLine)
{
  list_ = curl_slist_append(list_, aLine.c_str());
}

curl_socket_t
CurlSockets::Open(const curl_sockaddr& aAddress)
{
  const curl_socket_t opened =
    socket(aAddress.family, aAddress.socktype, aAddress.protocol);
  if (opened != CURL_SOCKET_BAD) {
    ports_[opened] = 0;
  }
  return opened;
}

int
CurlSockets::Close(void* aSockets, curl_socket_t aSocket)
{
  static_cast<CurlSockets*>(aSockets)->ports_.erase(aSocket);
  return close(aSocket);
}

bool
CurlSockets::IsQuiet(int aLocalPort)
{
  return std::none_of(ports_.begin(), ports_.end(), [&](auto& aOpen) {
    auto& [socket, port] = aOpen;
    if (port == 0) {
      port = LocalPort(socket);
    }
    return port == aLocalPort && HasArrivals(socket);
  });
}

CurlTransfer::CurlTransfer(const HttpClientRequest& aRequest,
                           CurlSockets& aSockets)
  : request_(aRequest)
  , sockets_(aSockets)
  , headers_(aRequest.headers_)
{
}

bool
CurlTransfer::MayIssue() const
{
  return request_.method_ == "GET" || result_.issued_ == 0;
}

int
CurlTransfer::BeforeIssue(void* aTransfer, char*, char*, int, int aLocalPort)
{
  auto* transfer = static_cast<CurlTransfer*>(aTransfer);
  if (!transfer->MayIssue()) {
    transfer->preventedBy_ = kClosedBeforeResponse;
    return CURL_PREREQFUNC_ABORT;
  }
  if (!transfer->sockets_.IsQuiet(aLocalPort)) {
    transfer->preventedBy_ = kUnaskedData;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->result_.issued_;
  return CURL_PREREQFUNC_OK;
}

curl_socket_t
CurlTransfer::OpenSocket(void* aTransfer, curlsocktype, curl_sockaddr* aAddress)
{
  auto* transfer = static_cast<CurlTransfer*>(aTransfer);
  if (!transfer->MayIssue()) {
    transfer->preventedBy_ = kClosedBeforeResponse;
    return CURL_SOCKET_BAD;
  }
  return transfer->sockets_.Open(*aAddress);
}

size_t
CurlTransfer::CollectHeader(char* aData,
                            size_t aSize,
                            size_t aCount,
                            void* aTransfer)
{
  auto* transfer = static_cast<CurlTransfer*>(aTransfer);
  transfer->lastByte_ = MonoClock::now();
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
    transfer->result_.response_.headers_.emplace_back(std::move(name),
                                                      std::move(value));
  }
  return aSize * aCount;
}

size_t
CurlTransfer::CollectBody(char* aData,
                          size_t aSize,
                          size_t aCount,
                          void* aTransfer)
{
  auto* transfer = static_cast<CurlTransfer*>(aTransfer);
  transfer->lastByte_ = MonoClock::now();
  std::string& body = transfer->result_.response_.body_;
  const size_t bytes = aSize * aCount;
  if (body.size() + bytes > transfer->request_.maxResponseBytes_) {
    return 0; // makes libcurl abort the transfer
  }
  body.append(aData, bytes);
  return bytes;
}

void
CurlTransfer::Prepare(CURL* aEasy)
{
  SetBody(aEasy, request_);
  curl_easy_setopt(aEasy, CURLOPT_URL, request_.url_.c_str());
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, headers_.Get());
  curl_easy_setopt(aEasy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request_.connectTimeout_.count()));
  curl_easy_setopt(
    aEasy, CURLOPT_TIMEOUT_MS, static_cast<long>(request_.timeout_.count()));
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, &CurlTransfer::BeforeIssue);
  curl_easy_setopt(aEasy, CURLOPT_PREREQDATA, this);
  // A repeat that is not made needs no connection either.
  curl_easy_setopt(
    aEasy, CURLOPT_OPENSOCKETFUNCTION, &CurlTransfer::OpenSocket);
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETFUNCTION, &CurlSockets::Close);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETDATA, &sockets_);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, &CurlTransfer::CollectBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, &CurlTransfer::CollectHeader);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, this);
  if (request_.freshConnection_) {
    curl_easy_setopt(aEasy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(aEasy, CURLOPT_FORBID_REUSE, 1L);
  }
}

HttpResult
CurlTransfer::TakeResult(CURL* aEasy, CURLcode aCode)
{
  result_.failure_ = Classify(aCode, result_.issued_);
  result_.receivedBytes_ = ReceivedBytes(aEasy);
  result_.openedConnection_ = OpenedConnection(aEasy);
  if (aCode != CURLE_OK) {
    result_.error_ =
      preventedBy_.empty() ? curl_easy_strerror(aCode) : preventedBy_;
    return std::move(result_);
  }
  long status = 0;
  curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
  result_.response_.status_ = static_cast<int>(status);
  return std::move(result_);
}

} // namespace cornelfront
