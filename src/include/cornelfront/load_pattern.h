#pragma once

/// \file
/// Load patterns: descriptions of arrivals, upstreams and faults for a replay
/// of the scheduling decisions (load_replay.h).

#include "cornelfront/clock.h"
#include "cornelfront/job_scheduler.h"
#include "cornelfront/report_schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelfront {

/// One kind of job. Run times and estimates are log-normal around their means;
/// the spreads are standard deviations of the logarithm.
struct LoadKind
{
  std::string name_;
  double jobsPerSecond_ = 1.0;
  uint32_t tasks_ = 1;
  Millis runTime_{ 100 };
  /// Spread between jobs, and between the tasks of one job.
  double jobSpread_ = 0.4;
  double taskSpread_ = 0.15;
  /// Spread of the client's estimate around the run time.
  double estimateSpread_ = 0.4;
  /// In thousandths of a core.
  int64_t cpu_ = 1000;
  uint8_t priority_ = 0;
  uint32_t attempts_ = 2;
  double stretch_ = 1.6;
  Millis slo_{ 60 };
  Millis clientTimeout_{ 1500 };
};

enum class LoadFaultKind : uint8_t
{
  /// Jobs arrive factor_ times as fast.
  Burst,
  /// A share of the upstreams and their sidecars stops without notice.
  UpstreamsLost,
  /// Tasks on a share of the upstreams take factor_ times as long.
  UpstreamsSlow,
  /// A share of the entries stops without notice.
  EntriesLost,
};

struct LoadFault
{
  LoadFaultKind kind_ = LoadFaultKind::Burst;
  Millis at_{ 0 };
  Millis duration_{ 1000 };
  double share_ = 1.0;
  double factor_ = 2.0;
  /// For bursts: only this kind of job; all kinds if empty.
  std::string job_;
};

struct LoadPattern
{
  uint64_t seed_ = 1;
  Millis duration_{ 10000 };
  uint32_t entries_ = 3;
  uint32_t upstreams_ = 11;
  uint32_t zones_ = 3;
  /// One-way delay between an entry and a sidecar.
  Millis linkDelay_{ 2 };
  /// Capacity of each upstream, in thousandths of a core.
  int64_t upstreamCpu_ = 32000;
  /// Relative speeds, assigned to the upstreams in turn.
  std::vector<double> speeds_{ 1.0 };
  /// Refused callers submit once more after the time that they were told.
  bool refusedReturn_ = false;
  std::vector<LoadKind> kinds_;
  std::vector<LoadFault> faults_;
  /// Options to compare; those of the processes unless the file says otherwise.
  JobSchedulerOptions scheduler_;
  ReportScheduleOptions reports_;
};

/// Parses and checks a pattern in YAML.
/// \throws FileErrors with every error in the file
LoadPattern
ParseLoadPattern(const std::string& aYaml);

} // namespace cornelfront
