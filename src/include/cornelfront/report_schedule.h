#pragma once

/// \file
/// Decides when a sidecar reports the state of its upstream to an entry.

#include "cornelfront/run_messages.h"

namespace cornelfront {

struct ReportScheduleOptions
{
  /// Minimum interval of reports to an entry that has recently sent orders.
  Millis activeInterval_{ 200 };
  /// The same for other entries, which only need a rough view.
  Millis idleInterval_{ 500 };
  /// Time for which an order counts as recent.
  Millis activePeriod_{ 1000 };
};

/// Schedule of one sidecar for one entry. Load pattern: many entries and
/// sidecars, where reports of every change to every entry would cost more than
/// the tasks themselves. Not thread-safe.
class ReportSchedule
{
public:
  explicit ReportSchedule(ReportScheduleOptions aOptions);

  void OnOrders(MonoTime aNow) { orderedAt_ = aNow; }
  void OnSent(const UpstreamReport& aReport, MonoTime aNow);
  /// True if the entry should be sent \p aReport now. A change of readiness is
  /// always due, a change of the committed resources once per interval.
  bool IsDue(const UpstreamReport& aReport, MonoTime aNow) const;

private:
  ReportScheduleOptions options_;
  MonoTime orderedAt_;
  MonoTime sentAt_;
  bool sentReady_ = false;
  Resources sentCommitted_;
};

} // namespace cornelfront
