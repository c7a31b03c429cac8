#pragma once

/// \file
/// Feeds the metrics of a process from its links and from the callers'
/// interface.

#include "cornelfront/caller_api.h"
#include "cornelfront/link.h"
#include "cornelfront/metrics.h"

#include <functional>
#include <string_view>

namespace cornelfront {

/// Returns a callback for LinkHandlers::onTraffic_ that counts messages, their
/// bytes, and the tasks finished by TaskAnswers. \p aMetrics must outlive it.
std::function<void(const Message&, size_t, bool)>
CountTraffic(Metrics& aMetrics);

/// Returns the metric label of a link end, such as "silent".
std::string_view
ToString(LinkEndReason aEnd);

/// Wraps \p aRespond so that each response that has an outcome header is
/// counted before it is sent. \p aReceived is the arrival time of the request;
/// \p aClock returns the time of the response. \p aMetrics must outlive the
/// result.
ResponseCallback
CountResponse(Metrics& aMetrics,
              ResponseCallback aRespond,
              MonoTime aReceived,
              std::function<MonoTime()> aClock);

} // namespace cornelfront
