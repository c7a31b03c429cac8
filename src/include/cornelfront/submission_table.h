#pragma once

/// \file
/// The owner's memory of submissions: decides whether a request begins a new
/// attempt, joins a running one or gets a stored answer.

#include "cornelfront/clock.h"
#include "cornelfront/dispatcher.h"
#include "cornelfront/refusal.h"
#include "cornelfront/submission.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cornelfront {

/// How an attempt ended: the dispatcher's result, or a refusal before the
/// dispatcher was asked.
using FinalAnswer = std::variant<JobResult, Refusal>;
using FinalAnswerPtr = std::shared_ptr<const FinalAnswer>;

/// True if nothing ran, so that the submission may be attempted again.
bool
IsRefused(const FinalAnswer& aAnswer);

/// Gets the answer of a running submission. Empty if nobody waits.
using Waiter = std::function<void(const FinalAnswerPtr&)>;

/// The request begins attempt number_; its sender must call Finish for it.
struct NewAttempt
{
  uint64_t number_ = 0;
};

/// An attempt is running. attached_ is false if too many wait already.
struct StillRunning
{
  bool attached_ = false;
};

struct Answered
{
  FinalAnswerPtr answer_;
};

/// The submission ran, and its answer was dropped to save memory.
struct AnswerDropped
{};

/// Unknown, and too old to be certain that it was never accepted.
struct ExpiredUnknown
{};

/// Unknown, and certainly never accepted: the prefix was not issued yet.
struct NeverIssued
{};

/// Not known so far; a request that would begin it may still arrive.
struct NotAccepted
{};

/// The id belongs to a request with another digest.
struct DigestMismatch
{};

struct TableIsFull
{};

using BeginResult = std::variant<NewAttempt,
                                 StillRunning,
                                 Answered,
                                 AnswerDropped,
                                 ExpiredUnknown,
                                 NeverIssued,
                                 DigestMismatch,
                                 TableIsFull>;

using FindResult = std::
  variant<StillRunning, Answered, AnswerDropped, ExpiredUnknown, NotAccepted>;

struct SubmissionTableOptions
{
  /// Start of the owner's process, from which issue times are counted.
  MonoTime start_;
  /// How long a prefix may begin new submissions.
  Millis prefixLifetime_{ 120000 };
  /// Upper bound on the time from acceptance to the final answer.
  Millis longestRun_{ 120000 };
  size_t maxEntries_ = 1U << 20;
  /// Bound on the stored answers; the oldest are dropped first. The newest is
  /// kept whatever its size.
  size_t maxAnswerBytes_ = 256U << 20;
  /// Requests that may wait for one submission.
  size_t maxWaiters_ = 32;
};

/// Not thread-safe. An entry is kept for at least the prefix lifetime plus the
/// longest run after its acceptance, and always while it runs, so that an
/// unknown id with a good prefix was certainly never accepted.
class SubmissionTable
{
public:
  explicit SubmissionTable(SubmissionTableOptions aOptions);

  /// Decides on a request that would begin \p aId. \p aWaiter is kept if the
  /// result is NewAttempt or an attached StillRunning. A refused submission
  /// begins a new attempt, also after its prefix has expired.
  BeginResult Begin(const SubmissionId& aId,
                    const std::string& aDigest,
                    const Waiter& aWaiter,
                    MonoTime aNow);

  /// Stores the answer of an attempt and returns who waits for it. Returns
  /// nobody and changes nothing if that attempt is not running.
  std::vector<Waiter> Finish(const SubmissionId& aId,
                             uint64_t aAttempt,
                             const FinalAnswerPtr& aAnswer);

  FindResult Find(const SubmissionId& aId, MonoTime aNow) const;

  /// As Find, and marks a running submission as to be cancelled and attaches
  /// \p aWaiter to it.
  FindResult RequestCancel(const SubmissionId& aId,
                           const Waiter& aWaiter,
                           MonoTime aNow);

  /// True if RequestCancel was called for the running attempt.
  bool CancelRequested(const SubmissionId& aId) const;

  /// Forgets what need not be kept any more; returns how many.
  size_t Sweep(MonoTime aNow);

  size_t size() const { return entries_.size(); }
  size_t AnswerBytes() const { return answerBytes_; }

private:
  /// Keys of entries in some order; they point into entries_.
  using KeyList = std::list<const std::string*>;

  struct RunningState
  {
    std::vector<Waiter> waiters_;
    bool cancelRequested_ = false;
  };

  struct RefusedState
  {
    FinalAnswerPtr answer_;
    KeyList::iterator position_;
  };

  struct StoredState
  {
    FinalAnswerPtr answer_;
    size_t bytes_ = 0;
    KeyList::iterator position_;
  };

  struct DroppedState
  {};

  struct Entry
  {
    std::string digest_;
    uint64_t attempt_ = 0;
    MonoTime accepted_;
    KeyList::iterator position_;
    std::variant<DroppedState, RunningState, RefusedState, StoredState> state_;
  };

  using Entries = std::unordered_map<std::string, Entry>;

  BeginResult BeginUnknown(const SubmissionId& aId,
                           const std::string& aDigest,
                           const Waiter& aWaiter,
                           MonoTime aNow);
  BeginResult BeginKnown(Entry& aEntry, const Waiter& aWaiter, MonoTime aNow);
  FindResult FindUnknown(const SubmissionId& aId, MonoTime aNow) const;
  NewAttempt StartAttempt(Entry& aEntry, const Waiter& aWaiter, MonoTime aNow);
  bool Attach(RunningState& aState, const Waiter& aWaiter) const;
  bool MakeRoom();
  void StoreAnswer(const std::string& aKey,
                   Entry& aEntry,
                   const FinalAnswerPtr& aAnswer);
  void LeaveLists(Entry& aEntry);
  void DropOldAnswers();
  void Forget(const std::string& aKey);

  SubmissionTableOptions options_;
  Entries entries_;
  KeyList byAcceptance_;
  KeyList refused_;
  KeyList stored_;
  size_t answerBytes_ = 0;
  /// Latest time given to Sweep. A thread that took its time before a sweep
  /// and arrives after it must not see an entry's absence as news.
  MonoTime swept_;
};

} // namespace cornelfront
