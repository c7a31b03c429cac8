#include "cornelfront/job_entry.h"

#include "cornelfront/http_server.h"
#include "cornelfront/job_engine.h"
#include "cornelfront/job_metrics.h"
#include "cornelfront/link.h"
#include "cornelfront/visitor.h"
#include "event_loop_pvt.h"
#include "job_links_pvt.h"
#include "platform/batch_writer.h"
#include "platform/job_api.h"
#include "platform/member_topic.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"
#include "stored_jobs.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace cornelfront {
namespace {

constexpr Millis kTickInterval{ 25 };
constexpr Millis kOperatorWait{ 1000 };
constexpr Millis kStopPoll{ 20 };
constexpr Millis kStoreRetry{ 1000 };
/// Time that the balancer takes to see that this entry is leaving.
constexpr Millis kBalancerNotice{ 2200 };

} // namespace

class JobEntry::Impl
{
public:
  explicit Impl(const JobEntrySettings& aSettings);
  ~Impl();

  void Stop();

private:
  struct SidecarLink
  {
    LinkPtr link_;
    std::string name_;
    std::string zone_;
    /// The sidecar has said what it holds.
    bool begun_ = false;
    /// This incarnation replaces another one.
    bool succeeds_ = false;
  };

  /// A client that waits for the end of its job.
  struct Waiting
  {
    HttpReply reply_;
    std::string job_;
    MonoTime submitted_;
  };

  void Setup();
  void Register();
  void Tick();
  bool Ready() const;
  void HandleReadiness(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleClient(const HttpRequest& aRequest, const HttpReply& aReply);
  void Submit(const platform::JobSubmission& aSubmission,
              const HttpReply& aReply,
              MonoTime aNow);
  void SubmitStored(const platform::JobSubmission& aSubmission,
                    const HttpReply& aReply);
  void ShowState(const std::string& aJob,
                 const HttpReply& aReply,
                 MonoTime aNow);
  void ShowPending(const std::string& aQueue,
                   const HttpReply& aReply,
                   MonoTime aNow);
  void Cancel(const std::string& aJob, const HttpReply& aReply, MonoTime aNow);
  void OnHeld(MemberId aSidecar,
              SidecarLink& aLink,
              const HeldRuns& aHeld,
              MonoTime aNow);
  StoredJobsHooks MakeHooks();
  void Reply(const HttpReply& aReply, HttpResponse aResponse) const;
  void OnMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnHello(const LinkPtr& aLink, const Hello& aHello, MonoTime aNow);
  void OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail);
  void Perform(MonoTime aNow);
  void Answer(const AnswerJob& aAnswer, MonoTime aNow);
  /// Name of a sidecar that is or was linked, for the log.
  std::string NameOf(MemberId aSidecar) const;
  void LogPlacement(const SendRuns& aSend) const;
  void LogRunEnd(const NoteRunEnd& aNote) const;
  void LogStall(const NoteStall& aNote) const;
  template<class Body>
  void SendTo(MemberId aSidecar, Body aBody);

  const JobEntrySettings settings_;
  const MemberId self_ = NewMemberId();
  IoPool pool_{ 1 };
  JobEngine engine_;
  std::map<MemberId, SidecarLink> sidecars_;
  std::map<uint64_t, MemberId> linkOwners_;
  /// Newest incarnation of each sidecar, by name.
  std::map<std::string, MemberId> incarnations_;
  std::unordered_map<JobTicket, Waiting> waiting_;
  JobTicket nextTicket_ = 1;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::TopicReader> operatorReader_;
  platform::OperatorState operator_;
  std::unique_ptr<StoredJobs> stored_;
  std::unique_ptr<platform::BatchWriter> registration_;
  std::shared_ptr<const LinkHandlers> handlers_;
  std::unique_ptr<LinkServer> server_;
  std::unique_ptr<HttpServer> clients_;
  std::unique_ptr<HttpServer> readiness_;
  JobMetrics metrics_;
  std::unique_ptr<HttpServer> metricsServer_;
  bool stopping_ = false;
  /// New jobs are refused.
  bool closed_ = false;
  std::unique_ptr<LoopTimer> ticker_;
};

