#include "cornelfront/entry.h"

#include "controllers/config_controller.h"
#include "controllers/dispatcher.h"
#include "controllers/inbound_links.h"
#include "controllers/outbound_links.h"
#include "controllers/quota_controller.h"
#include "controllers/request_forwarder.h"
#include "cornelfront/admin_status.h"
#include "cornelfront/caller_api.h"
#include "cornelfront/events.h"
#include "cornelfront/http_server.h"
#include "cornelfront/link.h"
#include "cornelfront/metrics.h"
#include "cornelfront/sharded_submission_table.h"
#include "cornelfront/ticker.h"
#include "net/admin_routes.h"
#include "net/process_metrics.h"

#include <thread>

namespace cornelfront {

namespace {

/// Maximum size of a response body in a reply to another entry; leaves 64 KiB
/// of the frame for the rest of the message.
constexpr size_t kMaxForwardedBytes = kMaxFrameBytes - (64U << 10);
constexpr Millis kSweepInterval{ 1000 };
constexpr Millis kStopPollInterval{ 10 };
/// Maximum time for writing queued messages to the links during shutdown.
constexpr Millis kFlushTimeout{ 1000 };

KnownSidecar
ToKnownSidecar(const SidecarView& aView)
{
  return { .process_ = { aView.id_, aView.name_, "sidecar", aView.zone_ },
           .http_ = aView.http_,
           .service_ = aView.status_.service_,
           .ready_ = aView.status_.ready_,
           .configVersion_ = aView.configVersion_,
           .load_ = aView.status_.load_ };
}

} // namespace

class Entry::Impl
{
public:
  explicit Impl(EntrySettings aSettings);
  ~Impl();

  uint16_t HttpPort() const { return http_->Port(); }
  uint16_t MessagePort() const { return server_->Port(); }
  void Stop();

private:
  LinkHandlers MakeBaseHandlers();
  std::shared_ptr<const LinkHandlers> MakeInboundHandlers();
  std::shared_ptr<const LinkHandlers> MakeOutboundHandlers();
  void OnAccept(asio::ip::tcp::socket aSocket);
  LinkPtr OnConnect(asio::ip::tcp::socket aSocket);

  void OnInboundMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnOutboundMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnHello(const LinkPtr& aLink, const Hello& aHello);
  void OnWelcome(const LinkPtr& aLink, const Welcome& aWelcome);
  void OnForward(const LinkPtr& aLink, ForwardRequest& aRequest);
  void OnEnd(const LinkPtr& aLink,
             LinkEndReason aEnd,
             const std::string& aDetail);

  void OnConfigChange(const ConfigStatePtr& aState);
  void HandleHttp(const HttpRequest& aRequest, const HttpReply& aReply);
  EntryAddress Self() const;
  AdminRoutesOptions MakeAdminOptions();
  std::string StatusJson() const;
  void RefreshMetrics();
  Welcome MakeWelcome() const;
  SchemaSetPtr Schemas() const;
  void Sweep();

  const EntrySettings settings_;
  const MemberId self_ = NewMemberId();
  const MonoTime start_ = MonoClock::now();
  EventLog events_;
  Metrics metrics_;
  std::atomic<bool> draining_ = false;
  // Port 0 in the settings requests any free port; replaced by the actual port
  // once the server listens.
  std::atomic<uint16_t> httpPort_ = settings_.http_.port_;
  std::atomic<uint16_t> messagePort_ = settings_.messages_.port_;

  // Must outlive all objects that hold links.
  IoPool pool_;
  OutboundLinks outboundLinks_;
  InboundLinks inboundLinks_;
  RequestForwarder forwarder_;
  ShardedSubmissionTable submissions_;
  QuotaController quotaController_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<ConfigController> config_;
  std::unique_ptr<CallerApi> callerApi_;

  std::mutex configMutex_;
  ConfigVersion appliedVersion_;

