#pragma once

/// \file
/// Controller of a sidecar's start gate.

#include "cornelfront/messages.h"
#include "cornelfront/start_gate.h"

#include <cstdint>
#include <mutex>

namespace cornelfront {

/// Result of one check of the start gate.
struct GateDecision
{
  TaskReason reason_ = TaskReason::None;
  /// Configuration version that the check was based on.
  ConfigVersion version_ = {};
};

/// Serializes access to a StartGate. Thread-safe.
class GateController
{
public:
  explicit GateController(StartGateOptions aOptions);

  /// Records the evidence in a message from an entry. \p aEcho is the time
  /// stamp of this process that the message echoes, or 0 if there is none.
  void OnEvidence(const EntryAddress& aEntry,
                  const ConfigEvidence& aEvidence,
                  int64_t aEcho);
  /// Applies a configuration. Returns true if it is newer than the current one.
  bool OnConfig(const ConfigState& aState);
  void OnEntryDisconnected(MemberId aEntry);

  GateDecision Check(MonoTime aNow) const;
  ConfigVersion Version() const;

private:
  mutable std::mutex mutex_;
  StartGate gate_;
};

} // namespace cornelfront
