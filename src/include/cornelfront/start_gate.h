#pragma once

/// \file
/// The last check of a sidecar before it starts a task, and the rules that make
/// the evidence for it reliable. Performs no I/O, reads no clock and takes no
/// lock. DESIGN.md, section 2, explains why the rules are sufficient.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/ids.h"
#include "cornelfront/messages.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace cornelfront {

/// Returns true if \p aPresent contains more than half of \p aZones; false if
/// \p aZones is empty.
bool
IsZoneMajority(const std::vector<std::string>& aZones,
               const std::vector<std::string>& aPresent);

struct StartGateOptions
{
  /// Availability zone of the sidecar.
  std::string zone_;
  /// Maximum age of the evidence that allows a start.
  Millis freshnessBound_{ 3000 };

  auto operator<=>(const StartGateOptions&) const = default;
};

/// The entry from which evidence comes, and its zone.
struct EvidenceSource
{
  MemberId entry_;
  std::string zone_;
};

/// Decides whether a task may start in the availability zone of the sidecar.
/// Fails closed: no task starts without fresh evidence that no newer
/// configuration has been accepted. Not thread-safe; the sidecar guards it with
/// its lock.
class StartGate
{
public:
  explicit StartGate(StartGateOptions aOptions);

  /// Adopts a configuration; does nothing unless it is newer.
  void OnConfig(const ConfigState& aState);

  /// Records the evidence of an entry. \p aEchoTime is the sidecar's own
  /// monotonic time at which it sent the message that the entry echoed; the
  /// evidence cannot be older. Evidence older than the newest known from the
  /// same entry is ignored.
  void OnEvidence(const EvidenceSource& aSource,
                  const ConfigEvidence& aEvidence,
                  MonoTime aEchoTime);

  /// Discards the evidence of an entry whose link has closed.
  void OnEntryDisconnected(MemberId aEntry);

  /// Returns None if a task may start at \p aNow, otherwise ZoneOut or
  /// StaleConfig.
  TaskReason Check(MonoTime aNow) const;

  /// Version of the configuration on which the gate decides.
  ConfigVersion Version() const { return version_; }

  /// Compares the whole state, so that tests can recognise visited states.
  auto operator<=>(const StartGate&) const = default;

private:
  struct Evidence
  {
    std::string zone_;
    ConfigVersion version_;
    bool logReachable_ = false;
    bool witness_ = false;
    /// Lower bound of the time at which the evidence was given.
    MonoTime givenAt_;
    /// Lower bound of the time at which the entry began its last read that
    /// reached the head of the log.
    MonoTime headReadAt_;

    auto operator<=>(const Evidence&) const = default;
  };

  bool IsFresh(MonoTime aTime, MonoTime aNow) const;
  bool KnowsNewerVersion() const;
  bool HasLogEvidence(MonoTime aNow) const;
  bool HasOutageEvidence(MonoTime aNow) const;

  StartGateOptions options_;
  ConfigVersion version_;
  bool zoneEnabled_ = true;
  std::vector<std::string> entryZones_;
  std::map<MemberId, Evidence> evidence_;
};

/// Decides whether an entry is a witness, that is, whether its evidence counts
/// towards the majority during an outage of the log. An entry qualifies once it
/// has read the log to its head or has received the configuration from
/// witnesses in a majority of the entry zones. It is a witness only while it is
/// also connected to entries in a majority of the entry zones, itself included.
/// Not thread-safe.
class WitnessRule
{
public:
  explicit WitnessRule(std::string aZone);

  /// Records that the log was read to its head.
  void OnHeadRead();

  /// Records the version that a peer entry reported on a link opened by this
  /// incarnation.
  void OnPeer(const EvidenceSource& aPeer,
              ConfigVersion aVersion,
              bool aWitness);
  /// Discards the report of a peer entry whose link has closed.
  void OnPeerDisconnected(MemberId aPeer);

  /// Records the configuration that the entry now holds: the reports of peers
  /// count only once the entry holds their versions. Must be called after every
  /// change.
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

  void UpdateQualified();

  std::string zone_;
  std::vector<std::string> entryZones_;
  ConfigVersion version_;
  bool qualified_ = false;
  std::map<MemberId, Peer> peers_;
};

/// Report of an entry on its configuration version and the entries that it
/// knows.
struct EntryReport
{
  MemberId id_;
  std::string zone_;
  ConfigVersion version_;
  /// Other entries to which it has a link.
  std::vector<EvidenceSource> known_;
};

/// Decides whether a change that was read back from the log is accepted. The
/// same incarnations must report its version, or a later one, in two successive
/// rounds, and they must include all known entries of a majority of the entry
/// zones. One round is not enough: an entry that has reported may be replaced
/// before the last one reports, and its successor may have received the older
/// configuration. Not thread-safe.
class AcceptanceRule
{
public:
  /// \p aZoneLists contains each value of `entry_zones` that a sidecar may
  /// still use; a majority of each of them is required.
  AcceptanceRule(ConfigVersion aTarget,
                 std::vector<std::vector<std::string>> aZoneLists);

  /// Begins the next round. Every query of the previous round must have been
  /// answered or abandoned.
  void BeginRound();
  void OnReport(const EntryReport& aReport);

  bool Accepted() const;
  /// True if the current round alone has a majority.
  bool RoundComplete() const;
  /// Entries that a report of the current round names but that have not
  /// confirmed the change.
  std::vector<EvidenceSource> Unconfirmed() const;

  auto operator<=>(const AcceptanceRule&) const = default;

private:
  struct Round
  {
    /// Zone of each entry that sent a report or was named in one.
    std::map<MemberId, std::string> known_;
    std::map<MemberId, std::string> confirmed_;

    auto operator<=>(const Round&) const = default;
  };

  bool HasMajority(const std::map<MemberId, std::string>& aConfirmed) const;

  ConfigVersion target_;
  std::vector<std::vector<std::string>> zoneLists_;
  Round previous_;
  Round current_;
};

} // namespace cornelfront
