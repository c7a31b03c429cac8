/// \file
/// JobSidecar: startup, shutdown and periodic work.

#include "job_sidecar_pvt.h"

#include "cornelfront/job_replica.h"
#include "cornelfront/late_order_record.h"
#include "cornelfront/predecessor.h"
#include "job_links_pvt.h"
#include "platform/member_topic.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

constexpr Millis kTickInterval{ 50 };
constexpr Millis kStopPollInterval{ 20 };
/// Maximum time for the last reports to leave before the process exits.
constexpr Millis kFlushTimeout{ 500 };
constexpr Millis kOperatorWait{ 2000 };
constexpr Millis kMembersWait{ 5000 };

} // namespace

JobSidecar::Impl::Impl(const JobSidecarSettings& aSettings)
  : settings_(aSettings)
{
  RunOnLoop(pool_.Context(), [this] { Setup(); });
}

JobSidecar::Impl::~Impl()
{
  pool_.Stop();
}

void
JobSidecar::Impl::Setup()
{
  asio::io_context& loop = pool_.Context();
  handlers_ = MakeJobLinkHandlers(
    [this](const LinkPtr& aLink, Envelope& aEnvelope) {
      OnMessage(aLink, aEnvelope);
    },
    [this](const LinkPtr& aLink, const std::string& aDetail) {
      OnLinkEnd(aLink, aDetail);
    });
  pollTimer_ = std::make_unique<asio::steady_timer>(loop);
  executor_ =
    std::make_unique<platform::ExecutorClient>(loop, settings_.upstream_);
  connector_ = std::make_unique<LinkConnector>(
    pool_, settings_.links_, [this](asio::ip::tcp::socket aSocket) {
      return OnConnect(std::move(aSocket));
    });
  for (const Endpoint& seed : settings_.seeds_) {
    endpoints_.push_back({ seed.host_, settings_.messagePort_ });
  }
  heartbeats_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.heartbeats_.host_,
                       .port_ = settings_.heartbeats_.port_,
                       .loop_ = &loop },
    platform::HeartbeatHandler(
      { .onHeartbeat_ =
          [this](const platform::Heartbeat& aHeartbeat) {
            OnHeartbeat(aHeartbeat);
          },
        .onLeave_ =
          [this](const UpstreamDeparture& aDeparture,
                 std::function<void()> aAcknowledge) {
            OnUpstreamLeft(aDeparture, std::move(aAcknowledge));
          } }));
  store_ = std::make_unique<platform::StoreClient>(loop, settings_.store_);
  Register();
  operatorReader_ = std::make_unique<platform::TopicReader>(
    loop,
    *store_,
    platform::TopicReader::Options{
      .topic_ = std::string(platform::kOperatorTopic),
      .wait_ = kOperatorWait,
      .onChange_ = [this](const platform::TopicReader::Records& aRecords) {
        OnOperatorRecords(aRecords);
      } });
  memberReader_ = std::make_unique<platform::TopicReader>(
    loop,
    *store_,
    platform::TopicReader::Options{
      .topic_ = std::string(platform::kMemberTopic),
      .wait_ = kMembersWait,
      .onChange_ = [this](const platform::TopicReader::Records& aRecords) {
        for (const Endpoint& entry : platform::ReadMembers(aRecords)) {
          endpoints_.push_back(entry);
          if (connecting_) {
            connector_->Add(entry, false);
          }
        }
      } });
  metricsServer_ = ServeMetrics(loop, settings_.metrics_, metrics_);
  ticker_ =
    std::make_unique<LoopTimer>(loop, kTickInterval, [this] { Tick(); });
  LOG(INFO) << "start role=job-sidecar name=" << settings_.name_
            << " zone=" << settings_.zone_ << " id=" << ToString(self_);
}

void
JobSidecar::Impl::Stop()
{
  const MonoTime begin = BootNow();
  RunOnLoop(pool_.Context(), [&] {
    LOG(INFO) << "stopping runs=" << table_.Size();
    stopping_ = true;
    table_.SetClosed(true, begin);
    SendPending(begin);
    SendStatus(begin);
  });
  size_t left = 1;
  while (left > 0 && BootNow() - begin < settings_.stopLimit_) {
    std::this_thread::sleep_for(kStopPollInterval);
    RunOnLoop(pool_.Context(), [&] { left = table_.Size(); });
  }
  CloseLinks();
  LOG(INFO) << "stopped runs=" << left;
}

/// Closes all links; each sends what is queued first.
void
JobSidecar::Impl::CloseLinks()
{
  const MonoTime begin = BootNow();
  size_t open = 0;
  RunOnLoop(pool_.Context(), [&] {
    linksClosed_ = true;
    for (const auto& [id, owner] : owners_) {
      owner.link_->Close();
    }
    open = owners_.size();
  });
  while (open > 0 && BootNow() - begin < kFlushTimeout) {
    std::this_thread::sleep_for(kStopPollInterval);
    RunOnLoop(pool_.Context(), [&] { open = owners_.size(); });
  }
  if (open > 0) {
    LOG(WARNING) << "stopped before " << open << " links were closed";
  }
}

