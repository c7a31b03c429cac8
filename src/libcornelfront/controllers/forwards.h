#pragma once

/// \file
/// Controller of caller requests that are forwarded to the entries that own
/// their submissions.

#include "controllers/entry_links.h"
#include "cornelfront/caller_api.h"

#include <mutex>
#include <unordered_map>

namespace cornelfront {

/// Sends requests over the links to other entries and matches their replies by
/// serial number. Thread-safe. Responses are delivered without a lock held.
class Forwards : public Forwarder
{
public:
  explicit Forwards(EntryLinks& aLinks);

  bool Forward(MemberId aOwner,
               const HttpRequest& aRequest,
               Respond aRespond) override;

  void OnReply(MemberId aOwner, ForwardReply& aReply);
  /// The link to an owner has ended. Responds OwnerUnreachable() to its pending
  /// requests, which may have run.
  void OnOwnerLost(MemberId aOwner);

private:
  struct Waiting
  {
    MemberId owner_;
    Respond respond_;
  };

  EntryLinks& links_;
  std::mutex mutex_;
  uint64_t nextSerial_ = 1;
  std::unordered_map<uint64_t, Waiting> waiting_;
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
