#pragma once

/// \file
/// Controller of an entry's configuration: tails the log and folds it.

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
  /// How long the log may hold a read while there is no new record.
  Millis pollWait_{ 250 };
  /// Bound on a read beyond pollWait_; grows while the log is slow.
  Millis readTimeout_{ 700 };
  Millis maxReadTimeout_{ 8000 };
  Millis appendTimeout_{ 2000 };
  Millis retryPause_{ 200 };
  /// Age of the last read of the head from which on the log counts as not
  /// reachable, so that a slow log and one that is down are treated alike.
  Millis reachableAge_{ 1500 };
  SnapshotOptions snapshots_;
  /// Seed of the jitter.
  uint64_t seed_ = 1;
};

/// Follows the log on a thread of its own, appends snapshots, and keeps what
/// the entry may state about the configuration. Thread-safe. Destruction ends
/// after at most one exchange with the log.
class ConfigController
{
public:
  using OnChange = std::function<void(const ConfigStatePtr&)>;

  /// \p aOnChange runs on the controller's thread, or on the thread that calls
  /// Offer, without a lock held; two calls may come in either order, so it must
  /// ignore a state that is not newer than its own.
  ConfigController(ConfigControllerOptions aOptions,
                   EventLog& aEvents,
                   OnChange aOnChange);
  ~ConfigController();
  ConfigController(const ConfigController&) = delete;
  ConfigController& operator=(const ConfigController&) = delete;

  /// The newest state known; never null.
  ConfigStatePtr State() const;
  /// What this entry may state now to sidecars and other entries.
  ConfigEvidence Evidence(MonoTime aNow) const;

  /// Takes a state from another entry if it is newer.
  void Offer(const ConfigState& aState);
  /// What another entry says of the log and its configuration. Call after
  /// Offer if the same message brought a state.
  void OnPeerEvidence(const EntryAddress& aPeer,
                      const ConfigEvidence& aEvidence);
  /// The link to another entry is closed.
  void OnPeerGone(MemberId aPeer);
  /// Reads the log now.
  void Poke();

private:
  using Lock = std::unique_lock<std::mutex>;

  void TailLoop();
  /// Returns false if the log could not be read.
  bool ReadOnce();
  void OnReadFailed(const LogUnavailable& aError);
  void OnPage(const LogPage& aPage, MonoTime aBegun, MonoTime aNow);
  /// Publishes the reader's state if it is newer; returns it if the version
  /// has changed.
  ConfigStatePtr PublishLocked(const Lock& aLock);
  void RecordFolded(const std::vector<FoldedRecord>& aFolded);
  void Announce(const ConfigStatePtr& aState);
  void MaybeAppendSnapshot(MonoTime aNow);
  /// Returns the record to append if a snapshot is due and its jitter is over.
  std::optional<std::string> TakeDueSnapshot(MonoTime aNow);

  const ConfigControllerOptions options_;
  EventLog& events_;
  const OnChange onChange_;
  LogClient log_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool poked_ = false;
  ConfigReader reader_;
  ConfigStatePtr state_ = std::make_shared<const ConfigState>();
  WitnessRule witness_;
  bool logReachable_ = false;
  /// Begin of the newest completed read of the log's head.
  std::optional<MonoTime> headReadAt_;

  // Used only by the thread.
  Millis readTimeout_;
  MonoTime snapshotSeenAt_;
  MonoTime lastAppendAt_;
  std::optional<MonoTime> snapshotDueAt_;
  std::mt19937_64 random_;

  std::thread thread_;
};

} // namespace cornelfront
