#pragma once

/// \file
/// Attributes crashes of upstreams to the tasks that they ran.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cornelfront {

/// How likely it is that a task crashes the upstreams that start it.
enum class CrashSuspicion : uint8_t
{
  /// No upstream has crashed under it.
  None,
  /// An upstream has crashed under it, but other tasks may be the cause.
  Suspect,
  /// Too many upstreams may have crashed under it to start it again before it
  /// is known whether they have.
  Held,
  /// It crashes its upstreams.
  Confirmed,
};

struct CrashLedgerOptions
{
  /// A task is confirmed as the cause once this many upstreams have crashed
  /// under it.
  size_t maxCrashes_ = 3;
  /// The same if nothing else ran on one of them, counting only crashes before
  /// which the task is known to have begun. A task may end its upstream before
  /// the answer to its start, but an order without an answer may also have met
  /// an upstream that was mute already.
  size_t maxCrashesAlone_ = 2;
  /// An upstream that has been silent for this long without coming back is
  /// taken as gone for another reason.
  Millis suspicionTimeout_{ 20000 };
  /// How long crashes are remembered.
  Millis retention_{ 600000 };
  /// Number of crashes that are remembered.
  size_t maxEntries_ = 2000;
};

/// Collects the crashes that sidecars report. Sidecars report to all entries,
/// and to one that links later, so that what is known of a task outlives the
/// entry that started it. Not thread-safe. All times are from BootNow.
class CrashLedger
{
public:
  explicit CrashLedger(CrashLedgerOptions aOptions);

  /// Records what a sidecar reports; a later report of the same crash replaces
  /// the earlier one.
  void Record(MemberId aSidecar, const UpstreamCrash& aCrash, MonoTime aNow);
  /// Forgets crashes that are too old.
  void Expire(MonoTime aNow);

  /// True if no crash is remembered.
  bool Empty() const { return byTask_.empty(); }
  CrashSuspicion SuspicionOf(const JobTaskId& aTask) const;
  /// Returns a task of a job's occurrence that is confirmed, if there is one.
  std::optional<JobTaskId> FindConfirmed(const std::string& aJob,
                                         uint32_t aOccurrence) const;
  /// Returns the number of upstreams that are known to have crashed under a
  /// task.
  size_t CrashesUnder(const JobTaskId& aTask) const;
  /// Returns how many of them crashed before it was known that the task had
  /// begun.
  size_t UnansweredUnder(const JobTaskId& aTask) const;

private:
  struct CrashId
  {
    MemberId sidecar_;
    uint64_t number_ = 0;

    auto operator<=>(const CrashId&) const = default;
  };

  struct Crash
  {
    UpstreamCrash report_;
    MonoTime reportedAt_;
  };
  using Crashes = std::map<CrashId, Crash>;

  /// What is known of one task.
  struct Count
  {
    /// Crashes that are proven.
    size_t proven_ = 0;
    /// Those of them before which the task is not known to have begun.
    size_t unanswered_ = 0;
    /// It is known to have begun before one of them, with nothing else there.
    bool alone_ = false;
  };

  Count CountOf(const JobTaskId& aTask) const;
  Crashes::iterator Forget(Crashes::iterator aCrash);
  void ForgetOldest();

  const CrashLedgerOptions options_;
  Crashes crashes_;
  std::map<JobTaskId, std::set<CrashId>> byTask_;
};

} // namespace cornelfront
