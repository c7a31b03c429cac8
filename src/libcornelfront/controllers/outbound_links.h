#pragma once

/// \file
/// Links that a process has opened to entries.

#include "cornelfront/ids.h"
#include "cornelfront/link.h"
#include "cornelfront/messages.h"

#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelfront {

/// The newest link to each entry. Thread-safe. No lock is held while a message
/// is sent.
class OutboundLinks
{
public:
  /// The entry has sent Welcome on this link. Returns an earlier link to the
  /// same incarnation of the entry, which the caller must close, or null if
  /// there is none.
  LinkPtr OnWelcome(const LinkPtr& aLink, const EntryAddress& aEntry);

  /// Removes the link. Returns the entry at the other end if this was its
  /// newest link.
  std::optional<EntryAddress> OnLinkEnd(const LinkPtr& aLink);

  /// The entry at the other end, if it has sent Welcome.
  std::optional<EntryAddress> PeerOf(const LinkPtr& aLink) const;

  /// Sends a message to one entry. Returns false if there is no link to it.
  bool Send(MemberId aEntry, Message aMessage) const;
  void SendToAll(const Message& aMessage) const;

  std::vector<LinkPtr> Links() const;
  /// Entries that are currently connected.
  std::vector<EntryAddress> Entries() const;

private:
  mutable std::mutex mutex_;
  std::unordered_map<MemberId, LinkPtr> linkByEntry_;
  std::unordered_map<uint64_t, EntryAddress> entryByLink_;
};

} // namespace cornelfront
