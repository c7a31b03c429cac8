#pragma once

/// \file
/// Controller of the links that other processes have dialled to an entry.

#include "cornelfront/config.h"
#include "cornelfront/link.h"
#include "cornelfront/messages.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelfront {

/// Thread-safe. Holds no lock while a message is sent.
class MemberLinks
{
public:
  void Add(const LinkPtr& aLink, const Hello& aHello);
  void Remove(const LinkPtr& aLink);

  /// Name of the process at the other end; empty if it is not known.
  std::string Describe(const LinkPtr& aLink) const;

  void SendToAll(const Message& aMessage) const;
  /// Ends every link after what is queued on it was written.
  void CloseAll() const;
  size_t size() const;
  /// Sends the state on every link on which it was not sent before.
  void SendConfig(const ConfigStatePtr& aState);
  /// Sends the state if the other side holds an older version and has not
  /// been sent this one.
  void SendConfigIfOlder(const LinkPtr& aLink,
                         ConfigVersion aTheirs,
                         const ConfigStatePtr& aState);

private:
  struct Member
  {
    LinkPtr link_;
    std::string name_;
    ConfigVersion sent_;
  };

  std::vector<LinkPtr> Links() const;

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Member> members_;
};

} // namespace cornelfront
