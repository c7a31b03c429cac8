#include "cornelfront/job_sidecar.h"

#include "cornelfront/http_server.h"
#include "cornelfront/job_ledger.h"
#include "cornelfront/job_metrics.h"
#include "cornelfront/link.h"
#include "cornelfront/run_table.h"
#include "event_loop_pvt.h"
#include "job_links_pvt.h"
#include "platform/batch_writer.h"
#include "platform/executor_client.h"
#include "platform/heartbeat_api.h"
#include "platform/member_topic.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"

#include <glog/logging.h>

#include <map>

namespace cornelfront {
namespace {

constexpr Millis kTickInterval{ 50 };
/// Longest wait of one look while something runs: a look that had no answer
/// hides all ends until the next one.
constexpr Millis kBusyLookWait{ 50 };
/// The same while looks remain without answer now and then.
constexpr Millis kDoubtfulLookWait{ 15 };
constexpr Millis kDoubtMemory{ 3000 };
/// The same while nothing runs; several fit into a lease.
constexpr Millis kIdleLookWait{ 300 };
constexpr Millis kLookPause{ 1 };
/// Bounds on the time after which a call to the upstream counts as unanswered.
/// It doubles with each such call and shrinks slowly with each answer.
constexpr Millis kLeastPatience{ 20 };
constexpr Millis kMostPatience{ 320 };
/// The lease is not extended once the upstream has been silent for this long,
/// so that the time of its end is known.
constexpr Millis kLeaseDoubt{ 500 };
/// An order to start is void after this time.
constexpr Millis kStartDeadline{ 250 };
/// An order that may have been on its way for longer is not carried out.
constexpr Millis kMaxOrderAge{ 1000 };
/// A pause of the process beyond this ends all links.
constexpr Millis kLongestPause{ 600 };
/// Entries that had not heard of the newest state are told this often.
constexpr Millis kStatusInterval{ 100 };
/// What a predecessor left running has ended this long after the start.
constexpr Millis kPredecessorEnd{ 1100 };
constexpr Millis kPredecessorOrders{ 300 };
constexpr Millis kStopPoll{ 20 };
constexpr Millis kOperatorWait{ 1000 };
constexpr Millis kMembersWait{ 5000 };

Millis
AgeOf(int64_t aStamp, MonoTime aNow)
{
  const auto now = std::chrono::duration_cast<std::chrono::nanoseconds>(
    aNow.time_since_epoch());
  return std::chrono::duration_cast<Millis>(now -
                                            std::chrono::nanoseconds(aStamp));
}

} // namespace

class JobSidecar::Impl
{
public:
  explicit Impl(const JobSidecarSettings& aSettings);
  ~Impl();

  void Stop();

private:
  /// An entry that is linked.
  struct Owner
  {
    LinkPtr link_;
    uint64_t ordersReceived_ = 0;
    Room told_;
    bool toldReady_ = false;
    MonoTime toldAt_;
  };

  void Setup();
  void Tick();
  void CheckPause(MonoTime aNow);
  void StartDialling(MonoTime aNow);
  void OnHeartbeat(const platform::Heartbeat& aBeat);
  void OnUpstreamLeft(const std::string& aId);
  void OnOperatorRecords(const platform::TopicReader::Records& aRecords);
  LinkPtr OnConnect(asio::ip::tcp::socket aSocket);
  void OnMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnWelcome(const LinkPtr& aLink, MemberId aEntry, MonoTime aNow);
  void OnOrders(MemberId aEntry, Envelope& aEnvelope, MonoTime aNow);
  void OnTakeOver(const LinkPtr& aLink,
                  MemberId aEntry,
                  uint64_t aTerm,
                  MonoTime aNow);
  void Register();
  void OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail);
  void Look();
  Millis LookWait(MonoTime aNow) const;
  void OnLook(uint64_t aBegin,
              platform::LookOutcome aOutcome,
              const UpstreamLook& aLook);
  /// Sends whatever the table wants sent.
  void Pump(MonoTime aNow);
  void SendStart(const StartOrder& aOrder, MonoTime aNow);
  void SendStatus(MonoTime aNow);
  void Send(MemberId aEntry,
            Owner& aOwner,
            RunTable::News aNews,
            const UpstreamReport& aReport,
            MonoTime aNow);
  UpstreamClock UpstreamNow(MonoTime aNow) const;

