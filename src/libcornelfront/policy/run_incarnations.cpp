/// \file
/// RunTable: which incarnation of the upstream is the current one, and the end
/// of the others.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <utility>

namespace cornelfront {
namespace {

/// Number of incarnations that are remembered as gone.
constexpr size_t kMaxGone = 16;

} // namespace

HeartbeatSender
RunTable::IdentifySender(const UpstreamInfo& aInfo) const
{
  const auto sender = std::make_pair(aInfo.id_, aInfo.startedMs_);
  if (std::find(gone_.begin(), gone_.end(), sender) != gone_.end()) {
    return HeartbeatSender::Outdated;
  }
  if (!upstream_) {
    return HeartbeatSender::Successor;
  }
  if (upstream_->id_ == aInfo.id_ &&
      upstream_->startedMs_ == aInfo.startedMs_) {
    return HeartbeatSender::Current;
  }
  const bool later = aInfo.startedMs_ > upstream_->startedMs_;
  return later ? HeartbeatSender::Unproven : HeartbeatSender::Outdated;
}

void
RunTable::OnUpstream(const UpstreamInfo& aInfo, MonoTime aNow)
{
  DetectSuspension(aNow);
  const bool sameIncarnation =
    IdentifySender(aInfo) == HeartbeatSender::Current;
  if (sameIncarnation && departure_ && !departure_->certain_) {
    // It was another incarnation's call that had been held up.
    departure_.reset();
  }
  if (!sameIncarnation) {
    RecordCrash();
    // Until it answers, the earlier one may yet start again under its id.
    FinishReplaced(Replacement::SameId, aNow);
    orphans_.clear();
    departure_.reset();
    runsKnown_ = false;
    newestEnd_ = 0;
    unacknowledged_.clear();
    latestDeadline_ = {};
    upstreamHeardAt_ = aNow;
    firstIncarnationPoll_ = polls_ + 1;
  }
  upstream_ = aInfo;
  if (aInfo.draining_) {
    FinishWaiting(aNow);
  }
}

bool
RunTable::OnUpstreamReplaced(uint64_t aPollNumber,
                             Replacement aReplacement,
                             MonoTime aNow)
{
  DetectSuspension(aNow);
  if (aPollNumber < firstIncarnationPoll_) {
    return false;
  }
  if (upstream_) {
    RecordGone();
  }
  RecordCrash();
  // One that has never answered here was sent no order, and proves nothing of
  // the ids that were.
  FinishReplaced(runsKnown_ ? aReplacement : Replacement::SameId, aNow);
  orphans_.clear();
  departure_.reset();
  upstream_.reset();
  upstreamHeardAt_ = aNow;
  return true;
}

void
RunTable::OnFirstAnswer()
{
  if (answeredId_ && *answeredId_ != upstream_->id_) {
    for (auto& [key, run] : runs_) {
      if (run.keptPastRestart_) {
        run.keptPastRestart_ = false;
        run.unanswered_ = 0;
      }
    }
    lateOrders_.Clear();
    lateOrdersChanged_ = true;
  }
  answeredId_ = upstream_->id_;
}

void
RunTable::RecordGone()
{
  // A heartbeat without a start time does not tell incarnations apart.
  if (upstream_->startedMs_ == 0) {
    return;
  }
  gone_.emplace_back(upstream_->id_, upstream_->startedMs_);
  if (gone_.size() > kMaxGone) {
    gone_.pop_front();
  }
}

void
RunTable::FinishReplaced(Replacement aReplacement, MonoTime aNow)
{
  // Its process may live on beside the one that answers in its place.
  if (upstream_) {
    KeepFormerRuns(aReplacement, aNow);
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    Run& state = run->second;
    const bool waiting = state.state_ == State::Waiting;
    if (waiting || IsKnownToBeThere(state) ||
        aReplacement == Replacement::OtherId) {
      run = Finish(run, waiting ? RunEnd::NotStarted : RunEnd::Lost, aNow);
      continue;
    }
    state.keptPastRestart_ = true;
    state.numberUsed_ = false;
    // Its deadline says nothing on the clock of the next incarnation.
    state.deadline_ = UpstreamTime{ Millis(-1) };
    if (state.state_ != State::Running) {
      state.state_ = State::Running;
      state.started_ = aNow;
      state.unanswered_ = std::max(state.unanswered_, 1);
    }
    state.firstPoll_ = polls_ + 1;
    ++run;
  }
  if (aReplacement == Replacement::OtherId) {
    lateOrders_.Clear();
  } else {
    lateOrders_.OnRestart(polls_ + 1);
  }
  lateOrdersChanged_ = true;
}

void
RunTable::FinishGone(MonoTime aNow)
{
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (MayBeginLate(run->second, aNow)) {
      ++run;
      continue;
    }
    const bool waiting = run->second.state_ == State::Waiting;
    run = Finish(run, waiting ? RunEnd::NotStarted : RunEnd::Lost, aNow);
  }
}

} // namespace cornelfront
