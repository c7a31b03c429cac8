#include "cornelfront/job.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelfront {
namespace {

constexpr size_t kJobIdDigits = 16;

constexpr std::array<std::string_view, 8> kRunEnds = {
  "done",   "failed", "stopped",     "lapsed",
  "broken", "alone",  "not_started", "lost",
};

bool
IsHexDigit(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f') ||
         (aChar >= 'A' && aChar <= 'F');
}

/// Removes the number before the next '.', or up to the end, from the front of
/// \p aText and returns it.
std::optional<uint32_t>
TakeNumber(std::string_view& aText)
{
  uint32_t number = 0;
  const size_t end = std::min(aText.find('.'), aText.size());
  const auto result = std::from_chars(aText.data(), aText.data() + end, number);
  if (end == 0 || result.ec != std::errc() ||
      result.ptr != aText.data() + end) {
    return std::nullopt;
  }
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return number;
}

[[noreturn]] void
ThrowJobError(const JobDescription& aJob, const std::string& aMessage)
{
  throw JobError("job " + aJob.id_ + ": " + aMessage);
}

void
CheckStep(const JobDescription& aJob, size_t aIndex)
{
  const StepSpec& step = aJob.steps_[aIndex];
  const std::string name = "step " + std::to_string(aIndex);
  if (step.count_ == 0) {
    ThrowJobError(aJob, name + " has no tasks");
  }
  if (step.resources_.cpu_ < 0 || step.resources_.memoryMb_ < 0 ||
      step.resources_.gpus_ < 0) {
    ThrowJobError(aJob, name + " requests a negative amount");
  }
  for (const uint32_t earlier : step.dependsOn_) {
    if (earlier >= aIndex) {
      ThrowJobError(aJob,
                    name + " depends on step " + std::to_string(earlier) +
                      ", which is not an earlier one");
    }
  }
}

} // namespace

std::string
ToString(const JobTaskId& aTaskId)
{
  return aTaskId.job_ + '.' + std::to_string(aTaskId.occurrence_) + '.' +
         std::to_string(aTaskId.step_) + '.' + std::to_string(aTaskId.index_);
}

std::optional<JobTaskId>
ParseJobTaskId(std::string_view aText)
{
  const size_t dot = aText.find('.');
  if (dot == std::string_view::npos || !IsJobId(aText.substr(0, dot))) {
    return std::nullopt;
  }
  JobTaskId name{ .job_ = std::string(aText.substr(0, dot)) };
  std::string_view rest = aText.substr(dot + 1);
  for (uint32_t* part : { &name.occurrence_, &name.step_, &name.index_ }) {
    const auto number = TakeNumber(rest);
    if (!number) {
      return std::nullopt;
    }
    *part = *number;
  }
  if (!rest.empty() || ToString(name) != aText) {
    return std::nullopt;
  }
  return name;
}

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdDigits &&
         std::all_of(aText.begin(), aText.end(), IsHexDigit);
}

void
CheckJob(const JobDescription& aJob)
{
  if (aJob.payload_.size() > kMaxPayloadBytes) {
    ThrowJobError(aJob,
                  "a payload of " + std::to_string(aJob.payload_.size()) +
                    " bytes exceeds the limit of " +
                    std::to_string(kMaxPayloadBytes));
  }
  if (aJob.steps_.empty()) {
    ThrowJobError(aJob, "it has no steps");
  }
  size_t tasks = 0;
  for (size_t i = 0; i < aJob.steps_.size(); ++i) {
    CheckStep(aJob, i);
    tasks += aJob.steps_[i].count_;
  }
  if (tasks > kMaxTasksPerJob) {
    ThrowJobError(aJob,
                  std::to_string(tasks) + " tasks exceed the limit of " +
                    std::to_string(kMaxTasksPerJob));
  }
}

std::string_view
ToString(RunEnd aEnd)
{
  return kRunEnds.at(static_cast<size_t>(aEnd));
}

} // namespace cornelfront
