#pragma once

/// \file
/// Implementation class of JobSidecar; one file each implements startup and
/// shutdown, the upstream, and the links to entries.

#include "cornelfront/job_sidecar.h"

#include "cornelfront/backoff.h"
#include "cornelfront/call_timeout.h"
#include "cornelfront/http_server.h"
#include "cornelfront/job_metrics.h"
#include "cornelfront/late_order_journal.h"
#include "cornelfront/link.h"
#include "cornelfront/report_schedule.h"
#include "cornelfront/run_table.h"
#include "cornelfront/transit_bound.h"
#include "event_loop_pvt.h"
#include "platform/batch_writer.h"
#include "platform/executor_client.h"
#include "platform/heartbeat_api.h"
#include "platform/operator_state.h"
#include "platform/store_client.h"
#include "platform/topic_reader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace cornelfront {

class JobSidecar::Impl
{
public:
  explicit Impl(const JobSidecarSettings& aSettings);
  ~Impl();

  void Stop();

private:
  /// A linked entry.
  struct Owner
  {
    LinkPtr link_;
    uint64_t ordersReceived_ = 0;
    ReportSchedule reportSchedule_{ ReportScheduleOptions{} };
    /// Of the messages of this link.
    TransitBound transit_;
  };

  /// A heartbeat of an incarnation that is not known to be the current one.
  struct Claim
  {
    platform::Heartbeat heartbeat_;
    MonoTime arrived_;
  };

