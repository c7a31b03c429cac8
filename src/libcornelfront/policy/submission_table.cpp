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
  , lastSweep_(aOptions.start_)
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
  const PrefixAge age = ClassifyPrefix(aId.prefix_,
                                       options_.start_,
                                       options_.prefixLifetime_,
                                       std::max(aNow, lastSweep_));
  if (age == PrefixAge::Future) {
    return NeverIssued{};
  }
  if (age == PrefixAge::Expired) {
    return ExpiredUnknown{};
  }
  if (!EvictRefused()) {
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
  RemoveFromLists(aEntry);
  byAcceptance_.splice(byAcceptance_.end(), byAcceptance_, aEntry.position_);
  return StartAttempt(aEntry, aWaiter, aNow);
}

NewAttempt
SubmissionTable::StartAttempt(Entry& aEntry,
                              const Waiter& aWaiter,
                              MonoTime aNow)
{
  aEntry.attempt_ += 1;
  aEntry.acceptedAt_ = std::max(aNow, lastSweep_);
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
SubmissionTable::EvictRefused()
{
  if (entries_.size() < options_.maxEntries_) {
    return true;
  }
  // A refused submission did not run, so removing it cannot cause a second
  // start.
  if (refused_.empty()) {
    return false;
  }
  Remove(*refused_.front());
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
  EvictAnswers();
}

void
SubmissionTable::EvictAnswers()
{
  while (answerBytes_ > options_.maxAnswerBytes_ && stored_.size() > 1) {
    Entry& oldest = entries_.at(*stored_.front());
    RemoveFromLists(oldest);
    oldest.state_ = DroppedState{};
  }
}

void
SubmissionTable::RemoveFromLists(Entry& aEntry)
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
  const PrefixAge age = ClassifyPrefix(aId.prefix_,
                                       options_.start_,
                                       options_.prefixLifetime_,
                                       std::max(aNow, lastSweep_));
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
  lastSweep_ = std::max(lastSweep_, aNow);
  size_t removed = 0;
  for (size_t remaining = byAcceptance_.size(); remaining > 0; --remaining) {
    const std::string* key = byAcceptance_.front();
    const Entry& entry = entries_.at(*key);
    if (entry.acceptedAt_ + options_.prefixLifetime_ + options_.maxRunTime_ >=
        lastSweep_) {
      break;
    }
    if (std::holds_alternative<RunningState>(entry.state_)) {
      byAcceptance_.splice(
        byAcceptance_.end(), byAcceptance_, byAcceptance_.begin());
      continue;
    }
    Remove(*key);
    ++removed;
  }
  return removed;
}

void
SubmissionTable::Remove(const std::string& aKey)
{
  const auto found = entries_.find(aKey);
  RemoveFromLists(found->second);
  byAcceptance_.erase(found->second.position_);
  entries_.erase(found);
}

} // namespace cornelfront
