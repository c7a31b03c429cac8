#pragma once

/// \file
/// Controller that runs jobs on the sidecars connected to this entry.

#include "cornelfront/dispatch_policy.h"
#include "cornelfront/dispatcher.h"
#include "cornelfront/events.h"
#include "cornelfront/link.h"
#include "cornelfront/service_dispatch.h"
#include "cornelfront/ticker.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelfront {

struct DispatcherOptions
{
  MemberId self_;
  std::string zone_;
  Millis resolveBound_{ 2000 };
};

/// Status of one sidecar as shown to operators.
struct SidecarView
{
  MemberId id_;
  std::string name_;
  std::string zone_;
  UpstreamStatus status_;
  ConfigVersion configVersion_;
  /// Address of the sidecar's HTTP server, "<ip>:<port>".
  std::string http_;
};

/// Thread-safe. The state of each service is a shard with its own lock. No lock
/// is held while a message is sent or a job's result is delivered.
class Dispatcher : public JobRunner
{
public:
  Dispatcher(DispatcherOptions aOptions, EventLog& aEvents);
  ~Dispatcher() override;

  void Submit(JobSpec aJob, Done aDone, MonoTime aNow) override;
  void Cancel(const std::string& aSubmission, MonoTime aNow) override;
  Millis PredictedWait(const std::string& aService,
                       Priority aPriority,
                       size_t aTasks,
                       MonoTime aNow) const override;

  /// A sidecar has sent Hello on this link, which replaces any earlier link to
  /// the same incarnation of the sidecar.
  void OnHello(const LinkPtr& aLink, const Hello& aHello, MonoTime aNow);
  void OnStatus(const LinkPtr& aLink,
                const UpstreamStatus& aStatus,
                MonoTime aNow);
  void OnAnswers(const LinkPtr& aLink,
                 const TaskAnswers& aAnswers,
                 MonoTime aNow);
  /// Records the configuration version that the sidecar reported on this link.
  void OnConfigVersion(const LinkPtr& aLink, ConfigVersion aVersion);
  void OnLinkEnd(const LinkPtr& aLink, MonoTime aNow);

  /// Applies the dispatch policy and the set of zones that accept work.
  void OnConfig(const ConfigState& aState, MonoTime aNow);

  std::vector<SidecarView> Sidecars() const;
  /// Number of unfinished jobs.
  size_t JobCount() const;

private:
  struct Shard
  {
    Shard(ServiceDispatchOptions aOptions)
      : dispatch_(std::move(aOptions))
    {
    }
    mutable std::mutex mutex_;
    ServiceDispatch dispatch_;
  };
  using ShardPtr = std::shared_ptr<Shard>;

  struct ConnectedSidecar
  {
    LinkPtr link_;
    SidecarView view_;
  };

  ShardPtr ShardOf(const std::string& aService);
  std::vector<ShardPtr> Shards() const;
  std::optional<MemberId> FindSidecar(const LinkPtr& aLink) const;
  LinkPtr FindLink(MemberId aMember, uint64_t aSerial) const;
  /// Calls \p aOperation(ServiceDispatch&, DispatchEffects&) under the shard's
  /// lock and applies the effects after releasing it.
  template<class Operation>
  void UpdateShard(const ShardPtr& aShard,
                   Operation&& aOperation,
                   MonoTime aNow);
  void ApplyEffects(const ShardPtr& aShard,
                    DispatchEffects aEffects,
                    MonoTime aNow);
  std::vector<TaskId> SendMessages(DispatchEffects& aEffects);
  void Tick();
  void OnZones(const std::vector<std::string>& aZonesOut, MonoTime aNow);
  void OnPolicy(const ConfigValue& aPolicy, MonoTime aNow);

  const DispatcherOptions options_;
  EventLog& events_;

  mutable std::mutex shardsMutex_;
  std::map<std::string, ShardPtr> shards_;
  std::vector<std::string> zonesOut_;
  ConfigVersion policyVersion_;
  DispatchPolicy policy_;

  mutable std::mutex sidecarsMutex_;
  std::unordered_map<MemberId, ConnectedSidecar> sidecars_;
  std::unordered_map<uint64_t, MemberId> sidecarByLink_;

  mutable std::mutex submissionsMutex_;
  std::unordered_map<std::string, std::string> serviceBySubmission_;

  Ticker ticker_;
};

} // namespace cornelfront
