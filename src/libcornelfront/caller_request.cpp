#include "cornelfront/caller_request.h"

#include "cornelfront/codec.h"
#include "cornelfront/refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace cornelfront {

namespace {

using Json = nlohmann::json;

/// Maximum nesting depth of a request body; a job needs three levels.
constexpr int kMaxJsonDepth = 8;
constexpr size_t kMaxTeamLength = 64;
constexpr size_t kMaxCallLength = 64;
/// Maximum start limit that a caller may request.
constexpr Millis kMaxStartWithin{ 3600000 };

[[noreturn]] void
Reject(const std::string& aField,
       const std::string& aValue,
       const std::string& aBound)
{
  throw RequestError({ .reason_ = RefusalReason::InvalidField,
                       .field_ = aField,
                       .value_ = aValue,
                       .bound_ = aBound });
}

bool
IsName(const std::string& aText, size_t aMaxLength)
{
  const auto isNameCharacter = [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 || aCharacter == '_' ||
           aCharacter == '-' || aCharacter == '.';
  };
  return aText.size() <= aMaxLength &&
         std::all_of(aText.begin(), aText.end(), isNameCharacter);
}

void
CheckTeam(const std::string& aField, const std::string& aTeam)
{
  if (!IsName(aTeam, kMaxTeamLength)) {
    Reject(aField,
           aTeam,
           "must have at most " + std::to_string(kMaxTeamLength) +
             " characters of [A-Za-z0-9._-]");
  }
}

/// Parses a submission id. A malformed id can't belong to any submission, so
/// the refusal tells the caller to obtain a key prefix.
SubmissionId
ParseId(const std::string& aField, const std::string& aText)
{
  const auto id = ParseSubmissionId(aText);
  if (!id) {
    throw RequestError(
      { .reason_ = RefusalReason::KeyPrefixRequired,
        .field_ = aField,
        .value_ = aText,
        .bound_ = "must be <key prefix>.<suffix>, the suffix of 1 to " +
                  std::to_string(kMaxSuffixLength) +
                  " characters of [A-Za-z0-9_-]" });
  }
  return *id;
}

std::optional<Millis>
ParseStartWithin(const HttpRequest& aRequest)
{
  const std::string kHeader = "cornelfront-start-within-ms";
  if (aRequest.headers_.count(kHeader) == 0) {
    return std::nullopt;
  }
  const std::string text = aRequest.Header(kHeader);
  uint32_t value = 0;
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(text.data(), last, value);
  if (result.ec != std::errc{} || result.ptr != last || value == 0 ||
      Millis(value) > kMaxStartWithin) {
    Reject(kHeader,
           text,
           "must be a number of milliseconds from 1 to " +
             std::to_string(kMaxStartWithin.count()));
  }
  return Millis(value);
}

bool
ParseWait(const HttpRequest& aRequest)
{
  if (aRequest.query_.count("wait_ms") == 0) {
    return true;
  }
  const std::string text = aRequest.Query("wait_ms");
  if (text != "0") {
    Reject("wait_ms", text, "must be 0 or absent");
  }
  return false;
}

Json
ParseJson(const std::string& aBody)
{
  const auto checkDepth = [](int aDepth, Json::parse_event_t, Json&) {
    if (aDepth > kMaxJsonDepth) {
      Reject("body",
             "JSON",
             "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels");
    }
    return true;
  };
  try {
    return Json::parse(aBody, checkDepth);
  } catch (const Json::parse_error& error) {
    Reject("body",
           "JSON",
           "malformed at byte " + std::to_string(error.byte) + " of " +
             std::to_string(aBody.size()));
  }
}

/// Returns the string member \p aName of \p aObject. \p aPath is the path
/// prefix of the member in error messages.
const std::string&
StringMember(const Json& aObject,
             const std::string& aPath,
             const std::string& aName)
{
  const auto member = aObject.find(aName);
  if (member == aObject.end()) {
    Reject(aPath + aName, "", "is required");
  }
  if (!member->is_string()) {
    Reject(aPath + aName, member->type_name(), "must be a string");
  }
  return member->get_ref<const std::string&>();
}

void
RejectUnknownMembers(const Json& aObject,
                     const std::string& aPath,
                     const std::vector<std::string>& aKnown)
{
  for (const auto& item : aObject.items()) {
    if (std::find(aKnown.begin(), aKnown.end(), item.key()) == aKnown.end()) {
      Reject(aPath + item.key(), item.value().type_name(), "is not known");
    }
  }
}

TaskRequest
ParseTask(const Json& aTask, const std::string& aPath)
{
  if (!aTask.is_object()) {
    Reject(aPath, aTask.type_name(), "must be an object");
  }
  RejectUnknownMembers(aTask, aPath + ".", { "call", "body_base64" });
  const std::string& call = StringMember(aTask, aPath + ".", "call");
  if (!IsName(call, kMaxCallLength)) {
    Reject(aPath + ".call", call, "is not the name of a call");
  }
  const std::string& text = StringMember(aTask, aPath + ".", "body_base64");
  const auto body = DecodeBase64(text);
  if (!body) {
    Reject(aPath + ".body_base64", text, "must be base64 with padding");
  }
  return { .call_ = call, .body_ = *body };
}

std::vector<TaskRequest>
ParseTasks(const Json& aJob)
{
  const auto tasks = aJob.find("tasks");
  if (tasks == aJob.end() || !tasks->is_array()) {
    Reject("tasks",
           tasks == aJob.end() ? "" : tasks->type_name(),
           "must be an array of tasks");
  }
  if (tasks->empty() || tasks->size() > kMaxTasksPerJob) {
    Reject("tasks",
           std::to_string(tasks->size()) + " tasks",
           "must have 1 to " + std::to_string(kMaxTasksPerJob) + " tasks");
  }
  std::vector<TaskRequest> parsed;
  parsed.reserve(tasks->size());
  for (size_t i = 0; i < tasks->size(); ++i) {
    const std::string path = "tasks[" + std::to_string(i) + "]";
    parsed.push_back(ParseTask((*tasks)[i], path));
  }
  return parsed;
}

/// Appends a field with its length as a prefix, so that different lists of
/// fields can't yield the same text.
void
AppendField(std::string& aText, const std::string& aField)
{
  aText += std::to_string(aField.size()) + ":" + aField;
}

} // namespace