JobEntry::Impl::Impl(const JobEntrySettings& aSettings)
  : settings_(aSettings)
  , engine_(JobEngineOptions{ .zone_ = aSettings.zone_ })
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
  handlers_ = JobLinkHandlers(
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
        engine_.SetZonesOut(operator_.zonesOut_, now);
        Perform(now);
      } });
  stored_ = std::make_unique<StoredJobs>(
    loop, *store_, engine_, self_, settings_.name_, MakeHooks());
  clients_ = std::make_unique<HttpServer>(
    HttpServerOptions{ .address_ = settings_.clients_.host_,
                       .port_ = settings_.clients_.port_,
                       .loop_ = &loop },
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
  return { .onActions_ = [this] { Perform(BootNow()); },
           .onLead_ =
             [this](uint64_t aTerm) {
               for (const auto& [id, sidecar] : sidecars_) {
                 if (sidecar.begun_) {
                   sidecar.link_->Send(TakeOver{ aTerm });
                 }
               }
             },
           .findQueue_ =
             [this](const std::string& aName) -> std::optional<JobQueue> {
             for (const platform::Route& route : operator_.routes_) {
               if (route.queue_.name_ == aName) {
                 return route.queue_;
               }
             }
             return std::nullopt;
           } };
}

void
JobEntry::Impl::Register()
{
  registration_ = std::make_unique<platform::BatchWriter>(
    pool_.Context(),
    *store_,
    platform::BatchWriterOptions{ .topic_ = std::string(platform::kMemberTopic),
                                  .producer_ = "entry-" + ToString(self_),
                                  .untilDone_ = true });
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
    LOG(INFO) << "stopping jobs=" << engine_.Jobs();
  });
  size_t left = 1;
  while (BootNow() - begin < settings_.stopLimit_) {
    const bool noticed = BootNow() - begin >= kBalancerNotice;
    RunOnLoop(pool_.Context(), [&] {
      closed_ = noticed;
      left = waiting_.size();
    });
    if (noticed && left == 0) {
      break;
    }
    std::this_thread::sleep_for(kStopPoll);
  }
  LOG(INFO) << "stopped jobs=" << left;
}

void
JobEntry::Impl::Tick()
{
  const MonoTime now = BootNow();
  engine_.Tick(now);
  stored_->Tick(now);
  Perform(now);
  metrics_.SetGauge("jobs", static_cast<double>(engine_.Jobs()));
  metrics_.SetGauge("sidecars", static_cast<double>(sidecars_.size()));
  metrics_.SetGauge("ready", Ready() ? 1 : 0);
  metrics_.SetGauge("leads", stored_->Term() > 0 ? 1 : 0);
  metrics_.SetGauge("configuration", static_cast<double>(operator_.version_));
}

bool
JobEntry::Impl::Ready() const
{
  return !stopping_ && operator_.version_ > 0 && engine_.HasReadyUpstream();
}

void
JobEntry::Impl::HandleReadiness(const HttpRequest&, const HttpReply& aReply)
{
  aReply.Send({ .status_ = Ready() ? 200 : 503, .body_ = "{}" });
}

void
JobEntry::Impl::HandleClient(const HttpRequest& aRequest,
                             const HttpReply& aReply)
{
  const MonoTime now = BootNow();
  const platform::JobCall call = platform::ParseJobCall(aRequest, operator_);
  std::visit(Visitor{ [&](const platform::JobSubmission& aSubmission) {
                       Submit(aSubmission, aReply, now);
                     },
                      [&](const platform::JobQuestion& aQuestion) {
                        ShowState(aQuestion.job_, aReply, now);
                      },
                      [&](const platform::JobCancellation& aCancellation) {
                        Cancel(aCancellation.job_, aReply, now);
                      },
                      [&](const platform::QueueQuestion& aQuestion) {
                        ShowPending(aQuestion.queue_, aReply, now);
                      },
                      [&](const HttpResponse& aResponse) {
                        LOG(INFO) << "request method=" << aRequest.method_
                                  << " path=" << aRequest.path_
                                  << " status=" << aResponse.status_
                                  << " version=" << operator_.version_;
                        Reply(aReply, aResponse);
                      } },
             call);
  Perform(now);
}

