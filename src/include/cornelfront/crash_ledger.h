#pragma once

/// \file
/// Which tasks are to blame for crashes of upstreams.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cornelfront {

/// What is known of a task from the crashes of upstreams that ran it.
enum class TaskVerdict : uint8_t
{
  /// No upstream has crashed under it.
  Clear,
  /// An upstream has crashed under it, for which other tasks may be to blame.
  Suspect,
  /// Too many upstreams may have crashed under it to start it again before it
  /// is known whether they have.
  Held,
  /// It crashes its upstreams.
  Deadly,
};

std::string_view
ToString(TaskVerdict aVerdict);

struct CrashLedgerOptions
{
  /// A task is deadly once this many upstreams have crashed under it.
  size_t maxCrashes_ = 3;
  /// The same if nothing else ran on one of them.
  size_t maxCrashesAlone_ = 2;
  /// An upstream that has been silent for this long without coming back is
  /// taken as gone for another reason.
  Millis suspicionTimeout_{ 20000 };
  /// How long crashes are remembered.
  Millis retention_{ 600000 };
  /// Number of crashes that are remembered.
  size_t maxEntries_ = 2000;
};

/// Collects the crashes that sidecars report, and judges tasks by them.
/// Sidecars report to all entries, and to one that links later, so that what is
/// known of a task outlives the entry that started it. Not thread-safe. All
/// times are from BootNow.
class CrashLedger
{
public:
  explicit CrashLedger(CrashLedgerOptions aOptions);

  /// Records what a sidecar reports; a later report of the same crash replaces
  /// the earlier one.
  void Record(MemberId aSidecar, const UpstreamCrash& aCrash, MonoTime aNow);
  /// Forgets crashes that are too old.
  void Expire(MonoTime aNow);

  TaskVerdict VerdictOf(const JobTaskId& aTask) const;
  /// Returns a task of a job's occurrence that is deadly, if there is one.
  std::optional<JobTaskId> FindDeadly(const std::string& aJob,
                                      uint32_t aOccurrence) const;
  /// Returns the number of upstreams that are known to have crashed under a
  /// task.
  size_t CrashesUnder(const JobTaskId& aTask) const;

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

  Crashes::iterator Forget(Crashes::iterator aCrash);
  void ForgetOldest();

  const CrashLedgerOptions options_;
  Crashes crashes_;
  std::map<JobTaskId, std::set<CrashId>> byTask_;
};

} // namespace cornelfront
