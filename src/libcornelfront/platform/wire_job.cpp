#include "platform/wire_job.h"

#include "platform/json_fields_pvt.h"

namespace cornelfront::platform {
namespace {

using nlohmann::json;

Resources
ParseResources(const json& aObject)
{
  return { .cpu_ = IntegerField(aObject, "cpu", 0),
           .memoryMb_ = IntegerField(aObject, "memMb", 0),
           .gpus_ = IntegerField(aObject, "gpu", 0) };
}

StepSpec
ParseStep(const json& aStep)
{
  if (!aStep.is_object()) {
    throw WireFormatError("a step is not an object");
  }
  StepSpec step;
  step.count_ = CountField(aStep, "count", 0);
  step.resources_ = ParseResources(aStep);
  step.estimate_ = Millis(IntegerField(aStep, "estimateMs", 0));
  for (const json& earlier : ListField(aStep, "after")) {
    const int64_t index = ToInteger(earlier, "after");
    if (index < 0 || index >= static_cast<int64_t>(kMaxTasksPerJob)) {
      ThrowFieldError("after", "names no step");
    }
    step.dependsOn_.push_back(static_cast<uint32_t>(index));
  }
  step.checkpointing_ = BoolField(aStep, "checkpointing");
  step.gang_ = BoolField(aStep, "gang");
  step.sameRack_ = BoolField(aStep, "sameRack");
  step.speculative_ = BoolField(aStep, "speculative");
  step.longRunning_ = BoolField(aStep, "longRunning");
  step.usesIdleCapacity_ = BoolField(aStep, "fills");
  step.requiredLabel_ = TextField(aStep, "requires");
  step.preferredRack_ = TextField(aStep, "affinity");
  step.maxPerUpstream_ = CountField(aStep, "antiAffinity", 0);
  step.maxUnavailable_ = CountField(aStep, "mayMiss", 0);
  step.image_ = TextField(aStep, "image");
  step.latencyTarget_ = Millis(IntegerField(aStep, "targetMs", 0));
  return step;
}

JobDescription
Parse(const std::string& aId, std::string_view aBody)
{
  const json body = ParseObject(aBody);
  JobDescription job{ .id_ = aId };
  job.payload_ = TextField(body, "spec");
  for (const json& step : ListField(body, "steps")) {
    job.steps_.push_back(ParseStep(step));
  }
  job.bestEffort_ = BoolField(body, "bestEffort");
  job.repeats_ = CountField(body, "repeats", 0);
  job.firstDue_ = Millis(IntegerField(body, "startAtMs", 0));
  job.interval_ = Millis(IntegerField(body, "intervalMs", 0));
  // This field may also be set at job level; it then applies to all steps.
  for (StepSpec& step : job.steps_) {
    step.longRunning_ = step.longRunning_ || BoolField(body, "longRunning");
  }
  return job;
}

} // namespace

JobDescription
ParseJob(const std::string& aId, std::string_view aBody)
{
  if (!IsJobId(aId)) {
    throw JobError("'" + aId + "' is not an id of 16 hexadecimal digits");
  }
  try {
    JobDescription job = Parse(aId, aBody);
    CheckJob(job);
    return job;
  } catch (const WireFormatError& error) {
    throw JobError("job " + aId + ": " + error.what());
  }
}

std::string
StateBody(std::string_view aState)
{
  return json{ { "state", aState } }.dump();
}

std::string
PendingBody(size_t aPending)
{
  return json{ { "pending", aPending } }.dump();
}

} // namespace cornelfront::platform