void
JobEntry::Impl::Submit(const platform::JobSubmission& aSubmission,
                       const HttpReply& aReply,
                       MonoTime aNow)
{
  const std::string& id = aSubmission.job_.id_;
  if (!aSubmission.job_.bestEffort_) {
    SubmitStored(aSubmission, aReply);
    return;
  }
  if (closed_) {
    LOG(INFO) << "job=" << id << " outcome=refused reason=stopping";
    Reply(
      aReply,
      platform::RefusedResponse("this process is stopping", kBalancerNotice));
    return;
  }
  const JobTicket ticket = nextTicket_++;
  waiting_.emplace(ticket, Waiting{ aReply, id, aNow });
  engine_.Submit(ticket,
                 aSubmission.job_,
                 aSubmission.queue_,
                 aNow + aSubmission.clientWait_,
                 aNow);
  aReply.WhenClientLeaves([this, ticket] {
    const MonoTime now = BootNow();
    const auto waiting = waiting_.find(ticket);
    if (waiting != waiting_.end()) {
      LOG(INFO) << "job=" << waiting->second.job_ << " outcome=client_left"
                << " ms="
                << std::chrono::duration_cast<Millis>(
                     now - waiting->second.submitted_)
                     .count();
      engine_.Abandon(ticket, now);
      Perform(now);
      const auto again = waiting_.find(ticket);
      if (again != waiting_.end()) {
        const HttpReply reply = again->second.reply_;
        waiting_.erase(again);
        reply.Send(platform::GivenUpResponse("the client has left"));
      }
    }
  });
}

void
JobEntry::Impl::SubmitStored(const platform::JobSubmission& aSubmission,
                             const HttpReply& aReply)
{
  const std::string id = aSubmission.job_.id_;
  stored_->Accept(aSubmission.job_,
                  aSubmission.queue_.name_,
                  [this, id, aReply](platform::StoreOutcome aOutcome) {
                    LOG(INFO) << "job=" << id << " outcome="
                              << (aOutcome == platform::StoreOutcome::Ok
                                    ? "accepted"
                                    : "not_stored");
                    Reply(aReply, platform::StoredResponse(aOutcome));
                  });
}

void
JobEntry::Impl::ShowState(const std::string& aJob,
                          const HttpReply& aReply,
                          MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (state) {
    Reply(aReply, platform::StateResponse(*state));
    return;
  }
  const bool fresh = stored_->Fresh(aNow);
  LOG(INFO) << "job=" << aJob
            << " outcome=" << (fresh ? "unknown" : "not_readable");
  Reply(aReply,
        fresh
          ? platform::UnknownJobResponse()
          : platform::RefusedResponse("the store can't be read", kStoreRetry));
}

void
JobEntry::Impl::ShowPending(const std::string& aQueue,
                            const HttpReply& aReply,
                            MonoTime aNow)
{
  if (!stored_->Fresh(aNow)) {
    // What has been read so far may be a part of the jobs only.
    Reply(aReply,
          platform::RefusedResponse("the store can't be read", kStoreRetry));
    return;
  }
  Reply(aReply,
        platform::PendingResponse(engine_.Pending(aQueue) +
                                  stored_->Pending(aQueue)));
}

void
JobEntry::Impl::Cancel(const std::string& aJob,
                       const HttpReply& aReply,
                       MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (!state && engine_.Cancel(aJob, aNow)) {
    LOG(INFO) << "job=" << aJob << " outcome=cancelled";
    Reply(aReply, platform::CancelledResponse());
    return;
  }
  if (!IsJobId(aJob)) {
    Reply(aReply, platform::UnknownJobResponse());
    return;
  }
  // Also for a job that is not known here: it may have been accepted elsewhere
  // a moment ago.
  stored_->Cancel(aJob, [this, aJob, aReply](platform::StoreOutcome aOutcome) {
    LOG(INFO) << "job=" << aJob << " outcome="
              << (aOutcome == platform::StoreOutcome::Ok ? "cancel_stored"
                                                         : "not_stored");
    Reply(aReply, platform::StoredResponse(aOutcome));
  });
}

