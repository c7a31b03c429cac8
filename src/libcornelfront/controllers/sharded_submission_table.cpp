#include "cornelfront/sharded_submission_table.h"

#include <utility>

namespace cornelfront {

ShardedSubmissionTable::ShardedSubmissionTable(
  const SubmissionTableOptions& aOptions)
  : options_(aOptions)
{
  SubmissionTableOptions options = aOptions;
  options.maxEntries_ = (aOptions.maxEntries_ + kShards - 1) / kShards;
  options.maxAnswerBytes_ = aOptions.maxAnswerBytes_ / kShards;
  for (auto& shard : shards_) {
    shard = std::make_unique<Shard>(options);
  }
}

BeginResult
ShardedSubmissionTable::Begin(const SubmissionId& aId,
                              const std::string& aDigest,
                              const Waiter& aWaiter,
                              MonoTime aNow)
{
  Shard& shard = ShardOf(aId);
  std::lock_guard lock(shard.mutex_);
  return shard.table_.Begin(aId, aDigest, aWaiter, aNow);
}

void
ShardedSubmissionTable::Finish(const SubmissionId& aId,
                               uint64_t aAttempt,
                               FinalAnswer aAnswer)
{
  const auto answer = std::make_shared<const FinalAnswer>(std::move(aAnswer));
  std::vector<Waiter> waiters;
  {
    Shard& shard = ShardOf(aId);
    std::lock_guard lock(shard.mutex_);
    waiters = shard.table_.Finish(aId, aAttempt, answer);
  }
  for (const Waiter& waiter : waiters) {
    waiter(answer);
  }
}

FindResult
ShardedSubmissionTable::Find(const SubmissionId& aId, MonoTime aNow)
{
  Shard& shard = ShardOf(aId);
  std::lock_guard lock(shard.mutex_);
  return shard.table_.Find(aId, aNow);
}

FindResult
ShardedSubmissionTable::RequestCancel(const SubmissionId& aId,
                                      const Waiter& aWaiter,
                                      MonoTime aNow)
{
  Shard& shard = ShardOf(aId);
  std::lock_guard lock(shard.mutex_);
  return shard.table_.RequestCancel(aId, aWaiter, aNow);
}

bool
ShardedSubmissionTable::CancelRequested(const SubmissionId& aId)
{
  Shard& shard = ShardOf(aId);
  std::lock_guard lock(shard.mutex_);
  return shard.table_.CancelRequested(aId);
}

size_t
ShardedSubmissionTable::Sweep(MonoTime aNow)
{
  size_t removed = 0;
  for (auto& shard : shards_) {
    std::lock_guard lock(shard->mutex_);
    removed += shard->table_.Sweep(aNow);
  }
  return removed;
}

size_t
ShardedSubmissionTable::size()
{
  size_t total = 0;
  for (auto& shard : shards_) {
    std::lock_guard lock(shard->mutex_);
    total += shard->table_.size();
  }
  return total;
}

ShardedSubmissionTable::Shard&
ShardedSubmissionTable::ShardOf(const SubmissionId& aId)
{
  const size_t hash = std::hash<std::string>{}(ToString(aId));
  return *shards_[hash % kShards];
}

} // namespace cornelfront
