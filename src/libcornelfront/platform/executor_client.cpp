#include "platform/executor_client.h"

#include "platform/answer_status_pvt.h"
#include "platform/json_fields_pvt.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace cornelfront::platform {
namespace {

using nlohmann::json;

/// Timeout of a stop request, which is repeated while the executor still lists
/// the run.
constexpr Millis kStopTimeout{ 100 };
constexpr Millis kConnectTimeout{ 100 };

/// Connections for start and stop requests. Polls use separate connections,
/// because a request that waits for a free connection counts as unanswered.
constexpr long kRequestConnections = 8;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusOtherIncarnation = 421;

RunEnd
ParseEnd(const std::string& aHow)
{
  struct Name
  {
    std::string_view wire_;
    RunEnd end_;
  };
  constexpr std::array kNames{
    Name{ "done", RunEnd::Done },
    Name{ "failed", RunEnd::Failed },
    Name{ "stopped", RunEnd::Stopped },
    Name{ "lapsed", RunEnd::LeaseExpired },
    Name{ "broken", RunEnd::GangBroken },
    Name{ "alone", RunEnd::GangIncomplete },
  };
  for (const Name& name : kNames) {
    if (aHow == name.wire_) {
      return name.end_;
    }
  }
  throw WireFormatError("unknown run end '" + aHow + "'");
}

const json&
RowField(const json& aRow, size_t aIndex)
{
  if (!aRow.is_array() || aRow.size() <= aIndex) {
    throw WireFormatError("row of " + std::to_string(aRow.size()) +
                          " elements has no element " + std::to_string(aIndex));
  }
  return aRow[aIndex];
}

std::string
RowText(const json& aRow, size_t aIndex)
{
  const json& field = RowField(aRow, aIndex);
  if (!field.is_string()) {
    throw WireFormatError("row element " + std::to_string(aIndex) +
                          " is not a string");
  }
  return field.get<std::string>();
}

RunKey
ParseRunKey(const json& aRow, size_t aTask)
{
  const auto task = ParseJobTaskId(RowText(aRow, aTask));
  if (!task) {
    throw WireFormatError("'" + RowText(aRow, aTask) + "' is not a task name");
  }
  const int64_t run = ToInteger(RowField(aRow, aTask + 1), "run");
  return { *task, static_cast<uint32_t>(run) };
}

UpstreamPollResult
ParsePollResponse(const json& aBody)
{
  UpstreamPollResult pollResult;
  pollResult.clock_ = { Millis(IntegerField(aBody, "clockMs", 0)) };
  for (const json& row : ListField(aBody, "running")) {
    // Row format: [task, run, saved, percent]
    constexpr size_t kPercent = 3;
    pollResult.running_.push_back({ .key_ = ParseRunKey(row, 0),
                                    .percent_ = static_cast<int32_t>(ToInteger(
                                      RowField(row, kPercent), "percent")) });
  }
  for (const json& row : ListField(aBody, "ended")) {
    // Row format: [number, task, run, how, saved]
    constexpr size_t kHow = 3;
    pollResult.ended_.push_back(
      { .number_ = static_cast<uint64_t>(ToInteger(RowField(row, 0), "ended")),
        .key_ = ParseRunKey(row, 1),
        .end_ = ParseEnd(RowText(row, kHow)) });
  }
  return pollResult;
}

struct StartResult
{
  StartAnswer answer_ = StartAnswer::Refused;
  /// Reason why the run was not started, for the log.
  std::string reason_;
  std::optional<UpstreamTime> clock_;
};

/// Returns the executor's clock, or nothing if the body has none.
std::optional<UpstreamTime>
ReadClock(const std::string& aBody)
{
  try {
    const json body = ParseObject(aBody);
    if (FindField(body, "clockMs") != nullptr) {
      return UpstreamTime{ Millis(IntegerField(body, "clockMs", 0)) };
    }
  } catch (const WireFormatError& error) {
    LOG(WARNING) << "malformed answer to a start: " << error.what();
  }
  return std::nullopt;
}

StartResult
ParseConflict(const std::string& aBody)
{
  const std::string reason = TextField(ParseObject(aBody), "reason");
  if (reason == "room") {
    return { StartAnswer::Full, reason };
  }
  if (reason == "late") {
    return { StartAnswer::DeadlinePassed, reason };
  }
  if (reason == "old") {
    return { StartAnswer::RunNumberUsed, reason };
  }
  if (reason == "fence") {
    return { StartAnswer::Fenced, reason };
  }
  return { StartAnswer::Refused, reason };
}

StartResult
ParseStartAnswer(const HttpResult& aResult)
{
  switch (aResult.failure_) {
    case HttpFailure::NotSent:
      return { StartAnswer::NotSent, aResult.error_ };
    case HttpFailure::MayHaveBeenSent:
      return { StartAnswer::Unknown, aResult.error_ };
    case HttpFailure::None:
      break;
  }
  const int status = aResult.response_.status_;
  if (status == kStatusOk) {
    return { .answer_ = StartAnswer::Started,
             .clock_ = ReadClock(aResult.response_.body_) };
  }
  if (status == kStatusConflict) {
    try {
      return ParseConflict(aResult.response_.body_);
    } catch (const WireFormatError& error) {
      return { StartAnswer::Refused, error.what() };
    }
  }
  return { IsCertainlyNotApplied(status) ? StartAnswer::Refused
                                         : StartAnswer::Unknown,
           "status " + std::to_string(status) };
}

/// True if the answer to a call shows that the executor carries out no order
/// with a lower fence: it took the call, knows a higher fence, or has an id
/// that such orders don't name. An unhealthy one has done nothing.
bool
SettlesFence(const HttpResult& aResult)
{
  const int status = aResult.response_.status_;
  return aResult.Ok() ||
         (aResult.failure_ == HttpFailure::None &&
          (status == kStatusConflict || status == kStatusOtherIncarnation));
}

} // namespace

