#include "cornelfront/submission_table.h"

#include <algorithm>
#include <utility>

namespace cornelfront {

namespace {

/// Approximate memory of a stored answer without the bodies, in bytes.
constexpr size_t kAnswerOverhead = 256;

size_t
BytesOf(const FinalAnswer& aAnswer)
{
  size_t bytes = kAnswerOverhead;
  if (const auto* result = std::get_if<JobResult>(&aAnswer)) {
    for (const TaskAnswer& answer : result->answers_) {
      bytes += sizeof(TaskAnswer) + answer.body_.size();
    }
  }
  return bytes;
}

} // namespace

bool
IsRefused(const FinalAnswer& aAnswer)
{
  const auto* result = std::get_if<JobResult>(&aAnswer);
  return result == nullptr || result->outcome_ == Outcome::Refused;
}

SubmissionTable::SubmissionTable(SubmissionTableOptions aOptions)
  : options_(aOptions)
  , swept_(aOptions.start_)
{
}

BeginResult
SubmissionTable::Begin(const SubmissionId& aId,
                       const std::string& aDigest,
                       const Waiter& aWaiter,
                       MonoTime aNow)
{
  const auto found = entries_.find(ToString(aId));
  if (found == entries_.end()) {
    return BeginUnknown(aId, aDigest, aWaiter, aNow);
  }
  if (found->second.digest_ != aDigest) {
    return DigestMismatch{};
  }
  return BeginKnown(found->second, aWaiter, aNow);
}

BeginResult
SubmissionTable::BeginUnknown(const SubmissionId& aId,
                              const std::string& aDigest,
                              const Waiter& aWaiter,
                              MonoTime aNow)
{
  const PrefixAge age = JudgePrefix(aId.prefix_,
                                    options_.start_,
                                    options_.prefixLifetime_,
                                    std::max(aNow, swept_));
  if (age == PrefixAge::Future) {
    return NeverIssued{};
  }
  if (age == PrefixAge::Expired) {
    return ExpiredUnknown{};
  }
  if (!MakeRoom()) {
    return TableIsFull{};
  }
  const auto inserted = entries_.try_emplace(ToString(aId)).first;
  Entry& entry = inserted->second;
  entry.digest_ = aDigest;
  entry.position_ = byAcceptance_.insert(byAcceptance_.end(), &inserted->first);
  return StartAttempt(entry, aWaiter, aNow);
}

BeginResult
SubmissionTable::BeginKnown(Entry& aEntry, const Waiter& aWaiter, MonoTime aNow)
{
  if (auto* running = std::get_if<RunningState>(&aEntry.state_)) {
    return StillRunning{ Attach(*running, aWaiter) };
  }
  if (const auto* stored = std::get_if<StoredState>(&aEntry.state_)) {
    return Answered{ stored->answer_ };
  }
  if (std::holds_alternative<DroppedState>(aEntry.state_)) {
    return AnswerDropped{};
  }
  LeaveLists(aEntry);
  byAcceptance_.splice(byAcceptance_.end(), byAcceptance_, aEntry.position_);
  return StartAttempt(aEntry, aWaiter, aNow);
}

NewAttempt
SubmissionTable::StartAttempt(Entry& aEntry,
                              const Waiter& aWaiter,
                              MonoTime aNow)
{
  aEntry.attempt_ += 1;
  aEntry.accepted_ = std::max(aNow, swept_);
  RunningState running;
  if (aWaiter) {
    running.waiters_.push_back(aWaiter);
  }
  aEntry.state_ = std::move(running);
  return { aEntry.attempt_ };
}

bool
SubmissionTable::Attach(RunningState& aState, const Waiter& aWaiter) const
{
  if (!aWaiter || aState.waiters_.size() >= options_.maxWaiters_) {
    return false;
  }
  aState.waiters_.push_back(aWaiter);
  return true;
}

bool
SubmissionTable::MakeRoom()
{
  if (entries_.size() < options_.maxEntries_) {
    return true;
  }
  // A refused submission did not run, so removing it cannot cause a second
  // start.
  if (refused_.empty()) {
    return false;
  }
  Forget(*refused_.front());
  return true;
}

std::vector<Waiter>
SubmissionTable::Finish(const SubmissionId& aId,
                        uint64_t aAttempt,
                        const FinalAnswerPtr& aAnswer)
{
  const auto found = entries_.find(ToString(aId));
  if (found == entries_.end() || found->second.attempt_ != aAttempt) {
    return {};
  }
  auto* running = std::get_if<RunningState>(&found->second.state_);
  if (running == nullptr) {
    return {};
  }
  std::vector<Waiter> waiters = std::move(running->waiters_);
  StoreAnswer(found->first, found->second, aAnswer);
  return waiters;
}

void
SubmissionTable::StoreAnswer(const std::string& aKey,
                             Entry& aEntry,
                             const FinalAnswerPtr& aAnswer)
{
  if (IsRefused(*aAnswer)) {
    const auto position = refused_.insert(refused_.end(), &aKey);
    aEntry.state_ = RefusedState{ .answer_ = aAnswer, .position_ = position };
    return;
  }
  const size_t bytes = BytesOf(*aAnswer);
  const auto position = stored_.insert(stored_.end(), &aKey);
  aEntry.state_ =
    StoredState{ .answer_ = aAnswer, .bytes_ = bytes, .position_ = position };
  answerBytes_ += bytes;
  DropOldAnswers();
}

void
SubmissionTable::DropOldAnswers()
{
  while (answerBytes_ > options_.maxAnswerBytes_ && stored_.size() > 1) {
    Entry& oldest = entries_.at(*stored_.front());
    LeaveLists(oldest);
    oldest.state_ = DroppedState{};
  }
}

void
SubmissionTable::LeaveLists(Entry& aEntry)
{
  if (const auto* refused = std::get_if<RefusedState>(&aEntry.state_)) {
    refused_.erase(refused->position_);
  }
  if (const auto* stored = std::get_if<StoredState>(&aEntry.state_)) {
    answerBytes_ -= stored->bytes_;
    stored_.erase(stored->position_);
  }
}

FindResult
SubmissionTable::Find(const SubmissionId& aId, MonoTime aNow) const
{
  const auto found = entries_.find(ToString(aId));
  if (found == entries_.end()) {
    return FindUnknown(aId, aNow);
  }
  const Entry& entry = found->second;
  if (std::holds_alternative<RunningState>(entry.state_)) {
    return StillRunning{};
  }
  if (const auto* refused = std::get_if<RefusedState>(&entry.state_)) {
    return Answered{ refused->answer_ };
  }
  if (const auto* stored = std::get_if<StoredState>(&entry.state_)) {
    return Answered{ stored->answer_ };
  }
  return AnswerDropped{};
}

FindResult
SubmissionTable::FindUnknown(const SubmissionId& aId, MonoTime aNow) const
{
  const PrefixAge age = JudgePrefix(aId.prefix_,
                                    options_.start_,
                                    options_.prefixLifetime_,
                                    std::max(aNow, swept_));
  if (age == PrefixAge::Expired) {
    return ExpiredUnknown{};
  }
  return NotAccepted{};
}

FindResult
SubmissionTable::RequestCancel(const SubmissionId& aId,
                               const Waiter& aWaiter,
                               MonoTime aNow)
{
  const auto found = entries_.find(ToString(aId));
  if (found != entries_.end()) {
    if (auto* running = std::get_if<RunningState>(&found->second.state_)) {
      running->cancelRequested_ = true;
      return StillRunning{ Attach(*running, aWaiter) };
    }
  }
  return Find(aId, aNow);
}

bool
SubmissionTable::CancelRequested(const SubmissionId& aId) const
{
  const auto found = entries_.find(ToString(aId));
  if (found == entries_.end()) {
    return false;
  }
  const auto* running = std::get_if<RunningState>(&found->second.state_);
  return running != nullptr && running->cancelRequested_;
}

size_t
SubmissionTable::Sweep(MonoTime aNow)
{
  swept_ = std::max(swept_, aNow);
  size_t forgotten = 0;
  for (size_t left = byAcceptance_.size(); left > 0; --left) {
    const std::string* key = byAcceptance_.front();
    const Entry& entry = entries_.at(*key);
    if (entry.accepted_ + options_.prefixLifetime_ + options_.longestRun_ >=
        swept_) {
      break;
    }
    if (std::holds_alternative<RunningState>(entry.state_)) {
      byAcceptance_.splice(
        byAcceptance_.end(), byAcceptance_, byAcceptance_.begin());
      continue;
    }
    Forget(*key);
    ++forgotten;
  }
  return forgotten;
}

void
SubmissionTable::Forget(const std::string& aKey)
{
  const auto found = entries_.find(aKey);
  LeaveLists(found->second);
  byAcceptance_.erase(found->second.position_);
  entries_.erase(found);
}

} // namespace cornelfront
