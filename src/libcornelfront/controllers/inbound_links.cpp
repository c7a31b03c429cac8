#include "controllers/inbound_links.h"

namespace cornelfront {

void
InboundLinks::Add(const LinkPtr& aLink, const Hello& aHello)
{
  std::lock_guard lock(mutex_);
  members_[aLink->Serial()] = { aLink, aHello.name_, {} };
}

void
InboundLinks::Remove(const LinkPtr& aLink)
{
  std::lock_guard lock(mutex_);
  members_.erase(aLink->Serial());
}

std::string
InboundLinks::PeerName(const LinkPtr& aLink) const
{
  std::lock_guard lock(mutex_);
  const auto found = members_.find(aLink->Serial());
  return found == members_.end() ? "" : found->second.name_;
}

std::vector<LinkPtr>
InboundLinks::Links() const
{
  std::lock_guard lock(mutex_);
  std::vector<LinkPtr> links;
  links.reserve(members_.size());
  for (const auto& [serial, member] : members_) {
    links.push_back(member.link_);
  }
  return links;
}

void
InboundLinks::SendToAll(const Message& aMessage) const
{
  for (const LinkPtr& link : Links()) {
    link->Send(aMessage);
  }
}

void
InboundLinks::CloseAll() const
{
  for (const LinkPtr& link : Links()) {
    link->Close();
  }
}

size_t
InboundLinks::size() const
{
  std::lock_guard lock(mutex_);
  return members_.size();
}

void
InboundLinks::SendConfig(const ConfigStatePtr& aState)
{
  std::vector<LinkPtr> links;
  {
    std::lock_guard lock(mutex_);
    for (auto& [serial, member] : members_) {
      if (member.sentVersion_ < aState->version_) {
        member.sentVersion_ = aState->version_;
        links.push_back(member.link_);
      }
    }
  }
  for (const LinkPtr& link : links) {
    link->Send(ConfigUpdate{ *aState });
  }
}

void
InboundLinks::SendConfigIfOlder(const LinkPtr& aLink,
                                ConfigVersion aPeerVersion,
                                const ConfigStatePtr& aState)
{
  if (aPeerVersion >= aState->version_) {
    return;
  }
  {
    std::lock_guard lock(mutex_);
    const auto found = members_.find(aLink->Serial());
    if (found == members_.end() ||
        found->second.sentVersion_ >= aState->version_) {
      return;
    }
    found->second.sentVersion_ = aState->version_;
  }
  aLink->Send(ConfigUpdate{ *aState });
}

} // namespace cornelfront
