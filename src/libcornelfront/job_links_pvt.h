#pragma once

/// \file
/// Links between job entries and sidecars.

#include "cornelfront/link.h"

#include <functional>
#include <memory>
#include <string>

namespace cornelfront {

/// Returns handlers for links that carry neither configuration evidence nor
/// hybrid stamps.
inline std::shared_ptr<const LinkHandlers>
MakeJobLinkHandlers(
  std::function<void(const LinkPtr&, Envelope&)> aOnMessage,
  std::function<void(const LinkPtr&, const std::string& aDetail)> aOnEnd)
{
  LinkHandlers handlers;
  handlers.onMessage_ = std::move(aOnMessage);
  handlers.onEnd_ = [onEnd = std::move(aOnEnd)](const LinkPtr& aLink,
                                                LinkEndReason,
                                                const std::string& aDetail) {
    onEnd(aLink, aDetail);
  };
  handlers.evidence_ = [](MonoTime) { return ConfigEvidence{}; };
  handlers.hybridStamp_ = [](WallTime) { return uint64_t{ 0 }; };
  handlers.onTraffic_ = [](const Message&, size_t, bool) {};
  return std::make_shared<const LinkHandlers>(std::move(handlers));
}

} // namespace cornelfront
