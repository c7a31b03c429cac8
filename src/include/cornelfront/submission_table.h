#pragma once

/// \file
/// Submissions known to the entry that owns them. Decides whether a request
/// begins a new attempt, waits for a running one or gets a stored answer.

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

/// Result of an attempt: that of the dispatcher, or a refusal before the
/// dispatcher was called.
using FinalAnswer = std::variant<JobResult, Refusal>;
using FinalAnswerPtr = std::shared_ptr<const FinalAnswer>;

/// Returns true if no task ran, so that the submission may be attempted again.
bool
IsRefused(const FinalAnswer& aAnswer);

/// Called with the answer of a running submission. Empty if no request waits.
using Waiter = std::function<void(const FinalAnswerPtr&)>;

/// The request begins the attempt number_; whoever called Begin must call
/// Finish for it.
struct NewAttempt
{
  uint64_t number_ = 0;
};

/// An attempt is running. attached_ is true if the request now waits for it;
/// false if it does not, for instance because too many requests already do.
struct StillRunning
{
  bool attached_ = false;
};

struct Answered
{
  FinalAnswerPtr answer_;
};

/// The submission ran, but its answer was discarded to save memory.
struct AnswerDropped
{};

/// Unknown, and its prefix has expired, so it may have been accepted before.
struct ExpiredUnknown
{};

/// Unknown and certainly never accepted, since the prefix has not been issued
/// yet.
struct NeverIssued
{};

/// Not known yet; a request that begins it may still arrive.
struct NotAccepted
{};

/// The id belongs to a request with a different digest.
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
  /// Start of this process, to which the times of issue of prefixes are
  /// relative.
  MonoTime start_;
  /// Time for which a prefix may begin new submissions.
  Millis prefixLifetime_{ 120000 };
  /// Upper bound on the time from acceptance to the final answer.
  Millis maxRunTime_{ 120000 };
  size_t maxEntries_ = 1U << 20;
  /// Maximum size of the stored answers; the oldest are discarded first. The
  /// newest is kept whatever its size.
  size_t maxAnswerBytes_ = 256U << 20;
  /// Maximum number of requests that wait for one submission.
  size_t maxWaiters_ = 32;
};

/// Submissions by id. Each is kept for at least the prefix lifetime plus the
/// maximum run time after its acceptance, and always while it runs, so that an
/// unknown id with a valid prefix was certainly never accepted. Not
/// thread-safe.
class SubmissionTable
{
public:
  explicit SubmissionTable(SubmissionTableOptions aOptions);

  /// Handles a request to begin \p aId. \p aWaiter is kept if the result is
  /// NewAttempt or an attached StillRunning. A refused submission begins a new
  /// attempt, even after its prefix has expired.
  BeginResult Begin(const SubmissionId& aId,
                    const std::string& aDigest,
                    const Waiter& aWaiter,
                    MonoTime aNow);

  /// Stores the answer of an attempt and returns the callbacks of the requests
  /// that wait for it. Returns none and changes nothing if that attempt is not
  /// running.
  std::vector<Waiter> Finish(const SubmissionId& aId,
                             uint64_t aAttempt,
                             const FinalAnswerPtr& aAnswer);

  FindResult Find(const SubmissionId& aId, MonoTime aNow) const;

  /// Like Find, but also marks a running submission as to be cancelled and
  /// attaches \p aWaiter to it.
  FindResult RequestCancel(const SubmissionId& aId,
                           const Waiter& aWaiter,
                           MonoTime aNow);

  /// True if RequestCancel was called for the running attempt.
  bool CancelRequested(const SubmissionId& aId) const;

  /// Removes submissions that need not be kept any longer; returns their
  /// number.
  size_t Sweep(MonoTime aNow);

  size_t size() const { return entries_.size(); }
  size_t AnswerBytes() const { return answerBytes_; }

private:
  /// Ordered list of pointers to the keys of entries_.
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
    MonoTime acceptedAt_;
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
  bool EvictRefused();
  void StoreAnswer(const std::string& aKey,
                   Entry& aEntry,
                   const FinalAnswerPtr& aAnswer);
  void RemoveFromLists(Entry& aEntry);
  void EvictAnswers();
  void Remove(const std::string& aKey);

  SubmissionTableOptions options_;
  Entries entries_;
  KeyList byAcceptance_;
  KeyList refused_;
  KeyList stored_;
  size_t answerBytes_ = 0;
  /// Latest time passed to Sweep. Earlier times are raised to it: a thread that
  /// read the clock before a sweep and takes the lock after it must not treat a
  /// removed submission as one that was never accepted.
  MonoTime lastSweep_;
};

} // namespace cornelfront