void
JobEntry::Impl::Reply(const HttpReply& aReply, HttpResponse aResponse) const
{
  if (stopping_) {
    aResponse.headers_.emplace_back("Connection", "close");
  }
  aReply.Send(std::move(aResponse));
}

void
JobEntry::Impl::OnMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  const MonoTime now = BootNow();
  if (const auto* hello = std::get_if<Hello>(&aEnvelope.message_)) {
    OnHello(aLink, *hello, now);
    return;
  }
  const auto found = linkOwners_.find(aLink->Serial());
  if (found == linkOwners_.end()) {
    return;
  }
  const MemberId sidecar = found->second;
  const auto known = sidecars_.find(sidecar);
  if (known == sidecars_.end() || known->second.link_ != aLink) {
    return;
  }
  if (const auto* held = std::get_if<HeldRuns>(&aEnvelope.message_)) {
    OnHeld(sidecar, known->second, *held, now);
  } else if (const auto* reports =
               std::get_if<RunReports>(&aEnvelope.message_)) {
    engine_.OnReports(sidecar, *reports, now);
  } else {
    return;
  }
  Perform(now);
}

void
JobEntry::Impl::OnHeld(MemberId aSidecar,
                       SidecarLink& aLink,
                       const HeldRuns& aHeld,
                       MonoTime aNow)
{
  const uint64_t term = stored_->Term();
  if (!aLink.begun_) {
    aLink.begun_ = true;
    engine_.OnSidecar(aSidecar, aLink.zone_, aNow);
    engine_.OnHeld(aSidecar,
                   aHeld,
                   aLink.succeeds_ ? RunEnd::Lost : RunEnd::NotStarted,
                   aNow);
    if (term > 0) {
      aLink.link_->Send(TakeOver{ term });
    }
    return;
  }
  if (term > 0 && aHeld.term_ == term) {
    engine_.OnTakenOver(aSidecar, aHeld, aNow);
    stored_->OnTakenOver(aLink.name_, aSidecar, term);
  }
}

void
JobEntry::Impl::OnHello(const LinkPtr& aLink,
                        const Hello& aHello,
                        MonoTime aNow)
{
  const auto linked =
    std::find_if(sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
      return aSidecar.second.name_ == aHello.name_;
    });
  if (linked != sidecars_.end()) {
    const LinkPtr old = linked->second.link_;
    engine_.OnSidecarLost(linked->first, aNow);
    linkOwners_.erase(old->Serial());
    sidecars_.erase(linked);
    old->Close();
  }
  const auto known = incarnations_.emplace(aHello.name_, aHello.id_).first;
  const bool succeeds = known->second != aHello.id_;
  if (succeeds) {
    engine_.OnSuccessor(known->second, aHello.id_, aNow);
    known->second = aHello.id_;
  }
  sidecars_[aHello.id_] = { .link_ = aLink,
                            .name_ = aHello.name_,
                            .zone_ = aHello.zone_,
                            .succeeds_ = succeeds };
  linkOwners_[aLink->Serial()] = aHello.id_;
  LOG(INFO) << "sidecar name=" << aHello.name_ << " id=" << ToString(aHello.id_)
            << " outcome=linked";
  aLink->Send(Welcome{ .self_ = { .id_ = self_,
                                  .zone_ = settings_.zone_,
                                  .host_ = settings_.messages_.host_,
                                  .port_ = settings_.messages_.port_ } });
  Perform(aNow);
}

void
JobEntry::Impl::OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail)
{
  const auto found = linkOwners_.find(aLink->Serial());
  if (found == linkOwners_.end()) {
    return;
  }
  const MemberId id = found->second;
  linkOwners_.erase(found);
  const auto sidecar = sidecars_.find(id);
  if (sidecar == sidecars_.end() || sidecar->second.link_ != aLink) {
    return;
  }
  LOG(WARNING) << "sidecar name=" << sidecar->second.name_
               << " outcome=link_lost reason=\"" << aDetail << "\"";
  sidecars_.erase(sidecar);
  const MonoTime now = BootNow();
  engine_.OnSidecarLost(id, now);
  Perform(now);
}

