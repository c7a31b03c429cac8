#include "controllers/outbound_links.h"

namespace cornelfront {

LinkPtr
OutboundLinks::OnWelcome(const LinkPtr& aLink, const EntryAddress& aEntry)
{
  std::lock_guard lock(mutex_);
  entryByLink_[aLink->Serial()] = aEntry;
  LinkPtr earlier = linkByEntry_[aEntry.id_];
  linkByEntry_[aEntry.id_] = aLink;
  return earlier == aLink ? nullptr : earlier;
}

std::optional<EntryAddress>
OutboundLinks::OnLinkEnd(const LinkPtr& aLink)
{
  std::lock_guard lock(mutex_);
  const auto peer = entryByLink_.find(aLink->Serial());
  if (peer == entryByLink_.end()) {
    return std::nullopt;
  }
  const EntryAddress ended = peer->second;
  entryByLink_.erase(peer);
  const auto link = linkByEntry_.find(ended.id_);
  if (link == linkByEntry_.end() || link->second != aLink) {
    return std::nullopt;
  }
  linkByEntry_.erase(link);
  return ended;
}

std::optional<EntryAddress>
OutboundLinks::PeerOf(const LinkPtr& aLink) const
{
  std::lock_guard lock(mutex_);
  const auto peer = entryByLink_.find(aLink->Serial());
  if (peer == entryByLink_.end()) {
    return std::nullopt;
  }
  return peer->second;
}

bool
OutboundLinks::Send(MemberId aEntry, Message aMessage) const
{
  LinkPtr link;
  {
    std::lock_guard lock(mutex_);
    const auto found = linkByEntry_.find(aEntry);
    if (found == linkByEntry_.end()) {
      return false;
    }
    link = found->second;
  }
  return link->Send(std::move(aMessage));
}

void
OutboundLinks::SendToAll(const Message& aMessage) const
{
  for (const LinkPtr& link : Links()) {
    link->Send(aMessage);
  }
}

std::vector<LinkPtr>
OutboundLinks::Links() const
{
  std::lock_guard lock(mutex_);
  std::vector<LinkPtr> links;
  for (const auto& [id, link] : linkByEntry_) {
    links.push_back(link);
  }
  return links;
}

std::vector<EntryAddress>
OutboundLinks::Entries() const
{
  std::lock_guard lock(mutex_);
  std::vector<EntryAddress> entries;
  for (const auto& [id, link] : linkByEntry_) {
    entries.push_back(entryByLink_.at(link->Serial()));
  }
  return entries;
}

} // namespace cornelfront
