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

std::optional<UpstreamCrash>
RunTable::MakeCrash()
{
  UpstreamCrash crash;
  for (const auto& [key, run] : runs_) {
    // A run that no incarnation has listed since an earlier crash has counted
    // for that one.
    const bool counted = run.keptPastRestart_ && run.firstPoll_ > answeredPoll_;
    if (run.state_ != State::Waiting && !counted) {
      crash.tasks_.push_back(key.task_);
      if (run.state_ != State::Running) {
        crash.unanswered_.push_back(key.task_);
      }
    }
  }
  if (crash.tasks_.empty()) {
    return std::nullopt;
  }
  crash.number_ = ++lastCrash_;
  return crash;
}

void
RunTable::SuspectCrash()
{
  if (suspected_) {
    return;
  }
  suspected_ = MakeCrash();
  if (suspected_) {
    newCrashes_.push_back(*suspected_);
  }
}

void
RunTable::RecordCrash()
{
  if (!upstream_ || upstream_->draining_) {
    WithdrawCrash();
    return;
  }
  auto crash =
    suspected_ ? std::exchange(suspected_, std::nullopt) : MakeCrash();
  if (!crash) {
    return;
  }
  crash->state_ = CrashState::Proven;
  newCrashes_.push_back(*crash);
  crashes_.push_back(std::move(*crash));
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
