#include "controllers/request_forwarder.h"

namespace cornelfront {

RequestForwarder::RequestForwarder(OutboundLinks& aLinks)
  : links_(aLinks)
{
}

bool
RequestForwarder::Forward(MemberId aOwner,
                          const HttpRequest& aRequest,
                          ResponseCallback aRespond)
{
  uint64_t serial = 0;
  {
    std::lock_guard lock(mutex_);
    serial = nextSerial_++;
    pendingRequests_[serial] = { aOwner, std::move(aRespond) };
  }
  if (links_.Send(aOwner, ToForwardRequest(serial, aRequest))) {
    return true;
  }
  std::lock_guard lock(mutex_);
  // If the request is no longer pending, OnOwnerLost() has responded to it.
  return pendingRequests_.erase(serial) == 0;
}

void
RequestForwarder::OnReply(MemberId aOwner, ForwardReply& aReply)
{
  ResponseCallback respond;
  {
    std::lock_guard lock(mutex_);
    const auto found = pendingRequests_.find(aReply.serial_);
    if (found == pendingRequests_.end() || found->second.owner_ != aOwner) {
      return;
    }
    respond = std::move(found->second.respond_);
    pendingRequests_.erase(found);
  }
  respond({ .status_ = aReply.status_,
            .contentType_ = std::move(aReply.contentType_),
            .headers_ = std::move(aReply.headers_),
            .body_ = std::move(aReply.body_) });
}

void
RequestForwarder::OnOwnerLost(MemberId aOwner)
{
  std::vector<ResponseCallback> lost;
  {
    std::lock_guard lock(mutex_);
    for (auto pending = pendingRequests_.begin();
         pending != pendingRequests_.end();) {
      if (pending->second.owner_ != aOwner) {
        ++pending;
        continue;
      }
      lost.push_back(std::move(pending->second.respond_));
      pending = pendingRequests_.erase(pending);
    }
  }
  for (const ResponseCallback& respond : lost) {
    respond(OwnerUnreachableResponse(""));
  }
}

ForwardRequest
ToForwardRequest(uint64_t aSerial, const HttpRequest& aRequest)
{
  return { .serial_ = aSerial,
           .method_ = aRequest.method_,
           .path_ = aRequest.path_,
           .query_ = { aRequest.query_.begin(), aRequest.query_.end() },
           .headers_ = { aRequest.headers_.begin(), aRequest.headers_.end() },
           .body_ = aRequest.body_ };
}

HttpRequest
ToHttpRequest(ForwardRequest&& aRequest)
{
  return { .method_ = std::move(aRequest.method_),
           .path_ = std::move(aRequest.path_),
           .query_ = { aRequest.query_.begin(), aRequest.query_.end() },
           .headers_ = { aRequest.headers_.begin(), aRequest.headers_.end() },
           .body_ = std::move(aRequest.body_) };
}

ForwardReply
ToForwardReply(uint64_t aSerial, HttpResponse&& aResponse)
{
  return { .serial_ = aSerial,
           .status_ = aResponse.status_,
           .contentType_ = std::move(aResponse.contentType_),
           .headers_ = std::move(aResponse.headers_),
           .body_ = std::move(aResponse.body_) };
}

} // namespace cornelfront
