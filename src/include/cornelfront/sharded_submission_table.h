#pragma once

/// \file
/// Thread-safe table of the submissions that an entry owns, partitioned into
/// shards.

#include "cornelfront/submission_table.h"

#include <array>
#include <mutex>

namespace cornelfront {

/// SubmissionTable partitioned into shards, each with its own lock. Waiters are
/// called without a lock held, on the thread that finishes the submission.
class ShardedSubmissionTable
{
public:
  /// The limits in \p aOptions apply to all shards together.
  explicit ShardedSubmissionTable(const SubmissionTableOptions& aOptions);

  /// See SubmissionTable::Begin.
  BeginResult Begin(const SubmissionId& aId,
                    const std::string& aDigest,
                    const Waiter& aWaiter,
                    MonoTime aNow);

  /// Stores the answer of an attempt and passes it to all waiters. Does nothing
  /// if that attempt is not running.
  void Finish(const SubmissionId& aId, uint64_t aAttempt, FinalAnswer aAnswer);

  /// See SubmissionTable::Find.
  FindResult Find(const SubmissionId& aId, MonoTime aNow);

  /// See SubmissionTable::RequestCancel.
  FindResult RequestCancel(const SubmissionId& aId,
                           const Waiter& aWaiter,
                           MonoTime aNow);

  /// See SubmissionTable::CancelRequested.
  bool CancelRequested(const SubmissionId& aId);

  /// Removes submissions whose retention has ended and returns their number. To
  /// be called about once a second.
  size_t Sweep(MonoTime aNow);

  /// Number of submissions in the table.
  size_t size();

  const SubmissionTableOptions& Options() const { return options_; }

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    explicit Shard(const SubmissionTableOptions& aOptions)
      : table_(aOptions)
    {
    }

    std::mutex mutex_;
    SubmissionTable table_;
  };

  Shard& ShardOf(const SubmissionId& aId);

  const SubmissionTableOptions options_;
  std::array<std::unique_ptr<Shard>, kShards> shards_;
};

} // namespace cornelfront
