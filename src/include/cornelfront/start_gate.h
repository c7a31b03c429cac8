#pragma once

/// \file
/// The sidecar's last check before a start, and the rules that make the
/// evidence it relies on sound. Pure: no I/O, no clock, no lock. DESIGN.md,
/// section 2, has the argument.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace cornelfront {

/// True if \p aPresent holds more than half of \p aZones; false if \p aZones
/// is empty.
bool
IsZoneMajority(const std::vector<std::string>& aZones,
               const std::vector<std::string>& aPresent);

struct StartGateOptions
{
  /// Availability zone of the sidecar.
  std::string zone_;
  /// Oldest evidence that allows a start.
  Millis freshnessBound_{ 3000 };

  auto operator<=>(const StartGateOptions&) const = default;
};

/// The entry that made a statement.
struct EvidenceSource
{
  MemberId entry_;
  std::string zone_;
};

/// Decides whether a task may start in the sidecar's availability zone. It
/// fails closed: without fresh evidence that no newer configuration was
/// accepted nothing starts. Not thread-safe; the sidecar holds one under its
/// lock.
class StartGate
{
public:
  explicit StartGate(StartGateOptions aOptions);

  /// Takes a configuration; does nothing unless it is newer.
  void OnConfig(const ConfigState& aState);

  /// Takes an entry's statement. \p aEchoTime is the sidecar's own monotonic
  /// time at which it sent the message that the entry echoed, so that the
  /// statement was made no earlier. Statements older than the newest known one
  /// of the entry are ignored.
  void OnEvidence(const EvidenceSource& aSource,
                  const ConfigEvidence& aEvidence,
                  MonoTime aEchoTime);

  /// Forgets an entry whose link is closed.
  void OnEntryGone(MemberId aEntry);

  /// Returns None if a task may start now, else ZoneOut or StaleConfig.
  TaskReason Check(MonoTime aNow) const;

  /// Version of the configuration that the gate holds.
  ConfigVersion Version() const { return version_; }

  /// Orders gates by content, so that tests can tell visited states.
  auto operator<=>(const StartGate&) const = default;

private:
  struct Statement
  {
    std::string zone_;
    ConfigVersion version_;
    bool logReachable_ = false;
    bool witness_ = false;
    /// The statement was made at this time or later.
    MonoTime madeAt_;
    /// The entry's read of the log's head was begun at this time or later.
    MonoTime headReadAt_;

    auto operator<=>(const Statement&) const = default;
  };

  bool Fresh(MonoTime aTime, MonoTime aNow) const;
  bool KnowsNewerVersion() const;
  bool HasLogEvidence(MonoTime aNow) const;
  bool HasOutageEvidence(MonoTime aNow) const;

  StartGateOptions options_;
  ConfigVersion version_;
  bool zoneIn_ = true;
  std::vector<std::string> entryZones_;
  std::map<MemberId, Statement> statements_;
};

/// Decides whether an entry may testify during an outage of the log. An entry
/// qualifies once it has read the log to its head or has learnt the
/// configuration from witnesses in a majority of the entry zones; it testifies
/// only while it also hears entries in a majority of the entry zones, itself
/// included. Not thread-safe.
class WitnessRule
{
public:
  explicit WitnessRule(std::string aZone);

  /// The log was read to its head.
  void OnHeadRead();

  /// A peer entry stated the version that it holds, on a link opened by this
  /// incarnation.
  void OnPeer(const EvidenceSource& aPeer,
              ConfigVersion aVersion,
              bool aWitness);
  /// The link to a peer entry is closed.
  void OnPeerGone(MemberId aPeer);

  /// Takes note of the configuration that the entry now holds, which
  /// completes what was learnt from peers. Call after every change.
  void OnConfig(const ConfigState& aState);

  bool IsWitness() const;

  auto operator<=>(const WitnessRule&) const = default;

private:
  struct Peer
  {
    std::string zone_;
    ConfigVersion version_;
    bool witness_ = false;

    auto operator<=>(const Peer&) const = default;
  };

  void Qualify();

  std::string zone_;
  std::vector<std::string> entryZones_;
  ConfigVersion version_;
  bool qualified_ = false;
  std::map<MemberId, Peer> peers_;
};

/// What one entry says of itself and of the entries that it knows.
struct EntryReport
{
  MemberId id_;
  std::string zone_;
  ConfigVersion version_;
  /// Other entries that it is linked to.
  std::vector<EvidenceSource> known_;
};

/// Decides whether a change that was read back from the log is accepted: the
/// same incarnations must report its version in two successive rounds, and
/// they must be all known entries of a majority of the entry zones. One round
/// is not enough: an entry that reported may be replaced before the last one
/// reports, and its successor may have learnt the older configuration. Not
/// thread-safe.
class AcceptanceRule
{
public:
  /// \p aZoneLists holds each value of `entry_zones` that a sidecar may still
  /// hold; a majority of every one of them is needed.
  AcceptanceRule(ConfigVersion aWanted,
                 std::vector<std::vector<std::string>> aZoneLists);

  /// Begins the next round; every question of the former must have been
  /// answered or given up.
  void BeginRound();
  void OnReport(const EntryReport& aReport);

  bool Accepted() const;
  /// True if the present round alone has a majority.
  bool RoundComplete() const;
  /// Entries known by any report of this round that have not confirmed.
  std::vector<EvidenceSource> Unconfirmed() const;

  auto operator<=>(const AcceptanceRule&) const = default;

private:
  struct Round
  {
    /// Zone of each entry that reported or was named by a report.
    std::map<MemberId, std::string> known_;
    std::map<MemberId, std::string> confirmed_;

    auto operator<=>(const Round&) const = default;
  };

  bool HasMajority(const std::map<MemberId, std::string>& aConfirmed) const;

  ConfigVersion wanted_;
  std::vector<std::vector<std::string>> zoneLists_;
  Round former_;
  Round present_;
};

} // namespace cornelfront
