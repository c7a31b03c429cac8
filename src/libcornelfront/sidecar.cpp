#include "cornelfront/sidecar.h"

#include "controllers/gate_controller.h"
#include "controllers/outbound_links.h"
#include "controllers/task_table.h"
#include "controllers/upstream_lease.h"
#include "cornelfront/events.h"
#include "cornelfront/http_server.h"
#include "cornelfront/link.h"
#include "cornelfront/metrics.h"
#include "cornelfront/ticker.h"
#include "net/admin_routes.h"
#include "net/process_metrics.h"
#include "net/upstream_announcement.h"
#include "net/upstream_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace cornelfront {

namespace {

using nlohmann::json;

constexpr unsigned kMessageThreads = 2;
/// The upstream refuses a start that arrives later than this after the check of
/// the start gate.
constexpr Millis kMaxStartDelay{ 500 };
constexpr Millis kSweepInterval{ 10 };
constexpr Millis kStopPollInterval{ 10 };
constexpr Millis kFlushTimeout{ 1000 };

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

HttpResponse
ErrorResponse(int aStatus, const std::string& aMessage)
{
  return { .status_ = aStatus,
           .body_ = json{ { "error", aMessage } }.dump() + "\n" };
}

} // namespace

class Sidecar::Impl
{
public:
  explicit Impl(SidecarSettings aSettings);
  ~Impl();

  uint16_t HttpPort() const { return http_->Port(); }
  void Stop();

private:
  std::shared_ptr<const LinkHandlers> MakeHandlers();
  LinkPtr OnConnect(asio::ip::tcp::socket aSocket);
  void OnMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnEnd(const LinkPtr& aLink,
             LinkEndReason aEnd,
             const std::string& aDetail);
  void OnWelcome(const LinkPtr& aLink, const Welcome& aWelcome);
  void OnConfig(const ConfigState& aState);
  void OnStart(const LinkPtr& aLink, StartTasks& aStart);
  void OnResolve(const LinkPtr& aLink, const ResolveTasks& aResolve);
  void OnCancel(const CancelTasks& aCancel);

  void HandleHttp(const HttpRequest& aRequest, const HttpReply& aReply);
  HttpResponse OnAnnouncement(const HttpRequest& aRequest);
  void OnUpstreamLeaving(const HttpReply& aReply);
  void ReplyToLeaving(const HttpResponse& aResponse);
  std::string StatusJson() const;
  AdminRoutesOptions MakeAdminOptions();
  void RefreshMetrics();
  std::string HttpAddress() const;

  void UpdateSlots();
  UpstreamStatus Status() const;
  void SendStatus();
  void SendAnswers(std::vector<TaskAnswer> aAnswers);
  GateDecision CheckGate(MonoTime aNow) const;
  void RunSlot(unsigned aSlot);
  TaskAnswer RunTask(UpstreamClient& aClient, const RunningTask& aTask);
  void RecordRefusals(const std::vector<TaskAnswer>& aAnswers);
  void SendRefusals(std::vector<TaskAnswer> aAnswers);
  void Sweep();

  const SidecarSettings settings_;
  const MemberId self_ = NewMemberId();
  EventLog events_;
  Metrics metrics_;

  // Must outlive all objects that hold links.
  IoPool pool_{ kMessageThreads };
  GateController gate_;

  TaskTable tasks_;
  UpstreamLease lease_;
  OutboundLinks outboundLinks_;
  std::atomic<bool> draining_ = false;

  std::shared_ptr<const LinkHandlers> handlers_;

  std::mutex leaveRepliesMutex_;
  /// Pending replies to DELETE /v1/upstream.
  std::vector<HttpReply> pendingLeaveReplies_;

  std::mutex slotThreadsMutex_;
  std::vector<std::thread> slotThreads_;

  std::unique_ptr<Ticker> sweeper_;

  std::unique_ptr<LinkConnector> connector_;
  // Port 0 in the settings requests any free port; replaced by the actual port
  // once the server listens.
  std::atomic<uint16_t> httpPort_ = settings_.http_.port_;
  AdminRoutes admin_;
  std::unique_ptr<HttpServer> http_;
};