void
JobSidecar::Impl::Tick()
{
  const MonoTime now = BootNow();
  DetectSuspension(now);
  StartConnecting(now);
  table_.Tick(now);
  AcceptClaim();
  LogLeaseLimit(now);
  SendPending(now);
  SendStatus(now);
  StoreLateOrders(now);
  metrics_.SetGauge("runs", static_cast<double>(table_.Size()));
  metrics_.SetGauge("entries", static_cast<double>(owners_.size()));
  metrics_.SetGauge("upstream", table_.HasUpstream() ? 1 : 0);
}

void
JobSidecar::Impl::LogLeaseLimit(MonoTime aNow)
{
  const LeaseLimit limit = table_.LimitLease(aNow);
  const bool ending = limit.end_ - aNow < lease_ / 2;
  const LeaseLimitReason reason =
    ending ? limit.reason_ : LeaseLimitReason::None;
  if (reason == leaseLimit_) {
    return;
  }
  leaseLimit_ = reason;
  LOG(WARNING) << "lease runs=" << table_.Size()
               << " reason=" << ToString(reason) << " left_ms="
               << std::chrono::duration_cast<Millis>(limit.end_ - aNow).count()
               << " outcome=" << (ending ? "left_to_end" : "extended");
}

bool
JobSidecar::Impl::DetectSuspension(MonoTime aNow)
{
  const auto suspension = table_.TakeSuspension(aNow);
  if (!suspension) {
    return false;
  }
  LOG(WARNING) << "suspended ms=" << suspension->length_.count()
               << " runs=" << suspension->runs_ << " outcome=all_stopped";
  if (!connecting_) {
    // The upstream's clock may have stood still as well.
    start_ += suspension->length_;
  }
  // Orders in the links' buffers may be older than their receive time suggests.
  for (auto& [id, owner] : owners_) {
    owner.link_->Close();
  }
  owners_.clear();
  return true;
}

std::optional<Millis>
JobSidecar::Impl::AnsweredPollAge() const
{
  if (!table_.HasUpstream() || !table_.KnowsRuns()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(answeredPollStart_ - start_);
}

std::optional<Millis>
JobSidecar::Impl::AgeOfUpstream() const
{
  const auto& known = table_.Upstream();
  if (!known) {
    return std::nullopt;
  }
  const auto timeOfDay =
    std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch());
  return UpstreamAge(known->startedMs_, clock_, timeOfDay);
}

void
JobSidecar::Impl::StartConnecting(MonoTime aNow)
{
  const PredecessorView view{
    .age_ = std::chrono::duration_cast<Millis>(aNow - start_),
    .polledAt_ = AnsweredPollAge(),
    .upstreamAge_ = AgeOfUpstream(),
    .hasOrphans_ = table_.HasOrphans(),
  };
  if (connecting_ || !HavePredecessorRunsEnded(view, table_.Options())) {
    return;
  }
  connecting_ = true;
  for (const Endpoint& endpoint : endpoints_) {
    connector_->Add(endpoint, false);
  }
}

void
JobSidecar::Impl::OnOperatorRecords(
  const platform::TopicReader::Records& aRecords)
{
  const MonoTime now = BootNow();
  // The configuration, which may be large, concerns entries only.
  const bool out = platform::ReadZonesOut(aRecords).contains(settings_.zone_);
  LOG(INFO) << "operator zone_out=" << out;
  table_.SetClosed(out || stopping_, now);
  SendPending(now);
  SendStatus(now);
}

void
JobSidecar::Impl::Register()
{
  registration_ = std::make_unique<platform::BatchWriter>(
    pool_.Context(),
    *store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kJobTopic),
                                  .producer_ = "sidecar-" + ToString(self_),
                                  .retryUntilApplied_ = true });
  registration_->Write({ SidecarRecord(settings_.name_, self_) },
                       [this](platform::StoreOutcome, MonoTime) {
                         LOG(INFO) << "registered name=" << settings_.name_;
                         table_.SetRegistered();
                       });
  lateOrderWriter_ = std::make_unique<platform::BatchWriter>(
    pool_.Context(),
    *store_,
    platform::BatchWriterOptions{ .topic_ =
                                    std::string(platform::kLateOrderTopic),
                                  .producer_ = "late-" + ToString(self_) });
}

void
JobSidecar::Impl::StoreLateOrders(MonoTime aNow)
{
  std::vector<LateOrder> orders = lateOrderJournal_.TakeBatch(aNow);
  if (orders.empty()) {
    return;
  }
  LOG(INFO) << "late_orders=" << orders.size() << " outcome=storing";
  const KeyedRecord record = EncodeLateOrders({ .sidecarName_ = settings_.name_,
                                                .sidecar_ = self_,
                                                .orders_ = std::move(orders) });
  lateOrderWriter_->Write(
    { record }, [this](platform::StoreOutcome aOutcome, MonoTime) {
      lateOrderJournal_.OnWritten(aOutcome == platform::StoreOutcome::Ok);
    });
}

JobSidecar::JobSidecar(const JobSidecarSettings& aSettings)
  : impl_(std::make_unique<Impl>(aSettings))
{
}

JobSidecar::~JobSidecar() = default;

void
JobSidecar::Stop()
{
  impl_->Stop();
}

} // namespace cornelfront
