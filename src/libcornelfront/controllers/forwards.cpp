#include "controllers/forwards.h"

namespace cornelfront {

Forwards::Forwards(EntryLinks& aLinks)
  : links_(aLinks)
{
}

bool
Forwards::Forward(MemberId aOwner,
                  const HttpRequest& aRequest,
                  Respond aRespond)
{
  uint64_t serial = 0;
  {
    std::lock_guard lock(mutex_);
    serial = nextSerial_++;
    waiting_[serial] = { aOwner, std::move(aRespond) };
  }
  if (links_.Send(aOwner, ToForwardRequest(serial, aRequest))) {
    return true;
  }
  std::lock_guard lock(mutex_);
  // If the request is no longer pending, OnOwnerLost() has responded to it.
  return waiting_.erase(serial) == 0;
}

void
Forwards::OnReply(MemberId aOwner, ForwardReply& aReply)
{
  Respond respond;
  {
    std::lock_guard lock(mutex_);
    const auto found = waiting_.find(aReply.serial_);
    if (found == waiting_.end() || found->second.owner_ != aOwner) {
      return;
    }
    respond = std::move(found->second.respond_);
    waiting_.erase(found);
  }
  respond({ .status_ = aReply.status_,
            .contentType_ = std::move(aReply.contentType_),
            .headers_ = std::move(aReply.headers_),
            .body_ = std::move(aReply.body_) });
}

void
Forwards::OnOwnerLost(MemberId aOwner)
{
  std::vector<Respond> lost;
  {
    std::lock_guard lock(mutex_);
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
      if (waiting->second.owner_ != aOwner) {
        ++waiting;
        continue;
      }
      lost.push_back(std::move(waiting->second.respond_));
      waiting = waiting_.erase(waiting);
    }
  }
  for (const Respond& respond : lost) {
    respond(OwnerUnreachable(""));
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
