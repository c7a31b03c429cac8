#include "cornelfront/report_schedule.h"

#include <algorithm>

namespace cornelfront {

ReportSchedule::ReportSchedule(ReportScheduleOptions aOptions)
  : options_(aOptions)
{
}

void
ReportSchedule::OnSent(const UpstreamReport& aReport, MonoTime aNow)
{
  sentAt_ = aNow;
  sentReady_ = aReport.ready_;
  sentCommitted_ = aReport.committed_;
}

bool
ReportSchedule::IsDue(const UpstreamReport& aReport,
                      size_t aLinkedEntries,
                      MonoTime aNow) const
{
  if (sentReady_ != aReport.ready_) {
    return true;
  }
  const bool active = aNow - orderedAt_ < options_.activePeriod_;
  const Millis perEntry =
    active ? options_.activeIntervalPerEntry_ : options_.idleIntervalPerEntry_;
  const Millis interval = std::max(
    options_.minInterval_, perEntry * static_cast<int64_t>(aLinkedEntries));
  return sentCommitted_ != aReport.committed_ && aNow - sentAt_ >= interval;
}

} // namespace cornelfront