  const JobSidecarSettings settings_;
  const MemberId self_ = NewMemberId();
  const MonoTime start_ = BootNow();
  IoPool pool_{ 1 };
  RunTable table_{ RunTableOptions{} };
  std::map<MemberId, Owner> owners_;
  std::map<uint64_t, MemberId> entries_;
  std::shared_ptr<const LinkHandlers> handlers_;
  std::unique_ptr<Dialer> dialer_;
  bool dialling_ = false;
  std::vector<Endpoint> endpoints_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::TopicReader> operatorReader_;
  std::unique_ptr<platform::TopicReader> memberReader_;
  platform::OperatorState operator_;
  std::unique_ptr<platform::ExecutorClient> executor_;
  std::unique_ptr<HttpServer> heartbeats_;
  JobMetrics metrics_;
  std::unique_ptr<HttpServer> metricsServer_;
  int64_t lastBeat_ = 0;
  UpstreamClock clock_;
  MonoTime clockRead_;
  Millis patience_ = kLeastPatience;
  /// When a look last remained without answer.
  MonoTime unanswered_;
  bool looking_ = false;
  /// The upstream has answered a look.
  bool looked_ = false;
  std::unique_ptr<asio::steady_timer> lookTimer_;
  std::unique_ptr<platform::BatchWriter> registration_;
  MonoTime lastTick_;
  bool stopping_ = false;
  std::unique_ptr<LoopTimer> ticker_;
};

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
  handlers_ = JobLinkHandlers(
    [this](const LinkPtr& aLink, Envelope& aEnvelope) {
      OnMessage(aLink, aEnvelope);
    },
    [this](const LinkPtr& aLink, const std::string& aDetail) {
      OnLinkEnd(aLink, aDetail);
    });
  lastTick_ = BootNow();
  lookTimer_ = std::make_unique<asio::steady_timer>(loop);
  executor_ =
    std::make_unique<platform::ExecutorClient>(loop, settings_.upstream_);
  dialer_ = std::make_unique<Dialer>(
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
          [this](const platform::Heartbeat& aBeat) { OnHeartbeat(aBeat); },
        .onLeave_ = [this](const std::string& aId) { OnUpstreamLeft(aId); } }));
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
          if (dialling_) {
            dialer_->Add(entry, false);
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
    Pump(begin);
    SendStatus(begin);
  });
  size_t left = 1;
  while (left > 0 && BootNow() - begin < settings_.stopLimit_) {
    std::this_thread::sleep_for(kStopPoll);
    RunOnLoop(pool_.Context(), [&] { left = table_.Size(); });
  }
  LOG(INFO) << "stopped runs=" << left;
}

void
JobSidecar::Impl::Tick()
{
  const MonoTime now = BootNow();
  CheckPause(now);
  StartDialling(now);
  const bool extended = table_.MayExtendLease();
  table_.Tick(now);
  if (extended != table_.MayExtendLease()) {
    LOG(WARNING) << "lease runs=" << table_.Size() << " outcome="
                 << (extended ? "left_to_end reason=leader_lost" : "extended");
  }
  Pump(now);
  SendStatus(now);
  metrics_.SetGauge("runs", static_cast<double>(table_.Size()));
  metrics_.SetGauge("entries", static_cast<double>(owners_.size()));
  metrics_.SetGauge("upstream", table_.HasUpstream() ? 1 : 0);
  metrics_.SetGauge("configuration", static_cast<double>(operator_.version_));
}

void
JobSidecar::Impl::CheckPause(MonoTime aNow)
{
  const auto pause = std::chrono::duration_cast<Millis>(aNow - lastTick_);
  lastTick_ = aNow;
  if (pause <= kLongestPause) {
    return;
  }
  LOG(WARNING) << "paused ms=" << pause.count() << " runs=" << table_.Size()
               << " outcome=all_stopped";
  // Orders in the links' buffers may be older than they look.
  for (auto& [id, owner] : owners_) {
    owner.link_->Close();
  }
  owners_.clear();
  table_.StopAll(aNow);
}

