#pragma once

/// \file
/// Controller of the links that a process has dialled to entries.

#include "cornelfront/ids.h"
#include "cornelfront/link.h"
#include "cornelfront/messages.h"

#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelfront {

/// Thread-safe. Holds no lock while a message is sent.
class EntryLinks
{
public:
  /// The entry has introduced itself on this link. Returns an earlier link to
  /// the same incarnation, which is to be closed; null if there is none.
  LinkPtr OnWelcome(const LinkPtr& aLink, const EntryAddress& aEntry);

  /// Returns the entry at the other end if this was its newest link.
  std::optional<EntryAddress> OnLinkEnd(const LinkPtr& aLink);

  /// The entry at the other end, if it has introduced itself.
  std::optional<EntryAddress> PeerOf(const LinkPtr& aLink) const;

  /// Sends to one entry; returns false if there is no link to it.
  bool Send(MemberId aEntry, Message aMessage) const;
  void SendToAll(const Message& aMessage) const;

  std::vector<LinkPtr> Links() const;
  /// Entries linked now.
  std::vector<EntryAddress> Entries() const;

private:
  mutable std::mutex mutex_;
  std::unordered_map<MemberId, LinkPtr> links_;
  std::unordered_map<uint64_t, EntryAddress> peers_;
};

} // namespace cornelfront
