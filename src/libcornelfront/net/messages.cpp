#include "cornelfront/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "net/bounded_archive_pvt.h"

#include <array>
#include <sstream>

namespace cornelfront {

namespace {

/// Names of the message types, in the order of the alternatives of Message.
constexpr std::array<std::string_view, std::variant_size_v<Message>> kKinds = {
  "hello",
  "welcome",
  "pulse",
  "config_update",
  "upstream_status",
  "start_tasks",
  "task_answers",
  "cancel_tasks",
  "resolve_tasks",
  "forward_request",
  "forward_reply",
  "leaving",
  "start_runs",
  "stop_runs",
  "run_reports",
  "held_runs",
  "take_over",
  "forget_ends",
  "upstream_crashes",
  "late_orders",
  "leader_authority",
};

constexpr std::array<std::string_view, 15> kReasons = {
  "none",
  "zone_out",
  "stale_config",
  "draining",
  "no_upstream",
  "start_too_late",
  "queue_full",
  "cancelled",
  "never_seen",
  "upstream_refused",
  "upstream_unreachable",
  "upstream_failed",
  "upstream_timeout",
  "link_lost",
  "unknown_call",
};

constexpr std::array<std::string_view, 5> kOutcomes = {
  "completed", "failed", "may_have_run", "not_run", "running",
};

/// First byte of every payload: cereal's marker for little-endian data.
constexpr uint8_t kLittleEndianMark = 1;

void
CheckRunEnds(const std::vector<RunReport>& aReports)
{
  for (const RunReport& report : aReports) {
    if (report.end_ > RunEnd::Lost) {
      throw DecodeError("unknown run end " +
                        std::to_string(static_cast<int>(report.end_)));
    }
  }
}

/// \throws DecodeError if an enumerator is out of range
void
CheckEnumerators(const Message& aMessage)
{
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    if (hello->role_ > Role::Sidecar) {
      throw DecodeError("unknown role " +
                        std::to_string(static_cast<int>(hello->role_)));
    }
  }
  if (const auto* reports = std::get_if<RunReports>(&aMessage)) {
    CheckRunEnds(reports->reports_);
  }
  if (const auto* held = std::get_if<HeldRuns>(&aMessage)) {
    CheckRunEnds(held->reports_);
  }
  if (const auto* answers = std::get_if<TaskAnswers>(&aMessage)) {
    for (const TaskAnswer& answer : answers->answers_) {
      if (static_cast<size_t>(answer.outcome_) >= kOutcomes.size() ||
          static_cast<size_t>(answer.reason_) >= kReasons.size()) {
        throw DecodeError("unknown task outcome " +
                          std::to_string(static_cast<int>(answer.outcome_)) +
                          " or reason " +
                          std::to_string(static_cast<int>(answer.reason_)));
      }
    }
  }
}

} // namespace

std::string_view
ToString(TaskReason aReason)
{
  return kReasons.at(static_cast<size_t>(aReason));
}

std::string_view
ToString(TaskOutcome aOutcome)
{
  return kOutcomes.at(static_cast<size_t>(aOutcome));
}

std::string_view
KindOf(const Message& aMessage)
{
  return kKinds.at(aMessage.index());
}

std::string
Encode(const Envelope& aEnvelope)
{
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(aEnvelope);
  }
  return std::move(stream).str();
}

Envelope
Decode(std::string_view aPayload)
{
  if (aPayload.empty() || aPayload.front() != kLittleEndianMark) {
    throw DecodeError("unknown encoding");
  }
  Envelope envelope;
  BoundedInputArchive archive(aPayload.substr(1));
  try {
    archive(envelope);
  } catch (const cereal::Exception& error) {
    throw DecodeError(error.what());
  }
  if (archive.Remaining() != 0) {
    throw DecodeError(std::to_string(archive.Remaining()) +
                      " trailing bytes after the message");
  }
  CheckEnumerators(envelope.message_);
  return envelope;
}

} // namespace cornelfront
