/// \file
/// JobEntry: startup, shutdown and periodic work.

#include "job_entry_pvt.h"

#include "job_links_pvt.h"
#include "platform/member_topic.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

constexpr Millis kTickInterval{ 25 };
constexpr Millis kOperatorWait{ 1000 };
constexpr Millis kStopPollInterval{ 20 };
/// Time after the start for which jobs wait for the late orders in the store,
/// which may be out of reach.
constexpr Millis kLateOrderWait{ 1000 };

} // namespace

JobEntry::Impl::Impl(const JobEntrySettings& aSettings)
  : settings_(aSettings)
  , scheduler_(JobSchedulerOptions{ .self_ = self_, .zone_ = aSettings.zone_ })
{
  RunOnLoop(pool_.Context(), [this] { Setup(); });
}

JobEntry::Impl::~Impl()
{
  pool_.Stop();
}

void
JobEntry::Impl::Setup()
{
  asio::io_context& loop = pool_.Context();
  handlers_ = MakeJobLinkHandlers(
    [this](const LinkPtr& aLink, Envelope& aEnvelope) {
      OnMessage(aLink, aEnvelope);
    },
    [this](const LinkPtr& aLink, const std::string& aDetail) {
      OnLinkEnd(aLink, aDetail);
    });
  server_ = std::make_unique<LinkServer>(
    pool_, settings_.messages_, [this](asio::ip::tcp::socket aSocket) {
      std::make_shared<Link>(std::move(aSocket), settings_.links_, handlers_)
        ->Start();
    });
  store_ = std::make_unique<platform::StoreClient>(loop, settings_.store_);
  Register();
  ReadLateOrders();
  operatorReader_ = std::make_unique<platform::TopicReader>(
    loop,
    *store_,
    platform::TopicReader::Options{
      .topic_ = std::string(platform::kOperatorTopic),
      .wait_ = kOperatorWait,
      .onChange_ = [this](const platform::TopicReader::Records& aRecords) {
        operator_ = platform::ReadOperatorState(aRecords, operator_);
        LOG(INFO) << "operator version=" << operator_.version_
                  << " routes=" << operator_.routes_.size()
                  << " zones_out=" << operator_.zonesOut_.size();
        const MonoTime now = BootNow();
        CheckClients(now);
        scheduler_.SetZonesOut(operator_.zonesOut_, now);
        stored_->OnConfiguration(now);
        PerformActions(now);
      } });
  stored_ = std::make_unique<StoredJobs>(
    loop, *store_, scheduler_, self_, settings_.name_, MakeHooks());
  clients_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.clients_.host_,
                       .port_ = settings_.clients_.port_,
                       .loop_ = &loop,
                       .lookInterval_ = kTickInterval },
    [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      HandleClient(aRequest, aReply);
    });
  readiness_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.readiness_.host_,
                       .port_ = settings_.readiness_.port_,
                       .loop_ = &loop },
    [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      HandleReadiness(aRequest, aReply);
    });
  metricsServer_ = ServeMetrics(loop, settings_.metrics_, metrics_);
  ticker_ =
    std::make_unique<LoopTimer>(loop, kTickInterval, [this] { Tick(); });
  LOG(INFO) << "start role=job-entry name=" << settings_.name_
            << " zone=" << settings_.zone_ << " id=" << ToString(self_);
}

StoredJobsHooks
JobEntry::Impl::MakeHooks()
{
  const auto sendToAll = [this](const auto& aMessage) {
    for (const auto& [id, sidecar] : sidecars_) {
      if (sidecar.receivedHeldRuns_) {
        sidecar.link_->Send(aMessage);
      }
    }
  };
  return { .onActions_ = [this] { PerformActions(BootNow()); },
           .onBecomeLeader_ = sendToAll,
           .onAuthority_ = sendToAll,
           .findQueue_ = [this](const std::string& aName)
             -> std::optional<ConfiguredQueue> {
             for (const platform::Route& route : operator_.routes_) {
               if (route.queue_.name_ == aName) {
                 return ConfiguredQueue{ route.queue_, operator_.version_ };
               }
             }
             return std::nullopt;
           },
           .isConfigured_ = [this] { return operatorReader_->Complete(); } };
}

