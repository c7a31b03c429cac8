#pragma once

/// \file
/// Judges a run by the upstream stand-ins' records of starts and by the
/// callers' own answers, never by what the system says of itself.

#include "caller.h"

#include "cornelfront/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// One start, as an upstream stand-in recorded it.
struct StartRecord
{
  std::string submission_;
  unsigned index_ = 0;
  std::string bodyDigest_;
  WallTime started_;
  /// Number of the upstream in its cluster.
  unsigned upstream_ = 0;
};

/// Reads the file that an upstream stand-in writes; a torn last line is left
/// out.
std::vector<StartRecord>
ReadRecords(const std::string& aFile, unsigned aUpstream);

/// Collects answers; thread-safe.
class Judge
{
public:
  /// Takes note of an answer at the moment of its receipt.
  void Note(const Submission& aSubmission, const CallerAnswer& aAnswer);
  /// Submits and notes the answer.
  CallerAnswer Submit(Caller& aCaller, const Submission& aSubmission);

  /// Adds a test failure for each task that started twice or with another
  /// body, each refusal of what had been started, each start of what was only
  /// refused, and each completed answer that is not whole or has no start.
  void Check(const std::vector<StartRecord>& aStarts) const;
  /// The submissions that failed or got no answer, one a line.
  std::string Lost() const;
  /// Number of submissions whose newest answer is \p aOutcome.
  size_t Count(Answer aOutcome) const;

private:
  struct Noted
  {
    CallerAnswer answer_;
    WallTime received_;
  };
  struct History
  {
    Submission submission_;
    std::vector<Noted> answers_;
  };

  static void CheckStarts(const Submission& aSubmission,
                          const std::vector<StartRecord>& aStarts);
  static void CheckRefusal(const Noted& aRefusal,
                           const std::vector<StartRecord>& aStarts);
  static void CheckHistory(const History& aHistory,
                           const std::vector<StartRecord>& aStarts);

  mutable std::mutex mutex_;
  std::map<std::string, History> histories_;
};

} // namespace cornelfront::harness
