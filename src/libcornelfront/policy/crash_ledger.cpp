#include "cornelfront/crash_ledger.h"

#include <algorithm>

namespace cornelfront {
CrashLedger::CrashLedger(CrashLedgerOptions aOptions)
  : options_(aOptions)
{
}

void
CrashLedger::Record(MemberId aSidecar,
                    const UpstreamCrash& aCrash,
                    MonoTime aNow)
{
  const CrashId id{ aSidecar, aCrash.number_ };
  const auto known = crashes_.find(id);
  if (known != crashes_.end()) {
    Forget(known);
  }
  if (aCrash.state_ == CrashState::Withdrawn) {
    return;
  }
  if (crashes_.size() >= options_.maxEntries_) {
    ForgetOldest();
  }
  crashes_[id] = { .report_ = aCrash, .reportedAt_ = aNow };
  for (const JobTaskId& task : aCrash.tasks_) {
    byTask_[task].insert(id);
  }
}

CrashLedger::Crashes::iterator
CrashLedger::Forget(Crashes::iterator aCrash)
{
  for (const JobTaskId& task : aCrash->second.report_.tasks_) {
    const auto found = byTask_.find(task);
    if (found == byTask_.end()) {
      continue;
    }
    found->second.erase(aCrash->first);
    if (found->second.empty()) {
      byTask_.erase(found);
    }
  }
  return crashes_.erase(aCrash);
}

void
CrashLedger::ForgetOldest()
{
  Forget(std::min_element(
    crashes_.begin(), crashes_.end(), [](const auto& aA, const auto& aB) {
      return aA.second.reportedAt_ < aB.second.reportedAt_;
    }));
}

void
CrashLedger::Expire(MonoTime aNow)
{
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    const bool proven = crash->second.report_.state_ == CrashState::Proven;
    const Millis limit =
      proven ? options_.retention_ : options_.suspicionTimeout_;
    crash = aNow - crash->second.reportedAt_ > limit ? Forget(crash)
                                                     : std::next(crash);
  }
}

CrashLedger::Count
CrashLedger::CountOf(const JobTaskId& aTask) const
{
  Count count;
  const auto found = byTask_.find(aTask);
  if (found == byTask_.end()) {
    return count;
  }
  for (const CrashId& id : found->second) {
    const UpstreamCrash& crash = crashes_.at(id).report_;
    if (crash.state_ != CrashState::Proven) {
      continue;
    }
    const auto& unanswered = crash.unanswered_;
    const bool begun = std::find(unanswered.begin(), unanswered.end(), aTask) ==
                       unanswered.end();
    ++count.proven_;
    count.unanswered_ += begun ? 0 : 1;
    count.alone_ |= begun && crash.tasks_.size() == 1;
  }
  return count;
}

CrashSuspicion
CrashLedger::SuspicionOf(const JobTaskId& aTask) const
{
  const auto found = byTask_.find(aTask);
  if (found == byTask_.end()) {
    return CrashSuspicion::None;
  }
  const Count count = CountOf(aTask);
  const size_t begun = count.proven_ - count.unanswered_;
  if (count.proven_ >= options_.maxCrashes_ ||
      (count.alone_ && begun >= options_.maxCrashesAlone_)) {
    return CrashSuspicion::Confirmed;
  }
  return found->second.size() >= options_.maxCrashes_ ? CrashSuspicion::Held
                                                      : CrashSuspicion::Suspect;
}

std::optional<JobTaskId>
CrashLedger::FindConfirmed(const std::string& aJob, uint32_t aOccurrence) const
{
  for (auto found = byTask_.lower_bound({ aJob, aOccurrence });
       found != byTask_.end() && found->first.job_ == aJob &&
       found->first.occurrence_ == aOccurrence;
       ++found) {
    if (SuspicionOf(found->first) == CrashSuspicion::Confirmed) {
      return found->first;
    }
  }
  return std::nullopt;
}

size_t
CrashLedger::CrashesUnder(const JobTaskId& aTask) const
{
  return CountOf(aTask).proven_;
}

size_t
CrashLedger::UnansweredUnder(const JobTaskId& aTask) const
{
  return CountOf(aTask).unanswered_;
}

} // namespace cornelfront