void
JobSidecar::Impl::StartDialling(MonoTime aNow)
{
  if (dialling_) {
    return;
  }
  const auto age = aNow - start_;
  const bool seenEmpty = looked_ && !table_.HasStrays();
  if (age < kPredecessorOrders || (!seenEmpty && age < kPredecessorEnd) ||
      table_.HasStrays()) {
    return;
  }
  dialling_ = true;
  for (const Endpoint& endpoint : endpoints_) {
    dialer_->Add(endpoint, false);
  }
}

void
JobSidecar::Impl::OnHeartbeat(const platform::Heartbeat& aBeat)
{
  const MonoTime now = BootNow();
  const auto& known = table_.Upstream();
  const bool same = known && known->id_ == aBeat.info_.id_ &&
                    known->bornMs_ == aBeat.info_.bornMs_;
  if (same && aBeat.sequence_ <= lastBeat_) {
    LOG(WARNING) << "heartbeat upstream=" << aBeat.info_.id_
                 << " sequence=" << aBeat.sequence_ << " newest=" << lastBeat_
                 << " outcome=ignored";
    return;
  }
  if (known && !same && aBeat.info_.bornMs_ < known->bornMs_ &&
      now - table_.UpstreamHeard() < kLongestPause) {
    LOG(WARNING) << "heartbeat upstream=" << aBeat.info_.id_
                 << " present=" << known->id_ << " outcome=outdated";
    return;
  }
  lastBeat_ = aBeat.sequence_;
  const bool draining = known && known->draining_;
  if (!same || draining != aBeat.info_.draining_) {
    LOG(INFO) << "upstream id=" << aBeat.info_.id_
              << " born=" << aBeat.info_.bornMs_
              << " cpu=" << aBeat.info_.capacity_.cpu_
              << " draining=" << aBeat.info_.draining_;
  }
  table_.OnUpstream(aBeat.info_, now);
  if (!same) {
    executor_->SetIncarnation(aBeat.info_);
    clock_ = aBeat.clock_.value_or(UpstreamClock{});
    clockRead_ = now;
  }
  if (!looking_) {
    Look();
  }
  Pump(now);
  SendStatus(now);
}

void
JobSidecar::Impl::OnUpstreamLeft(const std::string& aId)
{
  const auto& known = table_.Upstream();
  if (known && known->id_ == aId) {
    LOG(INFO) << "upstream id=" << aId << " outcome=left";
    const MonoTime now = BootNow();
    table_.OnUpstreamGone(now);
    Pump(now);
    SendStatus(now);
  }
}

void
JobSidecar::Impl::OnOperatorRecords(
  const platform::TopicReader::Records& aRecords)
{
  const MonoTime now = BootNow();
  operator_ = platform::ReadOperatorState(aRecords, operator_);
  const bool out = operator_.zonesOut_.contains(settings_.zone_);
  LOG(INFO) << "operator version=" << operator_.version_ << " zone_out=" << out;
  table_.SetClosed(out || stopping_, now);
  Pump(now);
  SendStatus(now);
}

LinkPtr
JobSidecar::Impl::OnConnect(asio::ip::tcp::socket aSocket)
{
  auto link =
    std::make_shared<Link>(std::move(aSocket), settings_.links_, handlers_);
  link->Start();
  link->Send(Hello{ .role_ = Role::Sidecar,
                    .id_ = self_,
                    .name_ = settings_.name_,
                    .zone_ = settings_.zone_ });
  return link;
}

void
JobSidecar::Impl::OnMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  const MonoTime now = BootNow();
  if (const auto* welcome = std::get_if<Welcome>(&aEnvelope.message_)) {
    OnWelcome(aLink, welcome->self_.id_, now);
    return;
  }
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const MemberId id = entry->second;
  const auto owner = owners_.find(id);
  if (owner == owners_.end() || owner->second.link_ != aLink) {
    return;
  }
  table_.OnOwnerHeard(id, now);
  if (std::holds_alternative<StartRuns>(aEnvelope.message_)) {
    OnOrders(id, aEnvelope, now);
  } else if (const auto* stop = std::get_if<StopRuns>(&aEnvelope.message_)) {
    table_.OnStop(id, *stop, now);
  } else if (const auto* over = std::get_if<TakeOver>(&aEnvelope.message_)) {
    OnTakeOver(aLink, id, over->term_, now);
  } else if (const auto* ends = std::get_if<ForgetEnds>(&aEnvelope.message_)) {
    table_.OnForgetEnds(*ends);
  } else {
    return;
  }
  Pump(now);
}