Sidecar::Impl::Impl(SidecarSettings aSettings)
  : settings_(std::move(aSettings))
  , gate_({ .zone_ = settings_.zone_,
            .freshnessBound_ = settings_.freshnessBound_ })
  , tasks_({ .queueLimit_ = settings_.queueLimit_,
             .retention_ = settings_.resultRetention_ })
  , handlers_(MakeHandlers())
  , admin_(MakeAdminOptions())
{
  events_.Record(EventId::ProcessStarted,
                 { { "role", "sidecar" },
                   { "name", settings_.name_ },
                   { "zone", settings_.zone_ } },
                 WallClock::now());
  connector_ = std::make_unique<LinkConnector>(
    pool_, settings_.links_, [this](asio::ip::tcp::socket aSocket) {
      return OnConnect(std::move(aSocket));
    });
  http_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.http_.host_,
                       .port_ = settings_.http_.port_ },
    [this](const HttpRequest& aRequest, const HttpReply& aReply) {
      HandleHttp(aRequest, aReply);
    });
  httpPort_ = http_->Port();
  sweeper_ = std::make_unique<Ticker>(kSweepInterval, [this] { Sweep(); });
  for (const Endpoint& seed : settings_.seeds_) {
    connector_->Add(seed, true);
  }
}

Sidecar::Impl::~Impl()
{
  sweeper_.reset();
  http_.reset();
  tasks_.Stop();
  for (std::thread& thread : slotThreads_) {
    thread.join();
  }
  pool_.Stop();
  connector_.reset();
}

std::shared_ptr<const LinkHandlers>
Sidecar::Impl::MakeHandlers()
{
  LinkHandlers handlers;
  handlers.onMessage_ = [this](const LinkPtr& aLink, Envelope& aEnvelope) {
    OnMessage(aLink, aEnvelope);
  };
  handlers.onEnd_ = [this](const LinkPtr& aLink,
                           LinkEndReason aEnd,
                           const std::string& aDetail) {
    OnEnd(aLink, aEnd, aDetail);
  };
  handlers.evidence_ = [this](MonoTime) {
    return ConfigEvidence{ .version_ = gate_.Version() };
  };
  handlers.hybridStamp_ = [this](WallTime aNow) {
    return events_.Clock().Tick(aNow);
  };
  handlers.onTraffic_ = CountTraffic(metrics_);
  return std::make_shared<const LinkHandlers>(std::move(handlers));
}

LinkPtr
Sidecar::Impl::OnConnect(asio::ip::tcp::socket aSocket)
{
  auto link =
    std::make_shared<Link>(std::move(aSocket), settings_.links_, handlers_);
  link->Start();
  link->Send(Hello{ .role_ = Role::Sidecar,
                    .id_ = self_,
                    .name_ = settings_.name_,
                    .zone_ = settings_.zone_,
                    .http_ = HttpAddress() });
  return link;
}

void
Sidecar::Impl::OnMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  events_.Clock().Observe(aEnvelope.hybridStamp_, WallClock::now());
  if (const auto peer = outboundLinks_.PeerOf(aLink)) {
    gate_.OnEvidence(*peer, aEnvelope.evidence_, aEnvelope.echo_);
  }
  if (const auto* welcome = std::get_if<Welcome>(&aEnvelope.message_)) {
    OnWelcome(aLink, *welcome);
  } else if (const auto* config =
               std::get_if<ConfigUpdate>(&aEnvelope.message_)) {
    OnConfig(config->state_);
  } else if (auto* start = std::get_if<StartTasks>(&aEnvelope.message_)) {
    OnStart(aLink, *start);
  } else if (const auto* resolve =
               std::get_if<ResolveTasks>(&aEnvelope.message_)) {
    OnResolve(aLink, *resolve);
  } else if (const auto* cancel =
               std::get_if<CancelTasks>(&aEnvelope.message_)) {
    OnCancel(*cancel);
  }
}

void
Sidecar::Impl::OnWelcome(const LinkPtr& aLink, const Welcome& aWelcome)
{
  for (const EntryAddress& entry : aWelcome.entries_) {
    if (entry.id_ != aWelcome.self_.id_) {
      connector_->Add({ .host_ = entry.host_, .port_ = entry.port_ }, false);
    }
  }
  const auto known = outboundLinks_.PeerOf(aLink);
  if (known) {
    return;
  }
  const LinkPtr earlier = outboundLinks_.OnWelcome(aLink, aWelcome.self_);
  tasks_.BindLink(aWelcome.self_.id_, aLink->Serial());
  if (earlier) {
    connector_->Pause(earlier);
    earlier->Close();
  }
  events_.Record(EventId::LinkUp,
                 { { "entry", ToString(aWelcome.self_.id_) } },
                 WallClock::now());
  aLink->Send(Status());
}

