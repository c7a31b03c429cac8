#pragma once

/// \file
/// Controller of caller requests that are forwarded to the entries that own
/// their submissions.

#include "controllers/outbound_links.h"
#include "cornelfront/caller_api.h"

#include <mutex>
#include <unordered_map>

namespace cornelfront {

/// Sends requests over the links to other entries and matches their replies by
/// serial number. Thread-safe. Responses are delivered without a lock held.
class RequestForwarder : public Forwarder
{
public:
  explicit RequestForwarder(OutboundLinks& aLinks);

  bool Forward(MemberId aOwner,
               const HttpRequest& aRequest,
               ResponseCallback aRespond) override;

  void OnReply(MemberId aOwner, ForwardReply& aReply);
  /// The link to an owner has ended. Responds OwnerUnreachableResponse() to its
  /// pending requests, which may have run.
  void OnOwnerLost(MemberId aOwner);

private:
  struct PendingRequest
  {
    MemberId owner_;
    ResponseCallback respond_;
  };

  OutboundLinks& links_;
  std::mutex mutex_;
  uint64_t nextSerial_ = 1;
  std::unordered_map<uint64_t, PendingRequest> pendingRequests_;
};

/// Conversions between HTTP requests and responses and their messages between
/// entries.
ForwardRequest
ToForwardRequest(uint64_t aSerial, const HttpRequest& aRequest);
HttpRequest
ToHttpRequest(ForwardRequest&& aRequest);
ForwardReply
ToForwardReply(uint64_t aSerial, HttpResponse&& aResponse);

} // namespace cornelfront
