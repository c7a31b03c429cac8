/// \file
/// RunTable: an upstream that has announced its end, and what may still run
/// there.

#include "cornelfront/run_table.h"

#include "policy/run_table_pvt.h"

#include <algorithm>
#include <utility>

namespace cornelfront {

bool
RunTable::OnUpstreamLeft(const UpstreamDeparture& aDeparture, MonoTime aNow)
{
  DetectSuspension(aNow);
  if (!upstream_ || upstream_->id_ != aDeparture.id_ ||
      aDeparture.startedMs_.value_or(upstream_->startedMs_) !=
        upstream_->startedMs_) {
    return false;
  }
  if (departure_) {
    return true;
  }
  if (aDeparture.startedMs_) {
    RecordGone();
  }
  WithdrawCrash();
  departure_ = Departure{ .certain_ = aDeparture.startedMs_.has_value(),
                          .leaseOverAt_ = LeaseOverAt(aNow) };
  upstream_->draining_ = true;
  FinishWaiting(aNow);
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    RequestStop(run, StopReason::UpstreamLeaving, aNow, aNow);
  }
  ConcludeDeparture(aNow);
  return true;
}

bool
RunTable::RunsNothing() const
{
  return runsKnown_ && orphans_.empty() &&
         std::all_of(runs_.begin(), runs_.end(), [](const auto& aRun) {
           return aRun.second.state_ == State::Waiting;
         });
}

bool
RunTable::IsKnownToBeThere(const Run& aRun) const
{
  return aRun.state_ == State::Running && aRun.firstPoll_ <= answeredPoll_ &&
         aRun.unanswered_ == 0;
}

void
RunTable::NoteLeavingAnswer(const UpstreamPollResult& aPollResult,
                            MonoTime aNow)
{
  if (!departure_) {
    return;
  }
  departure_->listsEnds_ = !aPollResult.ended_.empty();
  if (!aPollResult.running_.empty()) {
    // It notices the end of its lease later than it should.
    departure_->leaseOverAt_ =
      std::max(departure_->leaseOverAt_, aNow + options_.lapseDelay_);
  }
}

void
RunTable::ConcludeDeparture(MonoTime aNow)
{
  if (!departure_) {
    return;
  }
  const bool proven = RunsNothing() && !departure_->listsEnds_;
  if (!proven && aNow < departure_->leaseOverAt_) {
    return;
  }
  FinishGone(aNow);
  orphans_.clear();
  lateOrdersChanged_ = true;
  departure_.reset();
  upstream_.reset();
  // What it answers from now on is not followed by another poll.
  firstIncarnationPoll_ = polls_ + 1;
}

void
RunTable::KeepFormerRuns(Replacement aReplacement, MonoTime aNow)
{
  const MonoTime leaseOverAt =
    departure_ ? departure_->leaseOverAt_ : LeaseOverAt(aNow);
  for (auto run = runs_.begin(); run != runs_.end();) {
    Run& state = run->second;
    const bool former = aReplacement == Replacement::OtherId
                          ? state.state_ != State::Waiting
                          : IsKnownToBeThere(state);
    if (!former) {
      // The next incarnation may have begun it as well.
      state.mayRunElsewhereUntil_ = leaseOverAt;
      ++run;
      continue;
    }
    run = MakeFormer(run, leaseOverAt, aNow);
  }
  for (const auto& [key, stop] : orphans_) {
    formerRuns_.try_emplace(
      key,
      FormerRun{ .report_ = { .key_ = key }, .leaseOverAt_ = leaseOverAt });
  }
}

RunTable::Runs::iterator
RunTable::MakeFormer(Runs::iterator aRun, MonoTime aLeaseOverAt, MonoTime aNow)
{
  const Run& run = aRun->second;
  formerRuns_[aRun->first] = { .owner_ = run.owner_,
                               .term_ = run.term_,
                               .report_ = MakeReport(
                                 aRun->first, run, RunEnd::Lost, aNow),
                               .leaseOverAt_ = aLeaseOverAt };
  KeepLateOrder(*aRun, RunEnd::Lost, aNow);
  return runs_.erase(aRun);
}

void
RunTable::FinishFormerRuns(MonoTime aNow)
{
  for (auto run = formerRuns_.begin(); run != formerRuns_.end();) {
    const FormerRun& state = run->second;
    if (aNow < state.leaseOverAt_) {
      ++run;
      continue;
    }
    if (state.owner_) {
      QueueReport(*state.owner_, state.report_, aNow);
    }
    lateOrdersChanged_ = true;
    run = formerRuns_.erase(run);
  }
}

} // namespace cornelfront