void
Sidecar::Impl::OnEnd(const LinkPtr& aLink,
                     LinkEndReason aEnd,
                     const std::string& aDetail)
{
  const auto peer = outboundLinks_.OnLinkEnd(aLink);
  if (peer) {
    gate_.OnEntryDisconnected(peer->id_);
  }
  metrics_.CountLinkEnd(std::string(ToString(aEnd)));
  events_.Record(
    EventOfLinkEnd(aEnd),
    { { "entry", peer ? ToString(peer->id_) : "" }, { "detail", aDetail } },
    WallClock::now());
  if (!draining_) {
    connector_->OnLinkEnd(aLink);
  }
}

void
Sidecar::Impl::OnConfig(const ConfigState& aState)
{
  if (gate_.OnConfig(aState)) {
    events_.Record(EventId::ConfigApplied,
                   { { "version", std::to_string(aState.version_.value_) } },
                   WallClock::now());
    // Reports to every entry immediately that the version is in force here.
    outboundLinks_.SendToAll(KeepAlive{});
  }
}

void
Sidecar::Impl::OnStart(const LinkPtr& aLink, StartTasks& aStart)
{
  const auto peer = outboundLinks_.PeerOf(aLink);
  if (!peer) {
    return;
  }
  const UpstreamAnnouncement upstream = lease_.Current();
  TaskReason refuseReason = TaskReason::None;
  if (draining_) {
    refuseReason = TaskReason::Draining;
  } else if (upstream.slots_ == 0 || upstream.service_ != aStart.service_) {
    refuseReason = TaskReason::NoUpstream;
  }
  SendRefusals(tasks_.Accept(peer->id_,
                             aLink->Serial(),
                             std::move(aStart.tasks_),
                             refuseReason,
                             MonoClock::now()));
}

void
Sidecar::Impl::OnResolve(const LinkPtr& aLink, const ResolveTasks& aResolve)
{
  auto answers = tasks_.Resolve(aResolve.tasks_, MonoClock::now());
  for (TaskAnswers& message : SplitAnswers(std::move(answers), tasks_.Load())) {
    aLink->Send(std::move(message));
  }
}

void
Sidecar::Impl::OnCancel(const CancelTasks& aCancel)
{
  SendAnswers(tasks_.Cancel(aCancel.tasks_, MonoClock::now()));
}

/// Sends each answer to the entry that owns the task. An answer that can't be
/// sent stays in the task table until the entry requests it.
void
Sidecar::Impl::SendAnswers(std::vector<TaskAnswer> aAnswers)
{
  const size_t count = aAnswers.size();
  std::unordered_map<MemberId, std::vector<TaskAnswer>> byEntry;
  for (TaskAnswer& answer : aAnswers) {
    byEntry[answer.id_.owner_].push_back(std::move(answer));
  }
  for (auto& [entry, answers] : byEntry) {
    for (TaskAnswers& message :
         SplitAnswers(std::move(answers), tasks_.Load())) {
      outboundLinks_.Send(entry, std::move(message));
    }
  }
  tasks_.OnAnswersSent(count);
}

void
Sidecar::Impl::RecordRefusals(const std::vector<TaskAnswer>& aAnswers)
{
  for (const TaskAnswer& answer : aAnswers) {
    events_.Record(EventId::TaskRefused,
                   { { "task", ToString(answer.id_) },
                     { "reason", std::string(ToString(answer.reason_)) } },
                   WallClock::now());
  }
}

void
Sidecar::Impl::SendRefusals(std::vector<TaskAnswer> aAnswers)
{
  RecordRefusals(aAnswers);
  SendAnswers(std::move(aAnswers));
}

GateDecision
Sidecar::Impl::CheckGate(MonoTime aNow) const
{
  if (draining_) {
    return { .reason_ = TaskReason::Draining };
  }
  return gate_.Check(aNow);
}

