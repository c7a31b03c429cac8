#include "cornelfront/schema.h"

#include "policy/yaml_reader.h"

namespace cornelfront {

namespace {

using std::chrono::minutes;

constexpr Bounds<Millis> kStartWithinBounds{ Millis(1), minutes(10) };
constexpr Bounds<Millis> kRunLimitBounds{ Millis(1), minutes(10) };
constexpr Bounds<Millis> kRunTimeBounds{ Millis(1), minutes(10) };
constexpr Bounds<double> kProcessorBounds{ 0.01, 1024 };
constexpr Bounds<uint32_t> kAcceleratorBounds{ 0, 64 };
constexpr Bounds<uint64_t> kMemoryBytesBounds{ 1U << 20, uint64_t{ 1 } << 42 };
constexpr Bounds<uint64_t> kBodyBounds{ 1, 16U << 20 };
constexpr Bounds<double> kQuotaBounds{ 0.001, 1e6 };
constexpr unsigned kBytesPerMbShift = 20;

const std::vector<std::pair<std::string, Priority>> kPriorities = {
  { "urgent", Priority::Urgent },
  { "normal", Priority::Normal },
  { "batch", Priority::Batch },
};

void
ReadSize(YamlReader& aCall, CallSchema& aSchema)
{
  auto reader = aCall.Child("size");
  if (!reader) {
    return;
  }
  DeclaredSize& size = aSchema.size_;
  reader->Number("processors", size.processors_, kProcessorBounds);
  reader->Number("accelerators", size.accelerators_, kAcceleratorBounds);
  uint64_t memoryBytes = size.memoryMb_ << kBytesPerMbShift;
  reader->ByteSize("memory", memoryBytes, kMemoryBytesBounds);
  size.memoryMb_ = memoryBytes >> kBytesPerMbShift;
  const bool hasRunTime =
    reader->Duration("run_time", size.runTime_, kRunTimeBounds);
  if (hasRunTime && size.runTime_ > aSchema.runLimit_) {
    reader->AddError("run_time",
                     FormatDuration(size.runTime_) +
                       " exceeds the run_limit of " +
                       FormatDuration(aSchema.runLimit_));
  }
  reader->CheckKeys();
}

CallSchema
ReadCall(const std::string& aName, YamlReader& aReader)
{
  CallSchema call{ .name_ = aName };
  aReader.Duration("start_within", call.startWithin_, kStartWithinBounds);
  aReader.Duration("run_limit", call.runLimit_, kRunLimitBounds);
  aReader.Boolean("repeatable", call.repeatable_, Presence::Required);
  aReader.Choice("priority", call.priority_, kPriorities);
  aReader.ByteSize("max_body", call.maxBodyBytes_, kBodyBounds);
  ReadSize(aReader, call);
  aReader.CheckKeys();
  return call;
}

TeamQuota
ReadQuota(YamlReader& aReader)
{
  TeamQuota quota;
  aReader.Number("starts_per_second",
                 quota.startsPerSecond_,
                 kQuotaBounds,
                 Presence::Required);
  quota.burst_ = quota.startsPerSecond_;
  aReader.Number("burst", quota.burst_, kQuotaBounds);
  aReader.CheckKeys();
  return quota;
}

void
CheckName(YamlReader& aParent, const std::string& aName)
{
  for (const char c : aName) {
    if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' && c != '-') {
      aParent.AddError(
        aName,
        "name must consist of lowercase letters, digits, '_' and "
        "'-'");
      return;
    }
  }
}

void
ReadCalls(YamlReader& aService, ServiceSchema& aSchema)
{
  auto reader = aService.Child("calls", Presence::Required);
  if (!reader) {
    return;
  }
  for (auto& [name, call] : reader->Children()) {
    CheckName(*reader, name);
    aSchema.calls_[name] = ReadCall(name, call);
  }
  reader->CheckKeys();
  if (aSchema.calls_.empty()) {
    aService.AddError("calls", "must declare at least one call");
  }
}

void
ReadTeams(YamlReader& aService, ServiceSchema& aSchema)
{
  auto reader = aService.Child("teams");
  if (!reader) {
    return;
  }
  for (auto& [name, team] : reader->Children()) {
    CheckName(*reader, name);
    aSchema.teams_[name] = ReadQuota(team);
  }
  reader->CheckKeys();
}

} // namespace

std::vector<ServiceSchema>
ParseSchema(const std::string& aYaml)
{
  std::vector<FileError> errors;
  std::vector<ServiceSchema> schemas;
  const YAML::Node root = LoadYaml(aYaml, errors);
  if (errors.empty()) {
    YamlReader file(root, "", errors);
    auto services = file.Child("services", Presence::Required);
    if (services) {
      for (auto& [name, service] : services->Children()) {
        CheckName(*services, name);
        ServiceSchema schema{ .service_ = name };
        ReadCalls(service, schema);
        ReadTeams(service, schema);
        service.CheckKeys();
        schemas.push_back(std::move(schema));
      }
      services->CheckKeys();
    }
    file.CheckKeys();
  }
  if (!errors.empty()) {
    throw FileErrors(std::move(errors));
  }
  return schemas;
}

} // namespace cornelfront