  mutable std::mutex schemasMutex_;
  SchemaSetPtr schemas_ = std::make_shared<const SchemaSet>();

  std::shared_ptr<const LinkHandlers> inboundHandlers_;
  std::shared_ptr<const LinkHandlers> outboundHandlers_;
  std::unique_ptr<LinkConnector> connector_;
  std::unique_ptr<LinkServer> server_;
  AdminRoutes admin_;
  std::unique_ptr<HttpServer> http_;

  std::unique_ptr<Ticker> sweeper_;
};

Entry::Impl::Impl(EntrySettings aSettings)
  : settings_(std::move(aSettings))
  , pool_(settings_.messageThreads_)
  , forwarder_(outboundLinks_)
  , submissions_(
      { .start_ = start_, .prefixLifetime_ = settings_.prefixLifetime_ })
  , quotaController_([this] {
    // The connected entries and this one.
    return static_cast<unsigned>(outboundLinks_.Entries().size()) + 1;
  })
  , inboundHandlers_(MakeInboundHandlers())
  , outboundHandlers_(MakeOutboundHandlers())
  , admin_(MakeAdminOptions())
{
  events_.Record(EventId::ProcessStarted,
                 { { "role", "entry" },
                   { "name", settings_.name_ },
                   { "zone", settings_.zone_ } },
                 WallClock::now());
  dispatcher_ = std::make_unique<Dispatcher>(
    DispatcherOptions{ .self_ = self_,
                       .zone_ = settings_.zone_,
                       .resolveBound_ = settings_.resolveBound_ },
    events_);
  callerApi_ = std::make_unique<CallerApi>(
    CallerApiOptions{ .self_ = self_,
                      .start_ = start_,
                      .prefixLifetime_ = settings_.prefixLifetime_,
                      .takeQuota_ =
                        [this](const ServiceSchema& aService,
                               const std::string& aTeam,
                               size_t aTasks,
                               MonoTime aNow) {
                          return quotaController_.Take(
                            aService, aTeam, aTasks, aNow);
                        },
                      .events_ = &events_ },
    *dispatcher_,
    submissions_,
    forwarder_,
    [this] { return Schemas(); });
  config_ = std::make_unique<ConfigController>(
    ConfigControllerOptions{ .log_ = { .url_ = settings_.logUrl_ },
                             .zone_ = settings_.zone_,
                             .seed_ = self_.value_ },
    events_,
    [this](const ConfigStatePtr& aState) { OnConfigChange(aState); });
  connector_ = std::make_unique<LinkConnector>(
    pool_, settings_.links_, [this](asio::ip::tcp::socket aSocket) {
      return OnConnect(std::move(aSocket));
    });
  server_ = std::make_unique<LinkServer>(
    pool_, settings_.messages_, [this](asio::ip::tcp::socket aSocket) {
      OnAccept(std::move(aSocket));
    });
  messagePort_ = server_->Port();
  http_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.http_.host_,
                       .port_ = settings_.http_.port_,
                       .threads_ = settings_.httpThreads_ },
    [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      HandleHttp(aRequest, aReply);
    });
  httpPort_ = http_->Port();
  sweeper_ = std::make_unique<Ticker>(kSweepInterval, [this] { Sweep(); });
  for (const Endpoint& seed : settings_.seeds_) {
    if (seed.host_ != settings_.messages_.host_ ||
        seed.port_ != settings_.messages_.port_) {
      connector_->Add(seed, true);
    }
  }
}

Entry::Impl::~Impl()
{
  sweeper_.reset();
  http_.reset();
  pool_.Stop();
  server_.reset();
  connector_.reset();
  config_.reset();
  dispatcher_.reset();
}