void
Sidecar::Impl::RunSlot(unsigned aSlot)
{
  UpstreamClient client;
  while (const auto running = tasks_.Take(aSlot)) {
    TaskAnswer answer = RunTask(client, *running);
    tasks_.Finish(answer, MonoClock::now());
    if (answer.outcome_ == TaskOutcome::NotRun) {
      RecordRefusals({ answer });
    } else {
      events_.Record(EventId::TaskFinished,
                     { { "task", ToString(answer.id_) },
                       { "outcome", std::string(ToString(answer.outcome_)) } },
                     WallClock::now());
    }
    std::vector<TaskAnswer> answers;
    answers.push_back(std::move(answer));
    SendAnswers(std::move(answers));
  }
}

TaskAnswer
Sidecar::Impl::RunTask(UpstreamClient& aClient, const RunningTask& aTask)
{
  const MonoTime now = MonoClock::now();
  const UpstreamAnnouncement upstream = lease_.Current();
  const GateDecision decision = CheckGate(now);
  TaskReason reason = decision.reason_;
  if (reason == TaskReason::None && upstream.slots_ == 0) {
    reason = TaskReason::NoUpstream;
  }
  if (reason == TaskReason::None && now >= aTask.startBy_) {
    reason = TaskReason::StartTooLate;
  }
  if (reason == TaskReason::None && aTask.stopRequested_->load()) {
    reason = TaskReason::Cancelled;
  }
  if (reason != TaskReason::None) {
    return { .id_ = aTask.task_.id_,
             .outcome_ = TaskOutcome::NotRun,
             .reason_ = reason };
  }
  events_.Record(EventId::TaskStarted,
                 { { "task", ToString(aTask.task_.id_) },
                   { "submission", aTask.task_.submission_ },
                   { "index", std::to_string(aTask.task_.index_) },
                   { "call", aTask.task_.call_ },
                   { "zone", settings_.zone_ },
                   { "version", std::to_string(decision.version_.value_) } },
                 WallClock::now());
  return aClient.Run(upstream.port_,
                     aTask.task_,
                     std::min(aTask.startBy_, now + kMaxStartDelay),
                     *aTask.stopRequested_);
}

UpstreamStatus
Sidecar::Impl::Status() const
{
  const UpstreamAnnouncement upstream = lease_.Current();
  return { .service_ = upstream.service_,
           .ready_ = upstream.slots_ != 0 && !draining_,
           .load_ = tasks_.Load() };
}

void
Sidecar::Impl::SendStatus()
{
  outboundLinks_.SendToAll(Status());
}

/// Adjusts the number of slots to the announced upstream and reports the new
/// status to the entries.
void
Sidecar::Impl::UpdateSlots()
{
  const unsigned slots = lease_.Current().slots_;
  {
    std::lock_guard lock(slotThreadsMutex_);
    while (slotThreads_.size() < slots) {
      const auto slot = static_cast<unsigned>(slotThreads_.size());
      slotThreads_.emplace_back([this, slot] { RunSlot(slot); });
    }
  }
  tasks_.SetSlots(slots);
  if (slots == 0) {
    SendRefusals(tasks_.RefuseQueued(TaskReason::NoUpstream, MonoClock::now()));
  }
  SendStatus();
}

void
Sidecar::Impl::HandleHttp(const HttpRequest& aRequest, const HttpReply& aReply)
{
  if (aRequest.path_ == "/v1/upstream") {
    if (aRequest.method_ == "DELETE") {
      OnUpstreamLeaving(aReply);
    } else {
      aReply.Send(OnAnnouncement(aRequest));
    }
  } else if (const auto response = admin_.Handle(aRequest)) {
    aReply.Send(*response);
  } else {
    aReply.Send(ErrorResponse(kStatusNotFound, "no such path"));
  }
}

AdminRoutesOptions
Sidecar::Impl::MakeAdminOptions()
{
  return { .process_ = { self_, settings_.name_, "sidecar", settings_.zone_ },
           .isReady_ = [this] { return Status().ready_; },
           .statusJson_ = [this] { return StatusJson(); },
           .events_ = &events_,
           .metrics_ = &metrics_,
           .refreshMetrics_ = [this] { RefreshMetrics(); } };
}

std::string
Sidecar::Impl::HttpAddress() const
{
  return FormatEndpoint({ settings_.http_.host_, httpPort_ });
}