void
JobEntry::Impl::Register()
{
  registration_ = std::make_unique<platform::BatchWriter>(
    pool_.Context(),
    *store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kMemberTopic),
                                  .producer_ = "entry-" + ToString(self_),
                                  .retryUntilApplied_ = true });
  registration_->Write(
    { platform::MemberRecord(settings_.name_, settings_.advertised_) },
    [this](platform::StoreOutcome, MonoTime) {
      LOG(INFO) << "registered name=" << settings_.name_;
    });
}

void
JobEntry::Impl::Stop()
{
  const MonoTime begin = BootNow();
  RunOnLoop(pool_.Context(), [&] {
    stopping_ = true;
    LOG(INFO) << "stopping jobs=" << scheduler_.Jobs();
  });
  size_t left = 1;
  while (BootNow() - begin < settings_.stopLimit_) {
    const bool balancerDelayPassed = BootNow() - begin >= kBalancerDelay;
    RunOnLoop(pool_.Context(), [&] {
      closed_ = balancerDelayPassed;
      left = clients_->OpenRequests();
    });
    if (balancerDelayPassed && left == 0) {
      break;
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
  LOG(INFO) << "stopped requests=" << left;
}

void
JobEntry::Impl::Tick()
{
  const MonoTime now = BootNow();
  CheckClients(now);
  scheduler_.Tick(now);
  stored_->Tick(now);
  PerformActions(now);
  metrics_.SetGauge("jobs", static_cast<double>(scheduler_.Jobs()));
  metrics_.SetGauge("sidecars", static_cast<double>(sidecars_.size()));
  metrics_.SetGauge("ready", Ready(now) ? 1 : 0);
  metrics_.SetGauge("leads", stored_->Term() > 0 ? 1 : 0);
  metrics_.SetGauge("configuration", static_cast<double>(operator_.version_));
  if (operatorReader_->Complete()) {
    const std::chrono::duration<double> age = operatorReader_->Age(now);
    metrics_.SetGauge("configuration_age_seconds", age.count());
  }
}

bool
JobEntry::Impl::Ready(MonoTime aNow) const
{
  return !stopping_ && operator_.version_ > 0 &&
         scheduler_.HasReadyUpstream() && KnowsStoredLateOrders(aNow);
}

void
JobEntry::Impl::ReadLateOrders()
{
  lateOrderReader_ = std::make_unique<platform::HistoryReader>(
    pool_.Context(),
    *store_,
    platform::HistoryReader::Options{
      .topic_ = std::string(platform::kLateOrderTopic),
      .onRecords_ =
        [this](const std::vector<KeyedRecord>& aRecords) {
          const MonoTime now = BootNow();
          CheckClients(now);
          for (const KeyedRecord& stored : aRecords) {
            if (const auto record = DecodeLateOrders(stored)) {
              OnStoredLateOrders(*record, now);
            }
          }
          PerformActions(now);
        },
      .onComplete_ =
        [this] {
          const auto time =
            std::chrono::duration_cast<Millis>(BootNow() - start_);
          LOG(INFO) << "late_orders ms=" << time.count()
                    << " tasks=" << scheduler_.LimitedTasks()
                    << " outcome=read";
        } });
}

bool
JobEntry::Impl::KnowsStoredLateOrders(MonoTime aNow) const
{
  return lateOrderReader_->Complete() || aNow - start_ >= kLateOrderWait;
}

JobEntry::JobEntry(const JobEntrySettings& aSettings)
  : impl_(std::make_unique<Impl>(aSettings))
{
}

JobEntry::~JobEntry() = default;

void
JobEntry::Stop()
{
  impl_->Stop();
}

} // namespace cornelfront