LinkHandlers
Entry::Impl::MakeBaseHandlers()
{
  LinkHandlers handlers;
  handlers.onEnd_ = [this](const LinkPtr& aLink,
                           LinkEndReason aEnd,
                           const std::string& aDetail) {
    OnEnd(aLink, aEnd, aDetail);
  };
  handlers.evidence_ = [this](MonoTime aNow) {
    return config_->Evidence(aNow);
  };
  handlers.hybridStamp_ = [this](WallTime aNow) {
    return events_.Clock().Tick(aNow);
  };
  handlers.onTraffic_ = CountTraffic(metrics_);
  return handlers;
}

std::shared_ptr<const LinkHandlers>
Entry::Impl::MakeInboundHandlers()
{
  LinkHandlers handlers = MakeBaseHandlers();
  handlers.onMessage_ = [this](const LinkPtr& aLink, Envelope& aEnvelope) {
    OnInboundMessage(aLink, aEnvelope);
  };
  return std::make_shared<const LinkHandlers>(std::move(handlers));
}

std::shared_ptr<const LinkHandlers>
Entry::Impl::MakeOutboundHandlers()
{
  LinkHandlers handlers = MakeBaseHandlers();
  handlers.onMessage_ = [this](const LinkPtr& aLink, Envelope& aEnvelope) {
    OnOutboundMessage(aLink, aEnvelope);
  };
  return std::make_shared<const LinkHandlers>(std::move(handlers));
}

void
Entry::Impl::OnAccept(asio::ip::tcp::socket aSocket)
{
  std::make_shared<Link>(std::move(aSocket), settings_.links_, inboundHandlers_)
    ->Start();
}

LinkPtr
Entry::Impl::OnConnect(asio::ip::tcp::socket aSocket)
{
  auto link = std::make_shared<Link>(
    std::move(aSocket), settings_.links_, outboundHandlers_);
  link->Start();
  link->Send(Hello{ .role_ = Role::Entry,
                    .id_ = self_,
                    .name_ = settings_.name_,
                    .zone_ = settings_.zone_,
                    .listen_ = Self() });
  return link;
}

EntryAddress
Entry::Impl::Self() const
{
  return { .id_ = self_,
           .zone_ = settings_.zone_,
           .host_ = settings_.messages_.host_,
           .port_ = messagePort_,
           .http_ = FormatEndpoint({ settings_.http_.host_, httpPort_ }) };
}

Welcome
Entry::Impl::MakeWelcome() const
{
  return { .self_ = Self(), .entries_ = outboundLinks_.Entries() };
}

void
Entry::Impl::OnInboundMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  const MonoTime now = MonoClock::now();
  events_.Clock().Observe(aEnvelope.hybridStamp_, WallClock::now());
  if (const auto* hello = std::get_if<Hello>(&aEnvelope.message_)) {
    OnHello(aLink, *hello);
  } else if (const auto* status =
               std::get_if<UpstreamStatus>(&aEnvelope.message_)) {
    dispatcher_->OnStatus(aLink, *status, now);
  } else if (const auto* answers =
               std::get_if<TaskAnswers>(&aEnvelope.message_)) {
    dispatcher_->OnAnswers(aLink, *answers, now);
  } else if (auto* forward = std::get_if<ForwardRequest>(&aEnvelope.message_)) {
    OnForward(aLink, *forward);
  }
  dispatcher_->OnConfigVersion(aLink, aEnvelope.evidence_.version_);
  inboundLinks_.SendConfigIfOlder(
    aLink, aEnvelope.evidence_.version_, config_->State());
}

void
Entry::Impl::OnOutboundMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  events_.Clock().Observe(aEnvelope.hybridStamp_, WallClock::now());
  if (const auto* welcome = std::get_if<Welcome>(&aEnvelope.message_)) {
    OnWelcome(aLink, *welcome);
  }
  const auto peer = outboundLinks_.PeerOf(aLink);
  if (!peer) {
    return;
  }
  if (const auto* update = std::get_if<ConfigUpdate>(&aEnvelope.message_)) {
    config_->Offer(update->state_);
  } else if (auto* reply = std::get_if<ForwardReply>(&aEnvelope.message_)) {
    forwarder_.OnReply(peer->id_, *reply);
  }
  config_->OnPeerEvidence(*peer, aEnvelope.evidence_);
}

