#pragma once

/// \file
/// Controller of a sidecar's start gate.

#include "cornelfront/messages.h"
#include "cornelfront/start_gate.h"

#include <cstdint>
#include <mutex>

namespace cornelfront {

/// What the gate said at one moment.
struct GateVerdict
{
  TaskReason reason_ = TaskReason::None;
  /// Configuration that the gate judged by.
  ConfigVersion version_ = {};
};

/// Thread-safe.
class GateController
{
public:
  explicit GateController(StartGateOptions aOptions);

  /// Takes the evidence of a message from an entry. \p aEcho is this process's
  /// own stamp that the message echoed; 0 if none.
  void OnEvidence(const EntryAddress& aEntry,
                  const ConfigEvidence& aEvidence,
                  int64_t aEcho);
  /// Returns true if the configuration is newer than what was held.
  bool OnConfig(const ConfigState& aState);
  void OnEntryGone(MemberId aEntry);

  GateVerdict Check(MonoTime aNow) const;
  ConfigVersion Version() const;

private:
  mutable std::mutex mutex_;
  StartGate gate_;
};

} // namespace cornelfront
