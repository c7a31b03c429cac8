/// \file
/// RunTable: crashes of the upstream, and the tasks that it had then.

#include "cornelfront/run_table.h"

#include <array>
#include <utility>

namespace cornelfront {
namespace {

/// Number of crashes that are remembered.
constexpr size_t kMaxCrashes = 64;

constexpr std::array<std::string_view, 3> kCrashStates = {
  "crash_suspected",
  "crash_proven",
  "crash_withdrawn",
};

} // namespace

std::string_view
ToString(CrashState aState)
{
  return kCrashStates.at(static_cast<size_t>(aState));
}

std::vector<JobTaskId>
RunTable::StartedTasks() const
{
  std::vector<JobTaskId> tasks;
  for (const auto& [key, run] : runs_) {
    if (run.state_ != State::Waiting) {
      tasks.push_back(key.task_);
    }
  }
  return tasks;
}

void
RunTable::SuspectCrash()
{
  std::vector<JobTaskId> tasks = StartedTasks();
  if (suspected_ || tasks.empty()) {
    return;
  }
  suspected_ =
    UpstreamCrash{ .number_ = ++lastCrash_, .tasks_ = std::move(tasks) };
  newCrashes_.push_back(*suspected_);
}

void
RunTable::RecordCrash()
{
  if (!upstream_ || upstream_->draining_) {
    WithdrawCrash();
    return;
  }
  SuspectCrash();
  if (!suspected_) {
    return;
  }
  suspected_->state_ = CrashState::Proven;
  newCrashes_.push_back(*suspected_);
  crashes_.push_back(*std::exchange(suspected_, std::nullopt));
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
}

void
RunTable::WithdrawCrash()
{
  if (!suspected_) {
    return;
  }
  suspected_->state_ = CrashState::Withdrawn;
  newCrashes_.push_back(*std::exchange(suspected_, std::nullopt));
}

std::vector<UpstreamCrash>
RunTable::TakeCrashes()
{
  return std::exchange(newCrashes_, {});
}

std::vector<UpstreamCrash>
RunTable::KnownCrashes() const
{
  std::vector<UpstreamCrash> known(crashes_.begin(), crashes_.end());
  if (suspected_) {
    known.push_back(*suspected_);
  }
  return known;
}

} // namespace cornelfront
