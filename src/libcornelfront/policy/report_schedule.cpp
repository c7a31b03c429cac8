#include "cornelfront/report_schedule.h"

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
ReportSchedule::IsDue(const UpstreamReport& aReport, MonoTime aNow) const
{
  if (sentReady_ != aReport.ready_) {
    return true;
  }
  const bool active = aNow - orderedAt_ < options_.activePeriod_;
  const Millis interval =
    active ? options_.activeInterval_ : options_.idleInterval_;
  return sentCommitted_ != aReport.committed_ && aNow - sentAt_ >= interval;
}

} // namespace cornelfront