Heartbeat
ParseHeartbeat(const std::string& aId, std::string_view aBody)
{
  const json body = ParseObject(aBody);
  Heartbeat heartbeat;
  heartbeat.info_.id_ = aId;
  heartbeat.info_.service_ = RequiredText(body, "service");
  heartbeat.info_.startedMs_ = IntegerField(body, "born", 0);
  const std::string state = RequiredText(body, "state");
  if (state != "ready" && state != "draining") {
    throw WireFormatError("unknown state '" + state + "'");
  }
  heartbeat.info_.draining_ = state == "draining";
  const auto* capacity = FindField(body, "capacity");
  if (capacity == nullptr || !capacity->is_object()) {
    throw WireFormatError("field 'capacity' is missing or is not an object");
  }
  heartbeat.info_.capacity_ = { .cpu_ = IntegerField(*capacity, "cpu", 0),
                                .memoryMb_ =
                                  IntegerField(*capacity, "memMb", 0),
                                .gpus_ = IntegerField(*capacity, "gpu", 0) };
  for (const json& label : ListField(body, "labels")) {
    if (!label.is_string()) {
      ThrowFieldError("labels", "has an element that is not a string");
    }
    heartbeat.info_.labels_.push_back(label.get<std::string>());
  }
  heartbeat.sequence_ = IntegerField(body, "seq", 0);
  if (FindField(body, "clockMs") != nullptr) {
    heartbeat.clock_ = UpstreamTime{ Millis(IntegerField(body, "clockMs", 0)) };
  }
  return heartbeat;
}

UpstreamDeparture
ParseDeparture(const std::string& aId, std::string_view aBody)
{
  UpstreamDeparture departure{ .id_ = aId };
  if (aBody.empty()) {
    return departure;
  }
  const json body = ParseObject(aBody);
  if (FindField(body, "born") != nullptr) {
    departure.startedMs_ = IntegerField(body, "born", 0);
  }
  return departure;
}

ExecutorClient::ExecutorClient(asio::io_context& aLoop,
                               const Endpoint& aExecutor)
  : base_("http://" + aExecutor.host_ + ":" + std::to_string(aExecutor.port_))
  , requests_(aLoop, { .maxConnectionsPerHost_ = kRequestConnections })
  , polls_(aLoop, { .maxConnectionsPerHost_ = kMaxOpenPolls + 1 })
{
}

void
ExecutorClient::SetIncarnation(const UpstreamInfo& aInfo, UpstreamTime aClock)
{
  info_ = aInfo;
  fence_.OnIncarnation(aInfo.startedMs_, aClock);
}

HttpClientRequest
ExecutorClient::Request(std::string_view aCall, std::string aBody) const
{
  HttpClientRequest request{ .method_ = "POST",
                             .url_ = base_ + std::string(aCall),
                             .body_ = std::move(aBody),
                             .connectTimeout_ = kConnectTimeout,
                             .timeout_ = kStopTimeout };
  request.headers_.emplace_back("Content-Type", "application/json");
  if (!info_.id_.empty()) {
    request.headers_.emplace_back("Expected-Instance", info_.id_);
  }
  return request;
}