void
JobSidecar::Impl::OnTakeOver(const LinkPtr& aLink,
                             MemberId aEntry,
                             uint64_t aTerm,
                             MonoTime aNow)
{
  const bool newest = table_.OnTakeOver(aEntry, aTerm, aNow);
  LOG(INFO) << "leader id=" << ToString(aEntry) << " term=" << aTerm
            << " outcome=" << (newest ? "followed" : "outdated");
  if (newest) {
    aLink->Send(table_.Held(aEntry));
  }
}

void
JobSidecar::Impl::Register()
{
  registration_ = std::make_unique<platform::BatchWriter>(
    pool_.Context(),
    *store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kJobTopic),
                                  .producer_ = "sidecar-" + ToString(self_),
                                  .untilDone_ = true });
  registration_->Write({ SidecarRecord(settings_.name_, self_) },
                       [this](platform::StoreOutcome, MonoTime) {
                         LOG(INFO) << "registered name=" << settings_.name_;
                         table_.SetRegistered();
                       });
}

void
JobSidecar::Impl::OnWelcome(const LinkPtr& aLink,
                            MemberId aEntry,
                            MonoTime aNow)
{
  const auto known = owners_.find(aEntry);
  if (known != owners_.end() && known->second.link_ != aLink) {
    known->second.link_->Close();
    entries_.erase(known->second.link_->Serial());
  }
  entries_[aLink->Serial()] = aEntry;
  Owner& owner = owners_[aEntry];
  owner = { .link_ = aLink };
  table_.OnOwnerLink(aEntry, aNow);
  aLink->Send(table_.Held(aEntry));
  Send(aEntry, owner, {}, table_.Report(aNow), aNow);
  LOG(INFO) << "entry id=" << ToString(aEntry) << " outcome=linked";
}

void
JobSidecar::Impl::OnOrders(MemberId aEntry, Envelope& aEnvelope, MonoTime aNow)
{
  auto& orders = std::get<StartRuns>(aEnvelope.message_);
  const Millis age = AgeOf(aEnvelope.echo_, MonoClock::now());
  if (age > kMaxOrderAge) {
    LOG(WARNING) << "orders job=" << orders.job_ << " age_ms=" << age.count()
                 << " outcome=too_old";
    orders.startWithin_ = Millis(0);
  }
  owners_[aEntry].ordersReceived_ += orders.runs_.size();
  table_.OnOrders(aEntry, orders, aNow);
  table_.Tick(aNow);
}

void
JobSidecar::Impl::OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail)
{
  dialer_->OnLinkEnd(aLink);
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const auto owner = owners_.find(entry->second);
  if (owner != owners_.end() && owner->second.link_ == aLink) {
    owners_.erase(owner);
    LOG(WARNING) << "entry id=" << ToString(entry->second)
                 << " outcome=link_lost reason=\"" << aDetail << "\"";
  }
  entries_.erase(entry);
}

void
JobSidecar::Impl::Look()
{
  const MonoTime now = BootNow();
  if (!table_.HasUpstream()) {
    looking_ = false;
    return;
  }
  looking_ = true;
  std::optional<UpstreamClock> lease;
  if (now - table_.UpstreamHeard() < kLeaseDoubt && table_.MayExtendLease()) {
    lease = { UpstreamNow(now).value_ + settings_.lease_ };
  }
  const uint64_t begin = table_.BeginLook();
  executor_->Look(
    table_.AcknowledgedEnds(),
    lease,
    LookWait(now),
    patience_,
    [this, begin](platform::LookOutcome aOutcome, const UpstreamLook& aLook) {
      OnLook(begin, aOutcome, aLook);
    });
}

