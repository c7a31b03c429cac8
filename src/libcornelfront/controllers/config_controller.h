#pragma once

/// \file
/// Controller of an entry's configuration: tails the log and folds it.

#include "cornelfront/config.h"
#include "cornelfront/events.h"
#include "cornelfront/log_client.h"
#include "cornelfront/messages.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace cornelfront {

struct ConfigControllerOptions
{
  LogClientOptions log_;
};

/// Thread-safe.
class ConfigController
{
public:
  using OnChange = std::function<void(const ConfigStatePtr&)>;

  /// \p aOnChange runs on the controller's thread, or on the thread that calls
  /// Offer, without a lock held.
  ConfigController(ConfigControllerOptions aOptions,
                   EventLog& aEvents,
                   OnChange aOnChange);
  ~ConfigController();

  /// The newest state known; never null.
  ConfigStatePtr State() const;
  ConfigEvidence Evidence(MonoTime aNow) const;

  /// Takes a state from another entry if it is newer.
  void Offer(const ConfigState& aState);
  /// What another entry says of the log and its configuration.
  void OnPeerEvidence(const EntryAddress& aPeer,
                      const ConfigEvidence& aEvidence);
  /// Reads the log now.
  void Poke();

private:
  void TailLoop();
  void ReadOnce();

  const ConfigControllerOptions options_;
  EventLog& events_;
  const OnChange onChange_;
  LogClient log_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool poked_ = false;
  ConfigStatePtr state_ = std::make_shared<const ConfigState>();
  bool logReachable_ = false;
  bool witness_ = false;
  MonoTime lastRead_;
  std::thread thread_;
};

} // namespace cornelfront