void
Entry::Impl::OnHello(const LinkPtr& aLink, const Hello& aHello)
{
  inboundLinks_.Add(aLink, aHello);
  aLink->Send(MakeWelcome());
  if (aHello.role_ == Role::Sidecar) {
    dispatcher_->OnHello(aLink, aHello, MonoClock::now());
  } else if (aHello.listen_.id_ != self_) {
    connector_->Add(
      { .host_ = aHello.listen_.host_, .port_ = aHello.listen_.port_ }, false);
  }
}

void
Entry::Impl::OnWelcome(const LinkPtr& aLink, const Welcome& aWelcome)
{
  for (const EntryAddress& entry : aWelcome.entries_) {
    if (entry.id_ != self_ && entry.id_ != aWelcome.self_.id_) {
      connector_->Add({ .host_ = entry.host_, .port_ = entry.port_ }, false);
    }
  }
  if (outboundLinks_.PeerOf(aLink) || aWelcome.self_.id_ == self_) {
    return;
  }
  const LinkPtr earlier = outboundLinks_.OnWelcome(aLink, aWelcome.self_);
  if (earlier) {
    connector_->Pause(earlier);
    earlier->Close();
  }
  events_.Record(EventId::LinkUp,
                 { { "entry", ToString(aWelcome.self_.id_) } },
                 WallClock::now());
  inboundLinks_.SendToAll(MakeWelcome());
}

void
Entry::Impl::OnForward(const LinkPtr& aLink, ForwardRequest& aRequest)
{
  const uint64_t serial = aRequest.serial_;
  callerApi_->Handle(ToHttpRequest(std::move(aRequest)),
                     ResponseCallback([aLink, serial](HttpResponse aResponse) {
                       if (aResponse.body_.size() > kMaxForwardedBytes) {
                         aResponse = AnswerTooLargeResponse();
                       }
                       aLink->Send(
                         ToForwardReply(serial, std::move(aResponse)));
                     }),
                     MonoClock::now());
}

void
Entry::Impl::OnEnd(const LinkPtr& aLink,
                   LinkEndReason aEnd,
                   const std::string& aDetail)
{
  metrics_.CountLinkEnd(std::string(ToString(aEnd)));
  events_.Record(
    EventOfLinkEnd(aEnd),
    { { "member", inboundLinks_.PeerName(aLink) }, { "detail", aDetail } },
    WallClock::now());
  inboundLinks_.Remove(aLink);
  dispatcher_->OnLinkEnd(aLink, MonoClock::now());
  if (const auto peer = outboundLinks_.OnLinkEnd(aLink)) {
    forwarder_.OnOwnerLost(peer->id_);
    config_->OnPeerDisconnected(peer->id_);
  }
  connector_->OnLinkEnd(aLink);
}

void
Entry::Impl::OnConfigChange(const ConfigStatePtr& aState)
{
  // Changes may arrive out of order.
  std::lock_guard order(configMutex_);
  if (aState->version_ <= appliedVersion_) {
    return;
  }
  appliedVersion_ = aState->version_;
  auto schemas = std::make_shared<const SchemaSet>(BuildSchemaSet(*aState));
  {
    std::lock_guard lock(schemasMutex_);
    schemas_ = std::move(schemas);
  }
  dispatcher_->OnConfig(*aState, MonoClock::now());
  inboundLinks_.SendConfig(aState);
}

SchemaSetPtr
Entry::Impl::Schemas() const
{
  std::lock_guard lock(schemasMutex_);
  return schemas_;
}