template<class Body>
void
JobEntry::Impl::SendTo(MemberId aSidecar, Body aBody)
{
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar != sidecars_.end()) {
    sidecar->second.link_->Send(std::move(aBody));
  }
}

void
JobEntry::Impl::Perform(MonoTime aNow)
{
  for (JobAction& action : engine_.TakeActions()) {
    std::visit(
      Visitor{ [&](SendRuns& aSend) {
                LogPlacement(aSend);
                SendTo(aSend.sidecar_, std::move(aSend.orders_));
              },
               [&](SendStops& aSend) {
                 SendTo(aSend.sidecar_, std::move(aSend.stops_));
               },
               [&](const SaveJob& aSave) { stored_->Save(aSave); },
               [&](SendForget& aForget) {
                 SendTo(aForget.sidecar_, std::move(aForget.ends_));
               },
               [&](const AnswerJob& aAnswer) { Answer(aAnswer, aNow); },
               [&](const NoteRunEnd& aNote) { LogRunEnd(aNote); },
               [&](const NoteStall& aNote) { LogStall(aNote); },
               [&](const NoteAvoided& aNote) {
                 LOG(WARNING) << "sidecar name=" << NameOf(aNote.sidecar_)
                              << " failed_share=" << aNote.failedShare_
                              << " avoided_ms=" << aNote.for_.count()
                              << " outcome=avoided";
               } },
      action);
  }
}

std::string
JobEntry::Impl::NameOf(MemberId aSidecar) const
{
  const auto known =
    std::find_if(incarnations_.begin(),
                 incarnations_.end(),
                 [&](const auto& aKnown) { return aKnown.second == aSidecar; });
  return known == incarnations_.end() ? ToString(aSidecar) : known->first;
}

void
JobEntry::Impl::LogPlacement(const SendRuns& aSend) const
{
  const StartRuns& orders = aSend.orders_;
  LOG(INFO) << "job=" << orders.job_ << " occurrence=" << orders.occurrence_
            << " step=" << orders.step_ << " tasks=" << orders.runs_.size()
            << " first_task=" << orders.runs_.front().index_
            << " run=" << orders.runs_.front().run_
            << " sidecar=" << NameOf(aSend.sidecar_) << " term=" << orders.term_
            << " predicted_wait_ms=" << aSend.predictedWait_.count()
            << " goal_ms=" << orders.startGoal_.count()
            << " report_age_ms=" << aSend.reportAge_.count()
            << " outcome=placed";
}

void
JobEntry::Impl::LogRunEnd(const NoteRunEnd& aNote) const
{
  const RunReport& report = aNote.report_;
  LOG(INFO) << "job=" << report.key_.task_.job_
            << " run=" << ToString(report.key_)
            << " sidecar=" << NameOf(aNote.sidecar_)
            << " waited_ms=" << report.waited_.count()
            << " ran_ms=" << report.runTime_.count()
            << " failures_before=" << aNote.failures_
            << " end=" << ToString(report.end_) << " outcome=run_ended";
}

void
JobEntry::Impl::LogStall(const NoteStall& aNote) const
{
  LOG(INFO) << "job=" << aNote.stalled_.key_.task_.job_
            << " run=" << ToString(aNote.stalled_.key_)
            << " sidecar=" << NameOf(aNote.sidecar_)
            << " age_ms=" << aNote.stalled_.age_.count()
            << " percent=" << aNote.stalled_.percent_
            << " slowness=" << aNote.slowness_ << " outcome=run_stalled";
}

void
JobEntry::Impl::Answer(const AnswerJob& aAnswer, MonoTime aNow)
{
  const auto found = waiting_.find(aAnswer.ticket_);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = found->second;
  waiting_.erase(found);
  const auto time =
    std::chrono::duration_cast<Millis>(aNow - waiting.submitted_);
  metrics_.CountJob(aAnswer.outcome_, time);
  LOG(INFO) << "job=" << waiting.job_
            << " outcome=" << ToString(aAnswer.outcome_)
            << " ms=" << time.count() << " reason=\"" << aAnswer.reason_
            << "\"";
  Reply(waiting.reply_, platform::OutcomeResponse(aAnswer));
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
