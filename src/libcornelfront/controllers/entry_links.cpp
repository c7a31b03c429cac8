#include "controllers/entry_links.h"

namespace cornelfront {

LinkPtr
EntryLinks::OnWelcome(const LinkPtr& aLink, const EntryAddress& aEntry)
{
  std::lock_guard lock(mutex_);
  peers_[aLink->Serial()] = aEntry;
  LinkPtr earlier = links_[aEntry.id_];
  links_[aEntry.id_] = aLink;
  return earlier == aLink ? nullptr : earlier;
}

std::optional<EntryAddress>
EntryLinks::OnLinkEnd(const LinkPtr& aLink)
{
  std::lock_guard lock(mutex_);
  const auto peer = peers_.find(aLink->Serial());
  if (peer == peers_.end()) {
    return std::nullopt;
  }
  const EntryAddress ended = peer->second;
  peers_.erase(peer);
  const auto link = links_.find(ended.id_);
  if (link == links_.end() || link->second != aLink) {
    return std::nullopt;
  }
  links_.erase(link);
  return ended;
}

std::optional<EntryAddress>
EntryLinks::PeerOf(const LinkPtr& aLink) const
{
  std::lock_guard lock(mutex_);
  const auto peer = peers_.find(aLink->Serial());
  if (peer == peers_.end()) {
    return std::nullopt;
  }
  return peer->second;
}

bool
EntryLinks::Send(MemberId aEntry, Message aMessage) const
{
  LinkPtr link;
  {
    std::lock_guard lock(mutex_);
    const auto found = links_.find(aEntry);
    if (found == links_.end()) {
      return false;
    }
    link = found->second;
  }
  return link->Send(std::move(aMessage));
}

void
EntryLinks::SendToAll(const Message& aMessage) const
{
  for (const LinkPtr& link : Links()) {
    link->Send(aMessage);
  }
}

std::vector<LinkPtr>
EntryLinks::Links() const
{
  std::lock_guard lock(mutex_);
  std::vector<LinkPtr> links;
  for (const auto& [id, link] : links_) {
    links.push_back(link);
  }
  return links;
}

std::vector<EntryAddress>
EntryLinks::Entries() const
{
  std::lock_guard lock(mutex_);
  std::vector<EntryAddress> entries;
  for (const auto& [id, link] : links_) {
    entries.push_back(peers_.at(link->Serial()));
  }
  return entries;
}

} // namespace cornelfront