void
Sidecar::Impl::RefreshMetrics()
{
  const UpstreamStatus status = Status();
  metrics_.SetLoad(status.service_, status.load_);
  metrics_.SetQueueLength(status.service_, status.load_.queued_);
  metrics_.SetLinks(Role::Entry, outboundLinks_.Links().size());
  metrics_.SetConfigVersion(gate_.Version());
}

HttpResponse
Sidecar::Impl::OnAnnouncement(const HttpRequest& aRequest)
{
  UpstreamAnnouncement announcement;
  try {
    announcement = ParseAnnouncement(aRequest.body_);
  } catch (const std::invalid_argument& error) {
    return ErrorResponse(kStatusBadRequest, error.what());
  }
  ReplyToLeaving(ErrorResponse(kStatusConflict, "announced again"));
  if (lease_.Announce(announcement, MonoClock::now())) {
    events_.Record(EventId::UpstreamAnnounced,
                   { { "service", announcement.service_ },
                     { "slots", std::to_string(announcement.slots_) } },
                   WallClock::now());
    UpdateSlots();
  }
  return { .body_ = "{}\n" };
}

/// Ends the lease. The reply is sent once no task is running, so that the
/// upstream may exit as soon as it receives it: no start can follow.
void
Sidecar::Impl::OnUpstreamLeaving(const HttpReply& aReply)
{
  if (lease_.Release()) {
    events_.Record(EventId::UpstreamLeaving, {}, WallClock::now());
    UpdateSlots();
  }
  std::lock_guard lock(leaveRepliesMutex_);
  pendingLeaveReplies_.push_back(aReply);
}

/// Sends the response to all pending leave requests.
void
Sidecar::Impl::ReplyToLeaving(const HttpResponse& aResponse)
{
  std::vector<HttpReply> replies;
  {
    std::lock_guard lock(leaveRepliesMutex_);
    replies.swap(pendingLeaveReplies_);
  }
  for (const HttpReply& reply : replies) {
    reply.Send(aResponse);
  }
}

std::string
Sidecar::Impl::StatusJson() const
{
  const UpstreamStatus status = Status();
  const uint64_t version = gate_.Version().value_;
  const json body = {
    { "member", ToString(self_) },     { "name", settings_.name_ },
    { "zone", settings_.zone_ },       { "role", "sidecar" },
    { "http", HttpAddress() },         { "config_version", version },
    { "service", status.service_ },    { "ready", status.ready_ },
    { "slots", status.load_.slots_ },  { "running", status.load_.running_ },
    { "queued", status.load_.queued_ }
  };
  // The service name comes from the upstream and may be invalid UTF-8.
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

void
Sidecar::Impl::Sweep()
{
  const MonoTime now = MonoClock::now();
  SendRefusals(tasks_.Sweep(now));
  if (lease_.Expire(now)) {
    events_.Record(EventId::UpstreamLost, {}, WallClock::now());
    UpdateSlots();
  }
  const LoadReport load = tasks_.Load();
  if (load.slots_ == 0 && load.running_ == 0) {
    ReplyToLeaving({ .body_ = "{}\n" });
  }
}

void
Sidecar::Impl::Stop()
{
  events_.Record(EventId::ProcessStopping, {}, WallClock::now());
  draining_ = true;
  SendStatus();
  SendRefusals(tasks_.RefuseQueued(TaskReason::Draining, MonoClock::now()));
  const MonoTime deadline = MonoClock::now() + settings_.drainLimit_;
  while (!tasks_.IsIdle() && MonoClock::now() < deadline) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  for (const LinkPtr& link : outboundLinks_.Links()) {
    link->Send(Leaving{});
    link->Close();
  }
  const MonoTime flushDeadline = MonoClock::now() + kFlushTimeout;
  while (!outboundLinks_.Links().empty() && MonoClock::now() < flushDeadline) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  events_.Record(EventId::ProcessStopped, {}, WallClock::now());
}

Sidecar::Sidecar(SidecarSettings aSettings)
  : impl_(std::make_unique<Impl>(std::move(aSettings)))
{
}

Sidecar::~Sidecar() = default;

uint16_t
Sidecar::HttpPort() const
{
  return impl_->HttpPort();
}

void
Sidecar::Stop()
{
  impl_->Stop();
}

} // namespace cornelfront
