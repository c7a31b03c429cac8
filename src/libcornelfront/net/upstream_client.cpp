#include "net/upstream_client.h"

namespace cornelfront {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusStopped = 409;
constexpr int kStatusRefused = 429;
constexpr Millis kConnectTimeout{ 500 };
constexpr Millis kStopTimeout{ 1000 };

std::string
TaskUrl(uint16_t aPort, TaskId aId)
{
  return "http://127.0.0.1:" + std::to_string(aPort) + "/tasks/" +
         ToString(aId);
}

std::string
StartQuery(const StartTask& aTask, MonoTime aStartBy)
{
  const auto startBy =
    std::chrono::duration_cast<Millis>(aStartBy.time_since_epoch());
  return "?call=" + aTask.call_ + "&submission=" + aTask.submission_ +
         "&index=" + std::to_string(aTask.index_) +
         "&start_by_ms=" + std::to_string(startBy.count()) +
         "&run_limit_ms=" + std::to_string(aTask.runLimit_.count());
}

TaskAnswer
FromResponse(TaskId aId, HttpResponse&& aResponse)
{
  TaskAnswer answer{ .id_ = aId };
  switch (aResponse.status_) {
    case kStatusOk:
      answer.outcome_ = TaskOutcome::Completed;
      answer.body_ = std::move(aResponse.body_);
      break;
    case kStatusRefused:
      answer.outcome_ = TaskOutcome::NotRun;
      answer.reason_ = TaskReason::UpstreamRefused;
      break;
    case kStatusStopped:
      answer.outcome_ = TaskOutcome::Failed;
      answer.reason_ = TaskReason::Cancelled;
      break;
    default:
      answer.outcome_ = TaskOutcome::Failed;
      answer.reason_ = TaskReason::UpstreamFailed;
      break;
  }
  return answer;
}

} // namespace

TaskAnswer
UpstreamClient::Run(uint16_t aPort,
                    const StartTask& aTask,
                    MonoTime aStartBy,
                    const std::atomic<bool>& aAbort)
{
  const MonoTime begin = MonoClock::now();
  HttpResult result = http_.Perform(
    { .method_ = "POST",
      .url_ = TaskUrl(aPort, aTask.id_) + StartQuery(aTask, aStartBy),
      .headers_ = { { "Content-Type", "application/octet-stream" } },
      .body_ = aTask.body_,
      .connectTimeout_ = kConnectTimeout,
      .timeout_ = aTask.runLimit_,
      .freshConnection_ = true },
    &aAbort);
  const auto runTime =
    std::chrono::duration_cast<Millis>(MonoClock::now() - begin);
  if (result.failure_ == HttpFailure::None) {
    TaskAnswer answer = FromResponse(aTask.id_, std::move(result.response_));
    answer.runTime_ = runTime;
    return answer;
  }
  if (result.failure_ == HttpFailure::NotSent) {
    return { .id_ = aTask.id_,
             .outcome_ = TaskOutcome::NotRun,
             .reason_ = TaskReason::UpstreamUnreachable };
  }
  StopTask(aPort, aTask.id_);
  const TaskReason reason = aAbort.load() ? TaskReason::Cancelled
                            : runTime >= aTask.runLimit_
                              ? TaskReason::UpstreamTimeout
                              : TaskReason::UpstreamFailed;
  return { .id_ = aTask.id_,
           .outcome_ = TaskOutcome::MayHaveRun,
           .reason_ = reason,
           .runTime_ = runTime };
}

void
UpstreamClient::StopTask(uint16_t aPort, TaskId aId)
{
  http_.Perform({ .method_ = "DELETE",
                  .url_ = TaskUrl(aPort, aId),
                  .connectTimeout_ = kConnectTimeout,
                  .timeout_ = kStopTimeout });
}

} // namespace cornelfront
