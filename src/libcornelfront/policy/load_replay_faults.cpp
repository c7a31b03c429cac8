/// \file
/// LoadReplayer: faults.

#include "policy/load_replay_pvt.h"

#include <algorithm>
#include <cmath>

namespace cornelfront {
namespace {

/// Time until the loss of a process is noticed on its links.
constexpr Millis kLossNotice{ 1000 };

} // namespace

void
LoadReplayer::Schedule(const LoadFault& aFault)
{
  const MonoTime begin = kReplayStart + aFault.at_;
  events_.At(begin, [this, &aFault] { Apply(aFault, true); });
  events_.At(begin + aFault.duration_,
             [this, &aFault] { Apply(aFault, false); });
}

void
LoadReplayer::Apply(const LoadFault& aFault, bool aBegin)
{
  const auto upstreams =
    static_cast<size_t>(std::llround(aFault.share_ * pattern_.upstreams_));
  const auto entries =
    static_cast<size_t>(std::llround(aFault.share_ * pattern_.entries_));
  switch (aFault.kind_) {
    case LoadFaultKind::Burst:
      return;
    case LoadFaultKind::UpstreamsSlow:
      for (size_t i = 0; i < upstreams; ++i) {
        sidecars_[i]->slowness_ = aBegin ? aFault.factor_ : 1.0;
      }
      return;
    case LoadFaultKind::UpstreamsLost:
      for (size_t i = 0; i < upstreams; ++i) {
        aBegin ? LoseSidecar(*sidecars_[i]) : ReturnSidecar(*sidecars_[i]);
      }
      return;
    case LoadFaultKind::EntriesLost:
      for (size_t i = 0; i < entries; ++i) {
        aBegin ? LoseEntry(*entries_[i]) : StartEntry(*entries_[i]);
      }
      return;
  }
}

void
LoadReplayer::LoseSidecar(SimulatedSidecar& aSidecar)
{
  aSidecar.up_ = false;
  events_.After(kLossNotice, [this, id = aSidecar.id_] {
    for (const auto& entry : entries_) {
      if (entry->up_) {
        entry->scheduler_->OnSidecarLost(id, events_.Now());
        Perform(*entry);
      }
    }
  });
}

void
LoadReplayer::ReturnSidecar(SimulatedSidecar& aSidecar)
{
  const MemberId old = aSidecar.id_;
  aSidecar.id_ = MemberId{ random_() };
  StartSidecar(aSidecar);
  for (const auto& entry : entries_) {
    if (entry->up_) {
      entry->scheduler_->OnSidecarReplaced(old, aSidecar.id_, events_.Now());
      Link(*entry, aSidecar);
      Perform(*entry);
    }
  }
}

void
LoadReplayer::LoseEntry(SimulatedEntry& aEntry)
{
  aEntry.up_ = false;
  for (const auto& [submission, job] : aEntry.open_) {
    Count(*job, &LoadOutcomes::failed_);
  }
  aEntry.open_.clear();
  for (const auto& sidecar : sidecars_) {
    sidecar->owners_.erase(aEntry.id_);
  }
}

} // namespace cornelfront
