#pragma once

/// \file
/// Links between job entries and sidecars.

#include "cornelfront/link.h"
#include "cornelfront/transit_bound.h"

#include <functional>
#include <memory>
#include <string>

namespace cornelfront {

/// Returns how old a message that is received now may be. \p aNow is from
/// BootNow, as are the stamps of these links, so that time counts for which the
/// message waited while the machine was suspended.
inline Millis
MaxAgeOf(const Envelope& aEnvelope, MonoTime aNow)
{
  return std::chrono::duration_cast<Millis>(
    aNow - MonoTime(std::chrono::nanoseconds(aEnvelope.echo_)));
}

inline MessageTimes
TimesOf(const Envelope& aEnvelope)
{
  return { .stamp_ = std::chrono::nanoseconds(aEnvelope.stamp_),
           .echo_ = std::chrono::nanoseconds(aEnvelope.echo_) };
}

/// Returns handlers for links that carry neither configuration evidence nor
/// hybrid stamps. Stamps are from BootNow.
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
  handlers.stampClock_ = &BootNow;
  handlers.onTraffic_ = [](const Message&, size_t, bool) {};
  return std::make_shared<const LinkHandlers>(std::move(handlers));
}

} // namespace cornelfront