void
ExecutorClient::Start(const StartRequest& aOrder,
                      UpstreamTime aDeadline,
                      Millis aLimit,
                      StartCallback aDone)
{
  // An executor that has seen the fence of its incarnation rejects requests
  // meant for an earlier one with the same id.
  const json body{ { "task", ToString(aOrder.key_.task_) },
                   { "run", aOrder.upstreamRunNumber_ },
                   { "spec", aOrder.payload_ },
                   { "deadlineMs", aDeadline.value_.count() },
                   { "fence", fence_.Value() } };
  HttpClientRequest request = Request("/run-start", body.dump());
  request.timeout_ = aLimit;
  requests_.Send(std::move(request),
                 [this,
                  key = aOrder.key_,
                  fence = fence_.Value(),
                  born = info_.startedMs_,
                  done = std::move(aDone)](const HttpResult& aResult) {
                   const StartResult result = ParseStartAnswer(aResult);
                   if (result.answer_ != StartAnswer::Started) {
                     LOG(INFO)
                       << "job=" << key.task_.job_ << " run=" << ToString(key)
                       << " fence=" << fence << " born=" << born << " reason=\""
                       << result.reason_ << "\" issued=" << aResult.issued_
                       << " new_connection=" << aResult.openedConnection_
                       << " outcome="
                       << (result.answer_ == StartAnswer::Unknown
                             ? "start_unknown"
                             : "not_started");
                   }
                   if (result.answer_ == StartAnswer::Unknown) {
                     fence_.OnNoAnswer();
                   } else if (result.answer_ == StartAnswer::Fenced) {
                     fence_.OnRefused(fence);
                   }
                   done(result.answer_, result.clock_);
                 });
}

void
ExecutorClient::Stop(const RunKey& aKey)
{
  const json body{ { "task", ToString(aKey.task_) },
                   { "run", aKey.run_ },
                   { "fence", fence_.Value() } };
  requests_.Send(Request("/run-stop", body.dump()),
                 [aKey, fence = fence_.Value()](const HttpResult& aResult) {
                   if (!aResult.Ok()) {
                     LOG(WARNING)
                       << "stop run=" << ToString(aKey) << " fence=" << fence
                       << " issued=" << aResult.issued_ << " failed: "
                       << (aResult.error_.empty()
                             ? std::to_string(aResult.response_.status_)
                             : aResult.error_);
                   }
                 });
}

void
ExecutorClient::Poll(uint64_t aAcknowledged,
                     std::optional<UpstreamTime> aLease,
                     Millis aWait,
                     Millis aLimit,
                     std::function<void(PollOutcome, UpstreamPollResult)> aDone)
{
  json body{ { "fence", fence_.Value() },
             { "ackedUpto", aAcknowledged },
             { "waitMs", aWait.count() } };
  if (aLease) {
    body["deadlineMs"] = aLease->value_.count();
  }
  HttpClientRequest request = Request("/hold", body.dump());
  request.timeout_ = aWait + aLimit;
  polls_.Send(std::move(request),
              [this,
               born = info_.startedMs_,
               fence = fence_.Value(),
               done = std::move(aDone)](const HttpResult& aResult) {
                UpstreamPollResult pollResult;
                const PollOutcome outcome =
                  ReadPollAnswer(aResult, born, fence, pollResult);
                if (outcome == PollOutcome::Fenced) {
                  fence_.OnRefused(fence);
                } else if (outcome != PollOutcome::Ok) {
                  fence_.OnNoAnswer();
                }
                done(outcome, pollResult);
              });
}

void
ExecutorClient::SendFence(Millis aLimit, std::function<void(bool)> aDone)
{
  const json body{ { "fence", fence_.Value() },
                   { "ackedUpto", 0 },
                   { "waitMs", 0 } };
  HttpClientRequest request = Request("/hold", body.dump());
  request.timeout_ = aLimit;
  polls_.Send(std::move(request),
              [this, done = std::move(aDone)](const HttpResult& aResult) {
                const bool settled = SettlesFence(aResult);
                if (!settled) {
                  fence_.OnNoAnswer();
                }
                done(settled);
              });
}

PollOutcome
ExecutorClient::ReadPollAnswer(const HttpResult& aResult,
                               int64_t aBorn,
                               int64_t aFence,
                               UpstreamPollResult& aPollResult)
{
  if (aResult.failure_ == HttpFailure::NotSent) {
    return PollOutcome::Refused;
  }
  const int status = aResult.response_.status_;
  if (aResult.failure_ == HttpFailure::None &&
      status == kStatusOtherIncarnation) {
    return PollOutcome::Replaced;
  }
  if (!aResult.Ok()) {
    LOG(WARNING) << "poll of the upstream failed: "
                 << (aResult.error_.empty() ? std::to_string(status)
                                            : aResult.error_)
                 << " fence=" << aFence << " issued=" << aResult.issued_;
    const bool fenced =
      aResult.failure_ == HttpFailure::None && status == kStatusConflict;
    return fenced ? PollOutcome::Fenced : PollOutcome::Silent;
  }
  try {
    const json answer = ParseObject(aResult.response_.body_);
    if (IntegerField(answer, "born", aBorn) != aBorn) {
      return PollOutcome::Restarted;
    }
    aPollResult = ParsePollResponse(answer);
    return PollOutcome::Ok;
  } catch (const WireFormatError& error) {
    LOG(ERROR) << "malformed poll response of the upstream: " << error.what();
    return PollOutcome::Silent;
  }
}

} // namespace cornelfront::platform
