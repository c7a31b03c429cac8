#include "cornelfront/load_pattern.h"

#include "cornelfront/schema.h"
#include "policy/yaml_reader.h"

#include <algorithm>

namespace cornelfront {
namespace {

constexpr Bounds<Millis> kPatternDurationBounds{ Millis(100), Millis(600000) };
constexpr Bounds<Millis> kFaultTimeBounds{ Millis(0), Millis(600000) };
constexpr Bounds<Millis> kJobTimeBounds{ Millis(1), Millis(60000) };
constexpr Bounds<Millis> kDelayBounds{ Millis(0), Millis(1000) };
constexpr Bounds<uint32_t> kEntryBounds{ 1, 100 };
constexpr Bounds<uint32_t> kUpstreamBounds{ 1, 2000 };
constexpr Bounds<uint32_t> kTaskBounds{ 1, 1900 };
constexpr Bounds<uint32_t> kAttemptBounds{ 1, 100 };
constexpr Bounds<uint8_t> kPriorityBounds{ 0, 3 };
constexpr Bounds<int64_t> kCpuBounds{ 1, 10000000 };
constexpr Bounds<uint64_t> kSeedBounds{ 0, 1000000000 };
constexpr Bounds<int> kReturnBounds{ 0, 100 };
constexpr Bounds<double> kRateBounds{ 0.0, 100000.0 };
constexpr Bounds<double> kSpreadBounds{ 0.0, 3.0 };
constexpr Bounds<double> kFactorBounds{ 0.01, 100.0 };
constexpr Bounds<double> kShareBounds{ 0.0, 1.0 };

const std::vector<std::pair<std::string, LoadFaultKind>> kFaultKinds = {
  { "burst", LoadFaultKind::Burst },
  { "upstreams_lost", LoadFaultKind::UpstreamsLost },
  { "upstreams_slow", LoadFaultKind::UpstreamsSlow },
  { "entries_lost", LoadFaultKind::EntriesLost },
};

LoadKind
ReadKind(const std::string& aName, YamlReader& aReader)
{
  LoadKind kind{ .name_ = aName };
  aReader.Number(
    "jobs_per_second", kind.jobsPerSecond_, kRateBounds, Presence::Required);
  aReader.Number("tasks", kind.tasks_, kTaskBounds);
  aReader.Duration("run_time", kind.runTime_, kJobTimeBounds);
  aReader.Number("job_spread", kind.jobSpread_, kSpreadBounds);
  aReader.Number("task_spread", kind.taskSpread_, kSpreadBounds);
  aReader.Number("estimate_spread", kind.estimateSpread_, kSpreadBounds);
  aReader.Number("cpu", kind.cpu_, kCpuBounds);
  aReader.Number("priority", kind.priority_, kPriorityBounds);
  aReader.Number("attempts", kind.attempts_, kAttemptBounds);
  aReader.Number("stretch", kind.stretch_, kFactorBounds);
  aReader.Duration("slo", kind.slo_, kJobTimeBounds);
  aReader.Duration("client_timeout", kind.clientTimeout_, kJobTimeBounds);
  aReader.CheckKeys();
  return kind;
}

LoadFault
ReadFault(YamlReader& aReader, const std::vector<LoadKind>& aKinds)
{
  LoadFault fault;
  aReader.Choice("kind", fault.kind_, kFaultKinds, Presence::Required);
  aReader.Duration("at", fault.at_, kFaultTimeBounds, Presence::Required);
  aReader.Duration("for", fault.duration_, kFaultTimeBounds);
  aReader.Number("share", fault.share_, kShareBounds);
  aReader.Number("factor", fault.factor_, kFactorBounds);
  if (aReader.Text("job", fault.job_)) {
    const bool known =
      std::any_of(aKinds.begin(), aKinds.end(), [&](const LoadKind& aKind) {
        return aKind.name_ == fault.job_;
      });
    if (!known) {
      aReader.AddError("job", "no kind of job is named '" + fault.job_ + "'");
    }
  }
  aReader.CheckKeys();
  return fault;
}

void
ReadUpstreams(YamlReader& aRoot, LoadPattern& aPattern)
{
  auto reader = aRoot.Child("upstreams", Presence::Required);
  if (!reader) {
    return;
  }
  reader->Number(
    "count", aPattern.upstreams_, kUpstreamBounds, Presence::Required);
  reader->Number("cpu", aPattern.upstreamCpu_, kCpuBounds);
  auto speeds = reader->Child("speeds");
  if (speeds) {
    aPattern.speeds_.clear();
    double slowest = 1.0;
    double fastest = 1.0;
    speeds->Number("slowest", slowest, kFactorBounds);
    speeds->Number("fastest", fastest, kFactorBounds);
    speeds->CheckKeys();
    aPattern.speeds_ = { slowest, 1.0, fastest };
  }
  reader->CheckKeys();
}

void
ReadOptions(YamlReader& aRoot, LoadPattern& aPattern)
{
  auto reader = aRoot.Child("options");
  if (!reader) {
    return;
  }
  JobSchedulerOptions& scheduler = aPattern.scheduler_;
  reader->Number("max_returned", scheduler.maxReturned_, kReturnBounds);
  reader->Duration(
    "preference_range", scheduler.preferenceRange_, kDelayBounds);
  AdmissionOptions& admission = scheduler.admission_;
  reader->Number(
    "urgent_wait_share", admission.urgentWaitShare_, kFactorBounds);
  reader->Number("wait_share", admission.waitShare_, kFactorBounds);
  ReportScheduleOptions& reports = aPattern.reports_;
  reader->Duration("report_interval", reports.minInterval_, kDelayBounds);
  reader->Duration("active_report_interval_per_entry",
                   reports.activeIntervalPerEntry_,
                   kDelayBounds);
  reader->Duration("idle_report_interval_per_entry",
                   reports.idleIntervalPerEntry_,
                   kDelayBounds);
  reader->CheckKeys();
}

void
ReadPattern(YamlReader& aRoot, LoadPattern& aPattern)
{
  aRoot.Number("seed", aPattern.seed_, kSeedBounds);
  aRoot.Duration(
    "duration", aPattern.duration_, kPatternDurationBounds, Presence::Required);
  aRoot.Number("entries", aPattern.entries_, kEntryBounds, Presence::Required);
  aRoot.Number("zones", aPattern.zones_, kEntryBounds);
  aRoot.Duration("link_delay", aPattern.linkDelay_, kDelayBounds);
  aRoot.Boolean("refused_return", aPattern.refusedReturn_);
  ReadUpstreams(aRoot, aPattern);
  ReadOptions(aRoot, aPattern);
  if (auto jobs = aRoot.Child("jobs", Presence::Required)) {
    for (auto& [name, reader] : jobs->Children()) {
      aPattern.kinds_.push_back(ReadKind(name, reader));
    }
    jobs->CheckKeys();
  }
  if (auto faults = aRoot.Child("faults")) {
    for (auto& [name, reader] : faults->Children()) {
      aPattern.faults_.push_back(ReadFault(reader, aPattern.kinds_));
    }
    faults->CheckKeys();
  }
  aRoot.CheckKeys();
}

} // namespace

LoadPattern
ParseLoadPattern(const std::string& aYaml)
{
  std::vector<FileError> errors;
  LoadPattern pattern;
  YamlReader root(LoadYaml(aYaml, errors), "", errors);
  ReadPattern(root, pattern);
  if (!errors.empty()) {
    throw FileErrors(std::move(errors));
  }
  return pattern;
}

} // namespace cornelfront
