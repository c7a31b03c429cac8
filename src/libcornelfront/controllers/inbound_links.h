#pragma once

/// \file
/// Links that other processes have opened to an entry.

#include "cornelfront/config.h"
#include "cornelfront/link.h"
#include "cornelfront/messages.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelfront {

/// The inbound links with the names of their peers. Thread-safe. No lock is
/// held while a message is sent.
class InboundLinks
{
public:
  void Add(const LinkPtr& aLink, const Hello& aHello);
  void Remove(const LinkPtr& aLink);

  /// Name of the process at the other end; empty if unknown.
  std::string PeerName(const LinkPtr& aLink) const;

  void SendToAll(const Message& aMessage) const;
  /// Closes every link after writing its queued messages.
  void CloseAll() const;
  size_t size() const;
  /// Sends the state on every link on which neither it nor a newer one was sent
  /// before.
  void SendConfig(const ConfigStatePtr& aState);
  /// Sends the state if the peer reports an older version and neither this
  /// version nor a newer one was sent on the link.
  void SendConfigIfOlder(const LinkPtr& aLink,
                         ConfigVersion aPeerVersion,
                         const ConfigStatePtr& aState);

private:
  struct Member
  {
    LinkPtr link_;
    std::string name_;
    ConfigVersion sentVersion_;
  };

  std::vector<LinkPtr> Links() const;

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Member> members_;
};

} // namespace cornelfront
