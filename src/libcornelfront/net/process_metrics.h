#pragma once

/// \file
/// Connects links and the callers' interface to the metrics of their process.

#include "cornelfront/caller_api.h"
#include "cornelfront/link.h"
#include "cornelfront/metrics.h"

#include <functional>
#include <string_view>

namespace cornelfront {

/// Value of LinkHandlers::onTraffic_: counts messages, their bytes, and the
/// tasks that TaskAnswers answer. \p aMetrics must outlive it.
std::function<void(const Message&, size_t, bool)>
CountTraffic(Metrics& aMetrics);

/// Name of a link's end for metrics, such as "silent".
std::string_view
ToString(LinkEnd aEnd);

/// Returns \p aRespond with the response counted before it is sent, if it
/// names an outcome. \p aReceived is the arrival of the request, \p aClock
/// tells the time of the answer.
Respond
CountResponse(Metrics& aMetrics,
              Respond aRespond,
              MonoTime aReceived,
              std::function<MonoTime()> aClock);

} // namespace cornelfront
