#pragma once

/// \file
/// Decides when a sidecar reports the state of its upstream to an entry.

#include "cornelfront/run_messages.h"

namespace cornelfront {

/// The intervals grow with the number of linked entries, which bounds the
/// number of reports that a sidecar sends.
struct ReportScheduleOptions
{
  Millis minInterval_{ 100 };
  /// Minimum interval for each linked entry, for reports to an entry that has
  /// recently sent orders.
  Millis activeIntervalPerEntry_{ 6 };
  /// The same for reports to other entries, which only need a rough view.
  Millis idleIntervalPerEntry_{ 15 };
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
  bool IsDue(const UpstreamReport& aReport,
             size_t aLinkedEntries,
             MonoTime aNow) const;

private:
  ReportScheduleOptions options_;
  MonoTime orderedAt_;
  MonoTime sentAt_;
  bool sentReady_ = false;
  Resources sentCommitted_;
};

} // namespace cornelfront
