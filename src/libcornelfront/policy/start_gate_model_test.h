#pragma once

/// \file
/// State and actions of the model that start_gate_explorer_test.cpp checks.

#include "cornelfront/start_gate.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront::explorer {

constexpr Millis kFreshnessBound{ 3000 };
constexpr Millis kShortStep{ 2000 };
constexpr Millis kLongStep = kFreshnessBound + Millis(1);
constexpr size_t kMaxEntries = 3;
inline const MonoTime kStart{ std::chrono::hours(1) };
constexpr std::array<const char*, kMaxEntries> kZones{ "a", "b", "c" };

/// Configuration of the model. A run may break one rule on purpose, which the
/// exploration must then detect.
struct Scenario
{
  size_t entries_ = kMaxEntries;
  /// Whether log reads and messages take time.
  bool delays_ = false;
  /// Number of entries whose zones are configured as entry zones.
  size_t entryZones_ = kMaxEntries;
  Millis clockStep_ = kLongStep;
  int clockSteps_ = 1;
  int logToggles_ = 1;
  int restarts_ = 1;
  /// Only entries below this index are replaced. One is enough where the
  /// entries differ only in their names.
  size_t restartable_ = 1;
  int rounds_ = 2;
  /// Whether replacement entries receive the configuration from the others. The
  /// original entries receive it only from the log, which gives them the same
  /// and no later.
  bool learning_ = true;
  /// Entries below this index send no evidence.
  size_t firstSender_ = 0;
  /// Whether the operator changes the configuration.
  bool change_ = true;
  /// Leaves out evidence that cannot make the gate allow starts during an
  /// outage after the last advance of the clock.
  bool onlyAttesting_ = false;
  bool ignoresAge_ = false;
  bool datesOnArrival_ = false;
  bool datesReadsAtEnd_ = false;
  bool acceptsAfterOneRound_ = false;
  bool trustsEveryEntry_ = false;
  bool ignoresVersions_ = false;
};

struct LogRead
{
  MonoTime begunAt_;
  size_t records_ = 0;

  auto operator<=>(const LogRead&) const = default;
};

struct EntryModel
{
  MemberId id_;
  WitnessRule rule_{ "" };
  /// Number of log records applied.
  size_t recordCount_ = 0;
  bool logReachable_ = false;
  std::optional<MonoTime> headReadAt_;
  std::optional<LogRead> pending_;

  auto operator<=>(const EntryModel&) const = default;
};

struct Evidence
{
  MemberId entry_;
  size_t version_ = 0;
  bool logReachable_ = false;
  bool witness_ = false;
  Millis logAge_{ 0 };
  MonoTime echoTime_;

  auto operator<=>(const Evidence&) const = default;
};

struct Model
{
  MonoTime now_ = kStart;
  int clockSteps_ = 0;
  int logToggles_ = 0;
  int restarts_ = 0;
  int rounds_ = 1;
  bool logUp_ = true;
  size_t logRecords_ = 1;
  bool readBack_ = false;
  std::optional<MonoTime> acceptedAt_;
  std::vector<EntryModel> entries_;
  std::vector<std::optional<Evidence>> inFlight_;
  StartGate gate_{ {} };
  AcceptanceRule acceptance_{ {}, {} };

  auto operator<=>(const Model&) const = default;
};

/// Returns the configuration after 0, 1 and 2 log records: the first record
/// sets the entry zones, the second takes zone "a" out of use.
inline std::vector<ConfigState>
FoldPrefixes(size_t aEntries)
{
  std::string zones;
  for (size_t i = 0; i < aEntries; ++i) {
    zones += std::string(i == 0 ? "" : ",") + kZones[i];
  }
  std::vector<ConfigState> states(3);
  states[1] = states[0];
  FoldConfigRecord(
    states[1],
    0,
    EncodeConfigRecord(
      ConfigChange{ .changeId_ = "1", .key_ = "entry_zones", .text_ = zones }));
  states[2] = states[1];
  FoldConfigRecord(states[2],
                   1,
                   EncodeConfigRecord(ConfigChange{
                     .changeId_ = "2", .key_ = "zone/a", .text_ = "out" }));
  return states;
}

enum class Step
{
  Append,
  ReadBack,
  QueryEntry,
  NextRound,
  ReadLog,
  FinishRead,
  ToggleLog,
  AdvanceClock,
  Restart,
  LearnFromPeer,
  Send,
  Deliver,
};

constexpr std::array<const char*, 12> kStepNames{
  "append record", "read back",       "query entry",   "next round",
  "read log",      "finish read",     "toggle log",    "advance clock",
  "restart entry", "learn from peer", "send evidence", "deliver evidence"
};

struct Action
{
  Step step_ = Step::Append;
  size_t entry_ = 0;
  size_t peer_ = 0;
};

inline std::string
Describe(const Action& aAction)
{
  return std::string(kStepNames[static_cast<size_t>(aAction.step_)]) + " " +
         kZones[aAction.entry_] + " " + kZones[aAction.peer_];
}

} // namespace cornelfront::explorer
