#pragma once

/// \file
/// Implementation class of JobEntry; one file each implements startup and
/// shutdown, client requests, and sidecar links.

#include "cornelfront/job_entry.h"

#include "cornelfront/http_server.h"
#include "cornelfront/job_metrics.h"
#include "cornelfront/job_scheduler.h"
#include "cornelfront/late_order_record.h"
#include "cornelfront/link.h"
#include "cornelfront/standstill.h"
#include "event_loop_pvt.h"
#include "platform/batch_writer.h"
#include "platform/history_reader.h"
#include "platform/job_api.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"
#include "platform/topic_reader.h"
#include "stored_jobs.h"

#include <map>
#include <unordered_map>

namespace cornelfront {

/// Time that the load balancer needs to notice that this entry is leaving.
inline constexpr Millis kBalancerDelay{ 2200 };

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
    /// The sidecar has sent its first HeldRuns.
    bool receivedHeldRuns_ = false;
    /// This incarnation replaces an earlier one.
    bool replacesEarlier_ = false;
  };

  /// A client that waits for the result of its job.
  struct PendingReply
  {
    HttpReply reply_;
    std::string job_;
    MonoTime submitted_;
  };

  void Setup();
  void Register();
  void Tick();
  bool Ready(MonoTime aNow) const;
  void ReadLateOrders();
  /// Takes over what a sidecar process has written of its late orders; it may
  /// be gone.
  void OnStoredLateOrders(const LateOrderRecord& aRecord, MonoTime aNow);
  /// False as long as an earlier order of any job may be unknown here that the
  /// store knows.
  bool KnowsStoredLateOrders(MonoTime aNow) const;
  void HandleReadiness(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleClient(const HttpRequest& aRequest, const HttpReply& aReply);
  void Submit(const platform::JobSubmission& aSubmission,
              const HttpReply& aReply,
              MonoTime aNow);
  /// Drops the job of a client that has left.
  void OnClientLeft(JobSubmissionId aSubmissionId, MonoTime aNow);
  /// After a standstill, looks first whether the clients are still there, since
  /// whatever is handled next may start tasks of theirs.
  void CheckClients(MonoTime aNow);
  void SubmitStored(const platform::JobSubmission& aSubmission,
                    const HttpReply& aReply);
  void ReplyState(const std::string& aJob,
                  const HttpReply& aReply,
                  MonoTime aNow);
  void ReplyPending(const std::string& aQueue,
                    const HttpReply& aReply,
                    MonoTime aNow);
  void Cancel(const std::string& aJob, const HttpReply& aReply, MonoTime aNow);
  void OnHeldRuns(MemberId aSidecar,
                  SidecarLink& aLink,
                  const HeldRuns& aHeld,
                  MonoTime aNow);
  StoredJobsHooks MakeHooks();
  void Reply(const HttpReply& aReply, HttpResponse aResponse) const;
  void OnMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnHello(const LinkPtr& aLink, const Hello& aHello, MonoTime aNow);
  void OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail);
  void PerformActions(MonoTime aNow);
  void Answer(const AnswerJob& aAnswer, MonoTime aNow);
  /// Name of a sidecar that is or was linked, for log lines.
  std::string NameOf(MemberId aSidecar) const;
  void LogPlacement(const SendRuns& aSend) const;
  void LogRunEnd(const RunEndEvent& aEvent) const;
  void LogStall(const StallEvent& aEvent) const;
  template<class Body>
  void SendTo(MemberId aSidecar, Body aBody);

  const JobEntrySettings settings_;
  const MemberId self_ = NewMemberId();
  const MonoTime start_ = BootNow();
  IoPool pool_{ 1 };
  JobScheduler scheduler_;
  Standstill standstill_;
  std::map<MemberId, SidecarLink> sidecars_;
  std::map<uint64_t, MemberId> linkOwners_;
  /// Newest incarnation of each sidecar, by name.
  std::map<std::string, MemberId> incarnations_;
  std::unordered_map<JobSubmissionId, PendingReply> pendingReplies_;
  JobSubmissionId nextSubmissionId_ = 1;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::TopicReader> operatorReader_;
  platform::OperatorState operator_;
  std::unique_ptr<platform::HistoryReader> lateOrderReader_;
  std::unique_ptr<StoredJobs> stored_;
  std::unique_ptr<platform::BatchWriter> registration_;
  std::shared_ptr<const LinkHandlers> handlers_;
  std::unique_ptr<LinkServer> server_;
  std::unique_ptr<HttpServer> clients_;
  std::unique_ptr<HttpServer> readiness_;
  JobMetrics metrics_;
  std::unique_ptr<HttpServer> metricsServer_;
  bool stopping_ = false;
  /// Best-effort jobs are refused because the process stops.
  bool closed_ = false;
  std::unique_ptr<LoopTimer> ticker_;
};

} // namespace cornelfront
