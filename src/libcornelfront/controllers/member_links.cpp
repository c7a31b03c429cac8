#include "controllers/member_links.h"

namespace cornelfront {

void
MemberLinks::Add(const LinkPtr& aLink, const Hello& aHello)
{
  std::lock_guard lock(mutex_);
  members_[aLink->Serial()] = { aLink, aHello.name_, {} };
}

void
MemberLinks::Remove(const LinkPtr& aLink)
{
  std::lock_guard lock(mutex_);
  members_.erase(aLink->Serial());
}

std::string
MemberLinks::Describe(const LinkPtr& aLink) const
{
  std::lock_guard lock(mutex_);
  const auto found = members_.find(aLink->Serial());
  return found == members_.end() ? "" : found->second.name_;
}

std::vector<LinkPtr>
MemberLinks::Links() const
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
MemberLinks::SendToAll(const Message& aMessage) const
{
  for (const LinkPtr& link : Links()) {
    link->Send(aMessage);
  }
}

void
MemberLinks::CloseAll() const
{
  for (const LinkPtr& link : Links()) {
    link->Close();
  }
}

size_t
MemberLinks::size() const
{
  std::lock_guard lock(mutex_);
  return members_.size();
}

void
MemberLinks::SendConfig(const ConfigStatePtr& aState)
{
  std::vector<LinkPtr> links;
  {
    std::lock_guard lock(mutex_);
    for (auto& [serial, member] : members_) {
      if (member.sent_ < aState->version_) {
        member.sent_ = aState->version_;
        links.push_back(member.link_);
      }
    }
  }
  for (const LinkPtr& link : links) {
    link->Send(ConfigUpdate{ *aState });
  }
}

void
MemberLinks::SendConfigIfOlder(const LinkPtr& aLink,
                               ConfigVersion aTheirs,
                               const ConfigStatePtr& aState)
{
  if (aTheirs >= aState->version_) {
    return;
  }
  {
    std::lock_guard lock(mutex_);
    const auto found = members_.find(aLink->Serial());
    if (found == members_.end() || found->second.sent_ >= aState->version_) {
      return;
    }
    found->second.sent_ = aState->version_;
  }
  aLink->Send(ConfigUpdate{ *aState });
}

} // namespace cornelfront
