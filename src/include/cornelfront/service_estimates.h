#pragma once

/// \file
/// Estimates of one entry about one service.

#include "cornelfront/admission.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_time_estimate.h"
#include "cornelfront/schema.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace cornelfront {

/// Estimates the run times of the calls, the speeds of the sidecars and the
/// wait before a start. Not thread-safe.
class ServiceEstimates
{
public:
  /// Records a completed task; returns true if the sidecar now counts as slow.
  bool OnRunTime(const CallSchema& aCall, MemberId aSidecar, Millis aRunTime);
  /// Records that a task was sent; see WaitEstimate.
  void OnStart(const CallSchema& aCall, uint64_t aStillWaiting, MonoTime aNow);
  void Remove(MemberId aSidecar);

  /// Returns the expected wait of the last of \p aTasks new tasks; zero before
  /// the first observation.
  Millis PredictWait(const ServiceLoad& aLoad,
                     Priority aPriority,
                     uint64_t aTasks,
                     MonoTime aNow) const;

private:
  RunTimeEstimate& RunTimeOf(const CallSchema& aCall);
  WaitEstimate& WaitOf(const CallSchema& aCall);

  std::unordered_map<std::string, RunTimeEstimate> runTimes_;
  std::unordered_map<MemberId, SpeedEstimate> speeds_;
  std::optional<WaitEstimate> wait_;
};

} // namespace cornelfront
