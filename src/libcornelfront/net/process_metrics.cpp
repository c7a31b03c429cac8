#include "net/process_metrics.h"

#include <optional>

namespace cornelfront {
namespace {

void
CountAnswers(Metrics& aMetrics, const TaskAnswers& aAnswers)
{
  for (const TaskAnswer& answer : aAnswers.answers_) {
    if (answer.outcome_ == TaskOutcome::Running) {
      continue;
    }
    aMetrics.CountTask(answer.outcome_, answer.reason_);
    if (answer.outcome_ == TaskOutcome::Completed) {
      aMetrics.CountTaskRun(answer.runTime_);
    }
  }
}

std::optional<Outcome>
OutcomeOf(const HttpResponse& aResponse)
{
  for (const auto& [name, value] : aResponse.headers_) {
    if (name != "Cornelfront-Outcome") {
      continue;
    }
    for (const Outcome outcome :
         { Outcome::Completed, Outcome::Failed, Outcome::Refused }) {
      if (ToString(outcome) == value) {
        return outcome;
      }
    }
  }
  return std::nullopt;
}

} // namespace

std::function<void(const Message&, size_t, bool)>
CountTraffic(Metrics& aMetrics)
{
  return [&aMetrics](const Message& aMessage, size_t aBytes, bool aSent) {
    aMetrics.CountMessage(
      aMessage, aSent ? Direction::Sent : Direction::Received, aBytes);
    if (const auto* answers = std::get_if<TaskAnswers>(&aMessage)) {
      CountAnswers(aMetrics, *answers);
    }
  };
}

std::string_view
ToString(LinkEndReason aEnd)
{
  switch (aEnd) {
    case LinkEndReason::Closed:
      return "closed";
    case LinkEndReason::Lost:
      return "lost";
    case LinkEndReason::Silent:
      return "silent";
    case LinkEndReason::BadFrame:
      return "bad_frame";
  }
  return "";
}

ResponseCallback
CountResponse(Metrics& aMetrics,
              ResponseCallback aRespond,
              MonoTime aReceived,
              std::function<MonoTime()> aClock)
{
  return [&aMetrics,
          aReceived,
          respond = std::move(aRespond),
          clock = std::move(aClock)](HttpResponse aResponse) {
    if (const auto outcome = OutcomeOf(aResponse)) {
      aMetrics.CountRequest(
        *outcome, std::chrono::duration_cast<Millis>(clock() - aReceived));
    }
    respond(std::move(aResponse));
  };
}

} // namespace cornelfront