Millis
JobSidecar::Impl::LookWait(MonoTime aNow) const
{
  if (!looked_) {
    // What a predecessor left running must be stopped at once.
    return Millis(0);
  }
  if (table_.Size() == 0) {
    return kIdleLookWait;
  }
  return aNow - unanswered_ < kDoubtMemory ? kDoubtfulLookWait : kBusyLookWait;
}

void
JobSidecar::Impl::OnLook(uint64_t aBegin,
                         platform::LookOutcome aOutcome,
                         const UpstreamLook& aLook)
{
  const MonoTime now = BootNow();
  CheckPause(now);
  if (aOutcome == platform::LookOutcome::Ok) {
    patience_ = std::max(patience_ * 9 / 10, kLeastPatience);
    if (table_.OnLook(aBegin, aLook, now)) {
      looked_ = true;
      clock_ = aLook.clock_;
      clockRead_ = now;
    }
    Pump(now);
    Look();
    return;
  }
  patience_ = std::min(patience_ * 2, kMostPatience);
  unanswered_ = now;
  metrics_.CountUnanswered();
  if (aOutcome == platform::LookOutcome::Replaced) {
    const bool present = table_.OnUpstreamReplaced(aBegin, now);
    LOG(WARNING) << "upstream outcome="
                 << (present ? "replaced" : "was_replaced_before");
    Pump(now);
    SendStatus(now);
  }
  lookTimer_->expires_after(kLookPause);
  lookTimer_->async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Look();
    }
  });
}

void
JobSidecar::Impl::Pump(MonoTime aNow)
{
  for (const RunKey& key : table_.TakeStops(aNow)) {
    executor_->Stop(key);
  }
  for (const StartOrder& order : table_.TakeStarts(aNow)) {
    SendStart(order, aNow);
  }
  auto news = table_.TakeNews();
  if (news.empty()) {
    return;
  }
  const UpstreamReport report = table_.Report(aNow);
  for (auto& [id, items] : news) {
    for (const RunReport& item : items.reports_) {
      metrics_.CountRun(item);
    }
    const auto owner = owners_.find(id);
    if (owner != owners_.end()) {
      Send(id, owner->second, std::move(items), report, aNow);
    }
  }
}

void
JobSidecar::Impl::SendStart(const StartOrder& aOrder, MonoTime aNow)
{
  const UpstreamClock deadline{ UpstreamNow(aNow).value_ + kStartDeadline };
  executor_->Start(aOrder,
                   deadline,
                   patience_,
                   [this, key = aOrder.key_, deadline](StartAnswer aAnswer) {
                     const MonoTime now = BootNow();
                     table_.OnStartAnswer(key, aAnswer, deadline, now);
                     Pump(now);
                   });
}

void
JobSidecar::Impl::SendStatus(MonoTime aNow)
{
  const UpstreamReport report = table_.Report(aNow);
  for (auto& [id, owner] : owners_) {
    const bool changed = owner.toldReady_ != report.ready_ ||
                         (owner.told_ != report.committed_ &&
                          aNow - owner.toldAt_ >= kStatusInterval);
    if (changed) {
      Send(id, owner, {}, report, aNow);
    }
  }
}

void
JobSidecar::Impl::Send(MemberId aEntry,
                       Owner& aOwner,
                       RunTable::News aNews,
                       const UpstreamReport& aReport,
                       MonoTime aNow)
{
  RunReports message{ .reports_ = std::move(aNews.reports_),
                      .stalled_ = std::move(aNews.stalled_),
                      .started_ = std::move(aNews.started_),
                      .upstream_ = aReport };
  message.upstream_.ordersReceived_ = aOwner.ordersReceived_;
  aOwner.told_ = aReport.committed_;
  aOwner.toldReady_ = aReport.ready_;
  aOwner.toldAt_ = aNow;
  if (!aOwner.link_->Send(std::move(message))) {
    VLOG(1) << "entry id=" << ToString(aEntry) << " outcome=link_ended";
  }
}

UpstreamClock
JobSidecar::Impl::UpstreamNow(MonoTime aNow) const
{
  return { clock_.value_ +
           std::chrono::duration_cast<Millis>(aNow - clockRead_) };
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
