#include "cornelfront/service_estimates.h"

namespace cornelfront {

bool
ServiceEstimates::OnRunTime(const CallSchema& aCall,
                            MemberId aSidecar,
                            Millis aRunTime)
{
  RunTimeEstimate& runTimes = RunTimeOf(aCall);
  runTimes.OnRunTime(aRunTime);
  WaitOf(aCall).OnRunTime(aRunTime);
  SpeedEstimate& speed = speeds_[aSidecar];
  speed.OnRunTime(aRunTime, runTimes.Median());
  return speed.IsSlow();
}

void
ServiceEstimates::OnStart(const CallSchema& aCall,
                          uint64_t aStillWaiting,
                          MonoTime aNow)
{
  WaitOf(aCall).OnStart(aStillWaiting, aNow);
}

void
ServiceEstimates::Remove(MemberId aSidecar)
{
  speeds_.erase(aSidecar);
}

Millis
ServiceEstimates::PredictWait(const ServiceLoad& aLoad,
                              Priority aPriority,
                              uint64_t aTasks,
                              MonoTime aNow) const
{
  return wait_ ? wait_->Predict(aLoad, aPriority, aTasks, aNow) : Millis(0);
}

RunTimeEstimate&
ServiceEstimates::RunTimeOf(const CallSchema& aCall)
{
  return runTimes_.try_emplace(aCall.name_, aCall.size_.runTime_).first->second;
}

WaitEstimate&
ServiceEstimates::WaitOf(const CallSchema& aCall)
{
  if (!wait_) {
    wait_.emplace(aCall.size_.runTime_);
  }
  return *wait_;
}

} // namespace cornelfront