void
Entry::Impl::HandleHttp(const HttpRequest& aRequest, const HttpReply& aReply)
{
  const MonoTime now = MonoClock::now();
  if (const auto response = admin_.Handle(aRequest)) {
    aReply.Send(*response);
  } else if (aRequest.path_ == "/v1/admin/poke") {
    config_->ReadNow();
    aReply.Send({ .body_ = "{}\n" });
  } else {
    const ResponseCallback respond = [aReply](HttpResponse aResponse) {
      aReply.Send(std::move(aResponse));
    };
    callerApi_->Handle(
      aRequest,
      CountResponse(metrics_, respond, now, [] { return MonoClock::now(); }),
      now);
  }
}

AdminRoutesOptions
Entry::Impl::MakeAdminOptions()
{
  return { .process_ = { self_, settings_.name_, "entry", settings_.zone_ },
           .isReady_ = [this] { return !draining_; },
           .statusJson_ = [this] { return StatusJson(); },
           .events_ = &events_,
           .metrics_ = &metrics_,
           .refreshMetrics_ = [this] { RefreshMetrics(); } };
}

std::string
Entry::Impl::StatusJson() const
{
  const ConfigEvidence evidence = config_->Evidence(MonoClock::now());
  AdminStatus status{
    .process_ = { self_, settings_.name_, "entry", settings_.zone_ },
    .http_ = Self().http_,
    .configVersion_ = evidence.version_,
    .logReachable_ = evidence.logReachable_,
    .witness_ = evidence.witness_
  };
  for (const EntryAddress& entry : outboundLinks_.Entries()) {
    status.entries_.push_back({ .address_ = entry, .http_ = entry.http_ });
  }
  for (const SidecarView& view : dispatcher_->Sidecars()) {
    status.sidecars_.push_back(ToKnownSidecar(view));
  }
  return EncodeAdminStatus(status);
}

void
Entry::Impl::RefreshMetrics()
{
  const std::vector<SidecarView> sidecars = dispatcher_->Sidecars();
  std::map<std::string, LoadReport> loads;
  for (const SidecarView& sidecar : sidecars) {
    LoadReport& load = loads[sidecar.status_.service_];
    load.slots_ += sidecar.status_.load_.slots_;
    load.running_ += sidecar.status_.load_.running_;
  }
  for (const auto& [service, load] : loads) {
    metrics_.SetLoad(service, load);
  }
  metrics_.SetLinks(Role::Sidecar, sidecars.size());
  metrics_.SetLinks(Role::Entry, outboundLinks_.Links().size());
  metrics_.SetConfigVersion(config_->State()->version_);
}

void
Entry::Impl::Sweep()
{
  const MonoTime now = MonoClock::now();
  submissions_.Sweep(now);
  quotaController_.Prune(now);
}

void
Entry::Impl::Stop()
{
  events_.Record(EventId::ProcessStopping, {}, WallClock::now());
  draining_ = true;
  std::this_thread::sleep_for(settings_.drainNotice_);
  callerApi_->StartDraining();
  const MonoTime deadline = MonoClock::now() + settings_.drainLimit_;
  while ((dispatcher_->JobCount() > 0 || http_->OpenRequests() > 0) &&
         MonoClock::now() < deadline) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  inboundLinks_.SendToAll(Leaving{});
  inboundLinks_.CloseAll();
  const MonoTime flushDeadline = MonoClock::now() + kFlushTimeout;
  while (inboundLinks_.size() > 0 && MonoClock::now() < flushDeadline) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  events_.Record(EventId::ProcessStopped, {}, WallClock::now());
}

Entry::Entry(EntrySettings aSettings)
  : impl_(std::make_unique<Impl>(std::move(aSettings)))
{
}

Entry::~Entry() = default;

uint16_t
Entry::HttpPort() const
{
  return impl_->HttpPort();
}

uint16_t
Entry::MessagePort() const
{
  return impl_->MessagePort();
}

void
Entry::Stop()
{
  impl_->Stop();
}

} // namespace cornelfront
