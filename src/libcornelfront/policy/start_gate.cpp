#include "cornelfront/start_gate.h"

#include <algorithm>

namespace cornelfront {

namespace {

/// Ages are limited to this value, so that subtracting one from a time cannot
/// overflow.
constexpr Millis kMaxAge = std::chrono::hours(24);

} // namespace

bool
IsZoneMajority(const std::vector<std::string>& aZones,
               const std::vector<std::string>& aPresent)
{
  const auto count =
    std::count_if(aZones.begin(), aZones.end(), [&](const std::string& aZone) {
      return std::find(aPresent.begin(), aPresent.end(), aZone) !=
             aPresent.end();
    });
  return static_cast<size_t>(count) * 2 > aZones.size();
}

StartGate::StartGate(StartGateOptions aOptions)
  : options_(std::move(aOptions))
{
}

void
StartGate::OnConfig(const ConfigState& aState)
{
  if (aState.version_ <= version_) {
    return;
  }
  version_ = aState.version_;
  zoneEnabled_ = aState.ZoneIsIn(options_.zone_);
  entryZones_ = aState.EntryZones();
}

void
StartGate::OnEvidence(const EvidenceSource& aSource,
                      const ConfigEvidence& aEvidence,
                      MonoTime aEchoTime)
{
  const auto known = evidence_.find(aSource.entry_);
  if (known != evidence_.end() && aEchoTime < known->second.givenAt_) {
    return;
  }
  const Millis logAge = std::clamp(aEvidence.logAge_, Millis(0), kMaxAge);
  evidence_[aSource.entry_] = { .zone_ = aSource.zone_,
                                .version_ = aEvidence.version_,
                                .logReachable_ = aEvidence.logReachable_,
                                .witness_ = aEvidence.witness_,
                                .givenAt_ = aEchoTime,
                                .headReadAt_ = aEchoTime - logAge };
}

void
StartGate::OnEntryDisconnected(MemberId aEntry)
{
  evidence_.erase(aEntry);
}

TaskReason
StartGate::Check(MonoTime aNow) const
{
  if (!zoneEnabled_) {
    return TaskReason::ZoneOut;
  }
  if (KnowsNewerVersion()) {
    return TaskReason::StaleConfig;
  }
  if (HasLogEvidence(aNow) || HasOutageEvidence(aNow)) {
    return TaskReason::None;
  }
  return TaskReason::StaleConfig;
}

bool
StartGate::IsFresh(MonoTime aTime, MonoTime aNow) const
{
  return aNow - aTime <= options_.freshnessBound_;
}

bool
StartGate::KnowsNewerVersion() const
{
  return std::any_of(
    evidence_.begin(), evidence_.end(), [&](const auto& aEntry) {
      return aEntry.second.version_ > version_;
    });
}

bool
StartGate::HasLogEvidence(MonoTime aNow) const
{
  return std::any_of(
    evidence_.begin(), evidence_.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second.headReadAt_, aNow);
    });
}

bool
StartGate::HasOutageEvidence(MonoTime aNow) const
{
  std::vector<std::string> attestingZones;
  std::vector<std::string> otherZones;
  for (const auto& [id, evidence] : evidence_) {
    const bool attests = !evidence.logReachable_ && evidence.witness_ &&
                         IsFresh(evidence.givenAt_, aNow);
    (attests ? attestingZones : otherZones).push_back(evidence.zone_);
  }
  // Acceptance requires all known entries of a zone, so the zone counts here
  // only if all its known entries are witnesses with fresh evidence.
  std::erase_if(attestingZones, [&](const std::string& aZone) {
    return std::find(otherZones.begin(), otherZones.end(), aZone) !=
           otherZones.end();
  });
  return IsZoneMajority(entryZones_, attestingZones);
}

WitnessRule::WitnessRule(std::string aZone)
  : zone_(std::move(aZone))
{
}

void
WitnessRule::OnHeadRead()
{
  qualified_ = true;
}

void
WitnessRule::OnPeer(const EvidenceSource& aPeer,
                    ConfigVersion aVersion,
                    bool aWitness)
{
  peers_[aPeer.entry_] = { .zone_ = aPeer.zone_,
                           .version_ = aVersion,
                           .witness_ = aWitness };
  UpdateQualified();
}

void
WitnessRule::OnPeerDisconnected(MemberId aPeer)
{
  peers_.erase(aPeer);
}

void
WitnessRule::OnConfig(const ConfigState& aState)
{
  version_ = aState.version_;
  entryZones_ = aState.EntryZones();
  UpdateQualified();
}

void
WitnessRule::UpdateQualified()
{
  std::vector<std::string> witnessZones;
  for (const auto& [id, peer] : peers_) {
    if (peer.witness_ && peer.version_ <= version_) {
      witnessZones.push_back(peer.zone_);
    }
  }
  qualified_ = qualified_ || IsZoneMajority(entryZones_, witnessZones);
}

bool
WitnessRule::IsWitness() const
{
  std::vector<std::string> connectedZones{ zone_ };
  for (const auto& [id, peer] : peers_) {
    connectedZones.push_back(peer.zone_);
  }
  return qualified_ && IsZoneMajority(entryZones_, connectedZones);
}

AcceptanceRule::AcceptanceRule(ConfigVersion aTarget,
                               std::vector<std::vector<std::string>> aZoneLists)
  : target_(aTarget)
  , zoneLists_(std::move(aZoneLists))
{
}

void
AcceptanceRule::BeginRound()
{
  previous_ = std::move(current_);
  current_ = {};
}

void
AcceptanceRule::OnReport(const EntryReport& aReport)
{
  current_.known_[aReport.id_] = aReport.zone_;
  for (const EvidenceSource& other : aReport.known_) {
    current_.known_[other.entry_] = other.zone_;
  }
  if (aReport.version_ >= target_) {
    current_.confirmed_[aReport.id_] = aReport.zone_;
  }
}

bool
AcceptanceRule::Accepted() const
{
  std::map<MemberId, std::string> twice;
  for (const auto& [id, zone] : current_.confirmed_) {
    if (previous_.confirmed_.contains(id)) {
      twice[id] = zone;
    }
  }
  return HasMajority(twice);
}

bool
AcceptanceRule::RoundComplete() const
{
  return HasMajority(current_.confirmed_);
}

bool
AcceptanceRule::HasMajority(
  const std::map<MemberId, std::string>& aConfirmed) const
{
  std::vector<std::string> zones;
  zones.reserve(aConfirmed.size());
  for (const auto& [id, zone] : aConfirmed) {
    zones.push_back(zone);
  }
  for (const auto& [id, zone] : current_.known_) {
    if (!aConfirmed.contains(id)) {
      std::erase(zones, zone);
    }
  }
  return !zoneLists_.empty() &&
         std::all_of(
           zoneLists_.begin(), zoneLists_.end(), [&](const auto& aList) {
             return IsZoneMajority(aList, zones);
           });
}

std::vector<EvidenceSource>
AcceptanceRule::Unconfirmed() const
{
  std::vector<EvidenceSource> missing;
  for (const auto& [id, zone] : current_.known_) {
    if (!current_.confirmed_.contains(id)) {
      missing.push_back({ .entry_ = id, .zone_ = zone });
    }
  }
  return missing;
}

} // namespace cornelfront