  void Setup();
  void CloseLinks();
  void Tick();
  /// Logs when the lease comes near its end, and when it is extended again.
  void LogLeaseLimit(MonoTime aNow);
  /// Closes all links if the table has found that the process was suspended,
  /// and returns true then.
  bool DetectSuspension(MonoTime aNow);
  void StartConnecting(MonoTime aNow);
  /// See PredecessorView::polledAt_.
  std::optional<Millis> AnsweredPollAge() const;
  /// See UpstreamAge.
  std::optional<Millis> AgeOfUpstream() const;
  void OnHeartbeat(const platform::Heartbeat& aHeartbeat);
  void NoteClaim(const platform::Heartbeat& aHeartbeat, MonoTime aNow);
  /// Takes the incarnation of the claim as the current one if the earlier one
  /// is known to be gone. Returns true if that ended the claim.
  bool AcceptClaim();
  void RejectClaim(MonoTime aPolled);
  void OnUpstreamLeft(const UpstreamDeparture& aDeparture,
                      std::function<void()> aAcknowledge);
  /// Acknowledges a departure once nothing is known to run on the upstream any
  /// more, or has been held for long: it ends with the acknowledgement.
  void AcknowledgeDeparture(MonoTime aNow);
  void OnOperatorRecords(const platform::TopicReader::Records& aRecords);
  LinkPtr OnConnect(asio::ip::tcp::socket aSocket);
  void OnMessage(const LinkPtr& aLink, Envelope& aEnvelope);
  void OnWelcome(const LinkPtr& aLink,
                 MemberId aEntry,
                 const MessageTimes& aTimes,
                 MonoTime aNow);
  void OnOrders(MemberId aEntry, Envelope& aEnvelope, MonoTime aNow);
  void OnTakeOver(const LinkPtr& aLink,
                  MemberId aEntry,
                  const TakeOver& aTakeOver,
                  MonoTime aNow,
                  Millis aAge);
  void Register();
  void OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail);
  void Poll();
  void RestartPolling();
  void PollAfter(Millis aDelay);
  /// Ends the delay before the next poll, if there is one.
  void PollWithoutDelay();
  /// Polls beside a poll that waits for an end, if an order needs an answer.
  void HurryPoll(MonoTime aNow);
  void SendFence(MonoTime aNow);
  Millis PollWait(MonoTime aNow) const;
  void OnPollResult(uint64_t aPollNumber,
                    Millis aWait,
                    platform::PollOutcome aOutcome,
                    const UpstreamPollResult& aPollResult);
  /// Logs runs that the upstream lists although they were not ordered here.
  void LogFound();
  /// Sends all pending starts, stops and reports of the table.
  void SendPending(MonoTime aNow);
  /// Tells all entries what is new of crashes of the upstream.
  void SendCrashes();
  /// Tells all entries of orders that may be carried out late, if that has
  /// changed.
  void SendLateOrders(MonoTime aNow);
  /// Writes late orders to the store, for entries that start after all
  /// processes which have been told are gone.
  void StoreLateOrders(MonoTime aNow);
  void SendStart(const StartRequest& aOrder, MonoTime aNow);
  static void LogRunEnd(MemberId aOwner, const RunReport& aReport);
  void SendStatus(MonoTime aNow);
  void Send(MemberId aEntry,
            Owner& aOwner,
            RunTable::Updates aUpdates,
            const UpstreamReport& aReport,
            MonoTime aNow);
  UpstreamTime UpstreamNow(MonoTime aNow) const;

  const JobSidecarSettings settings_;
  const MemberId self_ = NewMemberId();
  /// Later by the time for which this process was suspended before it linked.
  MonoTime start_ = BootNow();
  IoPool pool_{ 1 };
  /// The bounds of RunTableOptions and of the entries hold up to its default.
  const Millis lease_ = std::min(settings_.lease_, RunTableOptions{}.lease_);
  RunTable table_{ RunTableOptions{ .lease_ = lease_ } };
  std::map<MemberId, Owner> owners_;
  std::map<uint64_t, MemberId> entries_;
  std::shared_ptr<const LinkHandlers> handlers_;
  std::unique_ptr<LinkConnector> connector_;
  bool connecting_ = false;
  std::vector<Endpoint> endpoints_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::TopicReader> operatorReader_;
  std::unique_ptr<platform::TopicReader> memberReader_;
  std::unique_ptr<platform::ExecutorClient> executor_;
  std::unique_ptr<HttpServer> heartbeats_;
  JobMetrics metrics_;
  std::unique_ptr<HttpServer> metricsServer_;
  int64_t lastHeartbeat_ = 0;
  std::optional<Claim> claim_;
  UpstreamTime clock_;
  MonoTime clockRead_;
  CallTimeout callTimeout_{ CallTimeoutOptions{} };
  /// Time at which a poll last failed.
  MonoTime lastUnanswered_;
  bool polling_ = false;
  MonoTime pollStart_;
  /// Time at which the newest answered poll was sent.
  MonoTime answeredPollStart_;
  /// Wait of the poll that is under way; 0 if there is none.
  Millis pollWait_{ 0 };
  /// Number of polls that have not ended, also of earlier series.
  int openPolls_ = 0;
  /// Bounds the polls of an upstream that closes or resets each connection. The
  /// longest delay leaves several attempts before the lease ends.
  Backoff pollBackoff_{ { .initial_ = Millis(1), .max_ = Millis(200) } };
  /// Number of the present series of polls; results of earlier ones are
  /// ignored.
  uint64_t pollSeries_ = 0;
  /// The upstream has started again under its id, and has not answered a call
  /// with a higher fence than the poll that showed it.
  bool fenceOpen_ = false;
  /// Of the upstream's deregistration, while it is leaving.
  std::vector<std::function<void()>> departureReplies_;
  MonoTime departureStart_;
  /// The next poll waits for pollTimer_.
  bool pollDelayed_ = false;
  std::unique_ptr<asio::steady_timer> pollTimer_;
  std::unique_ptr<platform::BatchWriter> registration_;
  LateOrderJournal lateOrderJournal_;
  std::unique_ptr<platform::BatchWriter> lateOrderWriter_;
  /// The last reason that was logged.
  LeaseLimitReason leaseLimit_ = LeaseLimitReason::None;
  bool stopping_ = false;
  /// The process exits; ended links are not connected again.
  bool linksClosed_ = false;
  std::unique_ptr<LoopTimer> ticker_;
};

} // namespace cornelfront
