#pragma once

/// \file
/// Checks the guarantees of the system against the start records of the
/// upstream stand-ins and the answers that callers received. What the system
/// reports about itself is not taken into account.

#include "caller.h"

#include "cornelfront/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelfront::harness {

/// One task start, as recorded by an upstream stand-in.
struct StartRecord
{
  std::string submission_;
  unsigned index_ = 0;
  std::string bodyDigest_;
  WallTime started_;
  /// Index of the upstream in its cluster.
  unsigned upstream_ = 0;
};

/// Reads the records file of an upstream stand-in. An incomplete last line is
/// skipped.
std::vector<StartRecord>
ReadRecords(const std::string& aFile, unsigned aUpstream);

/// Collects the answers to each submission and checks them against the starts
/// of its tasks. Thread-safe.
class HistoryChecker
{
public:
  /// Records an answer and the present time as the time of its receipt.
  void RecordAnswer(const Submission& aSubmission, const CallerAnswer& aAnswer);
  /// Submits through \p aCaller, and records and returns the answer.
  CallerAnswer Submit(Caller& aCaller, const Submission& aSubmission);

  /// Adds a test failure for each task that started twice or with another body,
  /// each refusal of a submission that had started before or may have run, each
  /// start of a submission whose answers are all refusals, and each completed
  /// answer whose results are wrong or whose tasks did not all start.
  void Check(const std::vector<StartRecord>& aStarts) const;
  /// Lists the submissions whose newest answer is a failure or missing, one per
  /// line with the first and the newest answer.
  std::string Lost() const;
  /// Returns the number of submissions whose newest answer is \p aOutcome.
  size_t Count(AnswerOutcome aOutcome) const;

private:
  struct ReceivedAnswer
  {
    CallerAnswer answer_;
    WallTime received_;
  };
  struct SubmissionHistory
  {
    Submission submission_;
    std::vector<ReceivedAnswer> answers_;
  };

  static void CheckStarts(const Submission& aSubmission,
                          const std::vector<StartRecord>& aStarts);
  static void CheckRefusal(const ReceivedAnswer& aRefusal,
                           const std::vector<StartRecord>& aStarts);
  static void CheckHistory(const SubmissionHistory& aHistory,
                           const std::vector<StartRecord>& aStarts);

  mutable std::mutex mutex_;
  std::map<std::string, SubmissionHistory> histories_;
};

} // namespace cornelfront::harness
