#pragma once

/// \file
/// Controller of an entry's configuration, which it reads from the log.

#include "cornelfront/config.h"
#include "cornelfront/config_reader.h"
#include "cornelfront/events.h"
#include "cornelfront/log_client.h"
#include "cornelfront/messages.h"
#include "cornelfront/start_gate.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace cornelfront {

struct ConfigControllerOptions
{
  LogClientOptions log_;
  /// Availability zone of the entry.
  std::string zone_;
  /// How long the log may block a read while there is no new record.
  Millis pollWait_{ 250 };
  /// Timeout of a read in addition to pollWait_; increases while the log is
  /// slow.
  Millis readTimeout_{ 700 };
  Millis maxReadTimeout_{ 8000 };
  Millis appendTimeout_{ 2000 };
  Millis retryPause_{ 200 };
  /// The log counts as unreachable once the last read of its head is older than
  /// this, so that a slow log is treated like one that is down.
  Millis maxHeadReadAge_{ 1500 };
  SnapshotOptions snapshots_;
  /// Seed of the snapshot jitter.
  uint64_t seed_ = 1;
};

/// Reads the log on its own thread, appends snapshots, and keeps the evidence
/// about the configuration that the entry may report. Thread-safe. The
/// destructor waits for at most one request to the log.
class ConfigController
{
public:
  using OnChange = std::function<void(const ConfigStatePtr&)>;

  /// \p aOnChange is called on the controller's thread, or on the thread that
  /// calls Offer(), without a lock held. Calls may arrive out of order, so it
  /// must ignore a state that is not newer than the one it has.
  ConfigController(ConfigControllerOptions aOptions,
                   EventLog& aEvents,
                   OnChange aOnChange);
  ~ConfigController();
  ConfigController(const ConfigController&) = delete;
  ConfigController& operator=(const ConfigController&) = delete;

  /// The newest known state; never null.
  ConfigStatePtr State() const;
  /// Evidence that this entry may currently report to sidecars and other
  /// entries.
  ConfigEvidence Evidence(MonoTime aNow) const;

  /// Adopts a state received from another entry if it is newer.
  void Offer(const ConfigState& aState);
  /// Records the evidence that another entry reports. If the same message
  /// carries a state, call Offer() first.
  void OnPeerEvidence(const EntryAddress& aPeer,
                      const ConfigEvidence& aEvidence);
  /// The link to another entry has closed.
  void OnPeerDisconnected(MemberId aPeer);
  /// Requests an immediate read of the log.
  void ReadNow();

private:
  using Lock = std::unique_lock<std::mutex>;

  void TailLoop();
  /// Reads one page. Returns false if the log could not be read.
  bool ReadOnce();
  void OnReadFailed(const LogUnavailable& aError);
  void OnPage(const LogPage& aPage, MonoTime aStartTime, MonoTime aNow);
  /// Makes the reader's state current if it is newer. Returns it if its version
  /// has changed.
  ConfigStatePtr PublishLocked(const Lock& aLock);
  void RecordFolded(const std::vector<FoldedRecord>& aFolded);
  void NotifyChange(const ConfigStatePtr& aState);
  void AppendSnapshotIfDue(MonoTime aNow);
  /// Returns the snapshot record to append if one is due and its random delay
  /// has passed.
  std::optional<std::string> TakeDueSnapshot(MonoTime aNow);

  const ConfigControllerOptions options_;
  EventLog& events_;
  const OnChange onChange_;
  LogClient log_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool readRequested_ = false;
  ConfigReader reader_;
  ConfigStatePtr state_ = std::make_shared<const ConfigState>();
  WitnessRule witness_;
  bool logReachable_ = false;
  /// Start time of the newest completed read that reached the log's head.
  std::optional<MonoTime> lastHeadReadStart_;

  // Used only by thread_.
  Millis readTimeout_;
  MonoTime lastSnapshotTime_;
  MonoTime lastAppendTime_;
  std::optional<MonoTime> snapshotDueTime_;
  std::mt19937_64 random_;

  std::thread thread_;
};

} // namespace cornelfront
