#include "controllers/gate_controller.h"

namespace cornelfront {

namespace {

MonoTime
ToMonoTime(int64_t aNanoseconds)
{
  return MonoTime(std::chrono::nanoseconds(aNanoseconds));
}

} // namespace

GateController::GateController(StartGateOptions aOptions)
  : gate_(std::move(aOptions))
{
}

void
GateController::OnEvidence(const EntryAddress& aEntry,
                           const ConfigEvidence& aEvidence,
                           int64_t aEcho)
{
  if (aEcho == 0) {
    return;
  }
  std::lock_guard lock(mutex_);
  gate_.OnEvidence({ .entry_ = aEntry.id_, .zone_ = aEntry.zone_ },
                   aEvidence,
                   ToMonoTime(aEcho));
}

bool
GateController::OnConfig(const ConfigState& aState)
{
  std::lock_guard lock(mutex_);
  const bool newer = aState.version_ > gate_.Version();
  gate_.OnConfig(aState);
  return newer;
}

void
GateController::OnEntryDisconnected(MemberId aEntry)
{
  std::lock_guard lock(mutex_);
  gate_.OnEntryDisconnected(aEntry);
}

GateDecision
GateController::Check(MonoTime aNow) const
{
  std::lock_guard lock(mutex_);
  return { gate_.Check(aNow), gate_.Version() };
}

ConfigVersion
GateController::Version() const
{
  std::lock_guard lock(mutex_);
  return gate_.Version();
}

} // namespace cornelfront