SubmissionRequest
ParseCall(const HttpRequest& aRequest, const CallRoute& aRoute)
{
  SubmissionRequest request;
  request.service_ = aRoute.service_;
  request.team_ = aRequest.Header("cornelfront-team");
  if (aRequest.headers_.count("idempotency-key") > 0) {
    request.id_ =
      ParseId("idempotency-key", aRequest.Header("idempotency-key"));
  }
  CheckTeam("cornelfront-team", request.team_);
  request.startWithin_ = ParseStartWithin(aRequest);
  request.wait_ = ParseWait(aRequest);
  request.tasks_.push_back({ .call_ = aRoute.call_, .body_ = aRequest.body_ });
  return request;
}

SubmissionRequest
ParseJob(const HttpRequest& aRequest, const JobRoute& aRoute)
{
  const Json job = ParseJson(aRequest.body_);
  if (!job.is_object()) {
    Reject("body", job.type_name(), "must be a JSON object");
  }
  RejectUnknownMembers(job, "", { "submission", "team", "tasks" });
  SubmissionRequest request;
  request.isJob_ = true;
  request.service_ = aRoute.service_;
  request.id_ = ParseId("submission", StringMember(job, "", "submission"));
  if (job.contains("team")) {
    request.team_ = StringMember(job, "", "team");
  }
  CheckTeam("team", request.team_);
  request.startWithin_ = ParseStartWithin(aRequest);
  request.wait_ = ParseWait(aRequest);
  request.tasks_ = ParseTasks(job);
  return request;
}

std::string
RequestDigest(const SubmissionRequest& aRequest)
{
  std::string text = aRequest.isJob_ ? "job" : "call";
  AppendField(text, aRequest.service_);
  AppendField(text, aRequest.team_);
  for (const TaskRequest& task : aRequest.tasks_) {
    AppendField(text, task.call_);
    AppendField(text, task.body_);
  }
  return Sha256Hex(text);
}

} // namespace cornelfront
