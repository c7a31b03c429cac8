#pragma once

/// \file
/// What one entry has learned about the load of one service.

#include "cornelfront/admission.h"
#include "cornelfront/ids.h"
#include "cornelfront/schema.h"
#include "cornelfront/size_estimate.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace cornelfront {

/// Run times of the calls, speeds of the sidecars and the expected wait. Not
/// thread-safe.
class ServiceEstimates
{
public:
  /// Takes note of a completed task; returns whether the sidecar now counts as
  /// slow.
  bool OnRunTime(const CallSchema& aCall, MemberId aSidecar, Millis aRunTime);
  /// Takes note of a task that was sent; see WaitEstimate.
  void OnStart(const CallSchema& aCall, uint64_t aStillWaiting, MonoTime aNow);
  void Forget(MemberId aSidecar);

  /// Expected wait of \p aTasks new tasks; zero while nothing was learned.
  Millis PredictWait(const ServiceLoad& aLoad,
                     Priority aPriority,
                     uint64_t aTasks,
                     MonoTime aNow) const;

private:
  SizeEstimate& SizeOf(const CallSchema& aCall);
  WaitEstimate& Wait(const CallSchema& aCall);

  std::unordered_map<std::string, SizeEstimate> sizes_;
  std::unordered_map<MemberId, SpeedEstimate> speeds_;
  std::optional<WaitEstimate> wait_;
};

} // namespace cornelfront
