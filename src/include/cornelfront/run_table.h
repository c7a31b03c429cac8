#pragma once

/// \file
/// State of the runs on a sidecar's upstream: which waiting run starts next,
/// which runs must be stopped, and how each run ended.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/late_order_book.h"
#include "cornelfront/run_messages.h"
#include "cornelfront/standstill.h"
#include "cornelfront/upstream_time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelfront {

/// An upstream's description of itself.
struct UpstreamInfo
{
  std::string id_;
  /// Wall-clock time of the upstream's start; distinguishes incarnations with
  /// the same id.
  int64_t startedMs_ = 0;
  std::string service_;
  Resources capacity_;
  std::vector<std::string> labels_;
  bool draining_ = false;
};

/// The sender of a heartbeat, compared with the current upstream.
enum class HeartbeatSender : uint8_t
{
  /// The current incarnation.
  Current,
  /// The incarnation that becomes the current one, because there is none or it
  /// is known to be gone.
  Successor,
  /// Another incarnation with a later start time, while the current one may
  /// still be there. What answers the next poll at its address tells.
  Unproven,
  /// Another incarnation, which may be an earlier one.
  Outdated,
};

/// The incarnation that answers in place of the current one.
enum class Replacement : uint8_t
{
  /// It has another id and refuses all orders for the current one.
  OtherId,
  /// It has the same id. Until it has answered a call with its own start time,
  /// it may carry out orders that were meant for the current one.
  SameId,
};

/// An upstream's announcement that it ends.
struct UpstreamDeparture
{
  std::string id_;
  /// UpstreamInfo::startedMs_ of the incarnation that ends, if it was given.
  std::optional<int64_t> startedMs_;
};

/// The upstream's answer to an order to start a run.
enum class StartAnswer : uint8_t
{
  Started,
  /// Not enough free resources at present.
  Full,
  /// The order arrived after its deadline.
  DeadlinePassed,
  /// A run of the task with this or a higher number has already ended there.
  RunNumberUsed,
  /// A call with a higher fence had arrived before; the order is sent again.
  Fenced,
  /// Refused for good; the run does not start.
  Refused,
  /// No connection, so the run is known not to have started.
  NotSent,
  /// No answer; the run may start until the order's deadline has passed.
  Unknown,
};

/// Returns what the answer to an order proves of the incarnation that it was
/// meant for. A clock that is behind \p aKnown, which was read before the order
/// was sent, shows that a later incarnation has answered: to the present one,
/// the order is without an answer.
StartAnswer
CheckIncarnation(StartAnswer aAnswer,
                 std::optional<UpstreamTime> aAnswerClock,
                 UpstreamTime aKnown);

/// A run that an upstream lists as running.
struct RunningEntry
{
  RunKey key_;
  /// Share of the work done, in percent.
  int32_t percent_ = 0;
};

/// An ended run that an upstream lists until its end is acknowledged.
struct EndedEntry
{
  uint64_t number_ = 0;
  RunKey key_;
  RunEnd end_ = RunEnd::Done;
};

/// The upstream's answer to one poll.
struct UpstreamPollResult
{
  UpstreamTime clock_;
  std::vector<RunningEntry> running_;
  std::vector<EndedEntry> ended_;
};

/// Why a run on the upstream must end.
enum class StopReason : uint8_t
{
  /// Its owner has ordered it, and waits for the end before the next run.
  Ordered,
  /// Its owner has dropped the job.
  Abandoned,
  /// Its owner has been silent for too long.
  OwnerLost,
  /// This process was suspended.
  Suspended,
  /// It was not ordered through this table.
  Orphaned,
  /// The upstream has announced its end.
  UpstreamLeaving,
};

std::string_view
ToString(StopReason aReason);

/// A stop order that the sidecar must send to its upstream now.
struct StopRequest
{
  /// Key of the run with the upstream's run number.
  RunKey key_;
  StopReason reason_ = StopReason::Ordered;
  /// Time since the stop was first requested.
  Millis age_{ 0 };
};

/// What limits the lease of an upstream.
enum class LeaseLimitReason : uint8_t
{
  /// Only its length.
  None,
  UpstreamSilent,
  /// Something runs that was not ordered through the table.
  Orphaned,
  /// The owner of a run has not been heard of.
  OwnerSilent,
  /// The link to the owner of a run has ended.
  OwnerUnlinked,
  /// A run that nobody waits for has been stopped and may still go on.
  StopUnconfirmed,
  /// The leader of the stored jobs is lost and ends are unacknowledged.
  LeaderLost,
  /// The upstream has announced its end.
  UpstreamLeaving,
};

std::string_view
ToString(LeaseLimitReason aReason);

/// The latest time to which the lease of an upstream may be extended.
struct LeaseLimit
{
  MonoTime end_;
  LeaseLimitReason reason_ = LeaseLimitReason::None;
};

/// A start order that the sidecar must send to its upstream now.
struct StartRequest
{
  /// Key of the run in the table.
  RunKey key_;
  /// Run number that the upstream is given; may differ from the key's.
  uint32_t upstreamRunNumber_ = 0;
  std::string payload_;
};

/// A time for which this process did not run.
struct Suspension
{
  Millis length_{ 0 };
  /// Number of runs that were open, all of which are stopped.
  size_t runs_ = 0;
};

struct RunTableOptions
{
  /// A gap between calls longer than this means that the process was suspended;
  /// owners may have started its runs elsewhere meanwhile.
  Millis suspensionThreshold_{ 600 };
  /// Runs of best-effort jobs whose owner has been silent for this long are
  /// stopped.
  Millis ownerTimeout_{ 700 };
  /// The same for an owner whose link has ended. Long enough for two attempts
  /// to link it again; short enough for three stops before the lease ends,
  /// which takes the runs of other owners along (docs/BOUNDS.md).
  Millis unlinkedTimeout_{ 500 };
  /// The same for stored jobs; longer, so that another leader can take them
  /// over.
  Millis leaderTimeout_{ 3000 };
  /// Unacknowledged ends are kept this long for a first leader to connect,
  /// which takes over 2 s after a loss of all entries.
  Millis firstLeaderTimeout_{ 4000 };
  /// Length of the upstream's lease, from the poll that extends it.
  Millis lease_{ 1000 };
  /// The lease ends this long after the last message of the owner of a
  /// best-effort run. Clients whose entry is lost submit again after 1,300 ms,
  /// and the upstream's clock may be 2 % slow.
  Millis ownerLease_{ 1180 };
  /// The lease is not extended once the upstream has been silent for this long,
  /// so that its expiry time is known.
  Millis maxLeaseSilence_{ 500 };
  /// Time after which an order to start a run is void. It extends the lease of
  /// the upstream by as much.
  Millis startTimeout_{ 250 };
  /// Time after which a lease that is no longer extended has expired.
  Millis leaseExpiry_{ 1200 };
  /// An upstream may notice this long after the end of its lease that it must
  /// end its runs.
  Millis lapseDelay_{ 100 };
  /// No run of a stored job starts while this many have ended without an
  /// acknowledgement or go on.
  size_t maxOpenStoredRuns_ = 300;
  /// Maximum distance of the newest end from the oldest unacknowledged one;
  /// beyond it, newer ends could be pushed off the upstream's list. The lease
  /// then lapses, which makes the unacknowledged ends void.
  size_t maxUnacknowledgedEnds_ = 400;
  /// Runs of an upstream that has not answered for this long have ended if the
  /// lease that it was granted is over as well (HasLapsedInSilence). An order
  /// without an answer proves nothing of the kind, see maxOrderDelay_.
  Millis upstreamTimeout_{ 1600 };
  /// An upstream that has not answered for this long is suspect and gets no new
  /// work.
  Millis upstreamSuspectAfter_{ 600 };
  /// Orders wait until the upstream has answered within this time.
  Millis upstreamQuietAfter_{ 100 };
  /// Interval at which a stop request without effect is repeated. Several fit
  /// into the time that the lease lasts on, since its end takes all runs along.
  Millis stopRepeatInterval_{ 100 };
  /// Maximum number of times that an unanswered order is sent again.
  int maxStartRepeats_ = 3;
  /// An order without an answer may still be carried out this long after it was
  /// sent, by the incarnation that it was meant for or by one with the same id.
  Millis maxOrderDelay_{ 12000 };
  /// An upstream that is down when that time ends may carry out the order at
  /// its next start, and its answer to a later poll shows what it has begun. A
  /// silence counts for no longer than this, as if the upstream never returned:
  /// a restart takes up to 4,500 ms, and an unextended lease then ends within
  /// leaseExpiry_ and lapseDelay_.
  Millis maxRestartSilence_{ 6000 };
  /// The same as maxOrderDelay_ for stored jobs, whose tasks must not wait for
  /// longer than this while upstreams are free.
  Millis maxStoredOrderDelay_{ 6000 };
  /// An upstream that falls silent within that time may start again later and
  /// carry the order out, which its first answer then shows. It is waited for
  /// until this long after its last answer: a restart of 4,500 ms at most, and
  /// 1,500 ms until its first heartbeat. A task must not wait for 7,000 ms
  /// after an upstream is gone for good.
  Millis maxStoredOrderSilence_{ 6000 };
  /// Delay before the next start after the upstream answered that it is full.
  Millis fullBackoff_{ 15 };
  /// A run is stalled once its age exceeds both stallFloor_ and this many times
  /// its estimate, and the rest would take longer than its whole estimate at
  /// the pace so far.
  int stallFactor_ = 3;
  Millis stallFloor_{ 250 };
  Millis stallRepeatInterval_{ 200 };
  /// How long reports are retained for an owner whose link may have lost them.
  Millis reportRetention_{ 3500 };
};

/// Returns how long after the end that was meant a lease may be over, on a slow
/// clock and noticed late.
Millis
LapseAllowance(const RunTableOptions& aOptions);

/// Tracks all runs on one upstream, of all owners. Performs no I/O; the caller
/// sends what the Take functions return. Not thread-safe. All times are from
/// BootNow. Every function that is given the present time first compares it
/// with that of the last call; after a suspension all runs are stopped before
/// anything else is done. Tick must therefore be called regularly, more often
/// than RunTableOptions::suspensionThreshold_.
class RunTable
{
public:
  explicit RunTable(RunTableOptions aOptions);

  const RunTableOptions& Options() const { return options_; }

  /// Decides how to take a heartbeat, which may have been under way for long or
  /// come from anybody. No heartbeat proves that the current incarnation is
  /// gone: only an answer of another one at its address does. One that has
  /// left, or that a poll has shown to be replaced, never returns.
  HeartbeatSender IdentifySender(const UpstreamInfo& aInfo) const;
  /// A heartbeat of the current incarnation or a successor has arrived. The
  /// runs of a previous one end with its lease, but a run that the new one may
  /// have started instead remains until its first answer tells.
  void OnUpstream(const UpstreamInfo& aInfo, MonoTime aNow);
  /// An incarnation has deregistered. Returns false if it is not the current
  /// one, whose runs then stay as they are. The announcement proves no end: its
  /// process may live on, and what runs there with it. It gets no more starts
  /// and no longer lease, its runs are stopped, and it stays the current one
  /// until an answer shows that nothing runs, or until its lease is over.
  bool OnUpstreamLeft(const UpstreamDeparture& aDeparture, MonoTime aNow);
  /// True from the deregistration of the current incarnation until all that ran
  /// there is known to have ended.
  bool IsLeaving() const { return departure_.has_value(); }
  /// A poll was answered by another incarnation. Returns false if the poll was
  /// meant for an incarnation that is no longer current. Runs that the other
  /// one may have started remain until its first poll tells, or as long as a
  /// lease takes to expire.
  bool OnUpstreamReplaced(uint64_t aPollNumber,
                          Replacement aReplacement,
                          MonoTime aNow);
  /// While closed, no run starts, and waiting runs are reported as not started.
  void SetClosed(bool aClosed, MonoTime aNow);

  /// A link to an owner has been established, or a message of a linked owner
  /// has arrived. \p aAge is the longest time for which the message can have
  /// been under way: silence counts from the time of sending.
  void OnOwnerLinked(MemberId aOwner, MonoTime aNow, Millis aAge = Millis(0));
  void OnOwnerHeard(MemberId aOwner, MonoTime aNow, Millis aAge = Millis(0));
  /// The link to an owner has ended, and no other one has been established yet.
  /// The connections of a process that is killed end at once, so that this may
  /// tell of its loss long before its silence does.
  void OnOwnerUnlinked(MemberId aOwner, MonoTime aNow);
  /// Orders for stored jobs are accepted only once this sidecar is registered
  /// in the store, where any later leader finds it.
  void SetRegistered() { registered_ = true; }
  /// Hands all runs of stored jobs to \p aLeader. Returns false if a newer
  /// leader is known. \p aAge is as for OnOwnerLinked.
  bool OnTakeOver(MemberId aLeader,
                  const TakeOver& aTakeOver,
                  MonoTime aNow,
                  Millis aAge = Millis(0));
  /// The store has confirmed the leader again.
  void OnLeaderAuthority(MemberId aLeader,
                         const LeaderAuthority& aAuthority,
                         MonoTime aNow,
                         Millis aAge = Millis(0));
  void OnAcknowledgeEnds(const AcknowledgeEnds& aEnds);
  /// Orders that are received right after a suspension are refused: they may be
  /// of any age.
  void OnOrders(MemberId aOwner, const StartRuns& aOrders, MonoTime aNow);
  /// Stops runs of this owner; one of another may have the same task and
  /// number. \p aAge is as for OnOwnerLinked: the client of an abandoned run
  /// may have left when the stop was sent.
  void OnStop(MemberId aOwner,
              const StopRuns& aStop,
              MonoTime aNow,
              Millis aAge = Millis(0));
  /// Returns the suspension that was detected last, once. Links that were open
  /// before must be closed, since orders in their buffers may be of any age.
  std::optional<Suspension> TakeSuspension(MonoTime aNow);

  /// Returns the runs to start now, in order. None is older than its order's
  /// start timeout or has an owner that has been silent for too long. Orders
  /// that reach an upstream while it is down may be carried out at its next
  /// start. So none goes to one that has been quiet, and none is repeated
  /// before the upstream has answered a poll that was sent after it.
  std::vector<StartRequest> TakeStarts(MonoTime aNow);
  /// True if an order waits for the answer to a poll that is sent now or later.
  bool AwaitsAnswer(MonoTime aNow) const;
  /// \p aDeadline is the order's deadline on the upstream's clock.
  void OnStartAnswer(const RunKey& aKey,
                     StartAnswer aAnswer,
                     UpstreamTime aDeadline,
                     MonoTime aNow);

  /// Must be called before a poll is sent. The result is passed to
  /// OnPollResult, which ignores polls of an earlier incarnation.
  uint64_t BeginPoll();
  /// Returns false if the poll is ignored.
  bool OnPollResult(uint64_t aPollNumber,
                    const UpstreamPollResult& aPollResult,
                    MonoTime aNow);

  /// Handles timeouts of owners, leader, upstream and waiting runs.
  void Tick(MonoTime aNow);

  /// Runs that the upstream must be told to stop now. A stop is repeated until
  /// the run has ended.
  std::vector<StopRequest> TakeStops(MonoTime aNow);
  /// Pending updates for one owner.
  struct Updates
  {
    std::vector<RunReport> reports_;
    std::vector<StalledRun> stalled_;
    std::vector<RunKey> started_;

    bool Empty() const
    {
      return reports_.empty() && stalled_.empty() && started_.empty();
    }
  };
  /// Returns the updates that have not been taken yet, by owner.
  std::map<MemberId, Updates> TakeUpdates();

  /// Returns the runs on the upstream that were not ordered through this table
  /// and have been found since the last call, with the upstream's run numbers.
  std::vector<RunKey> TakeFoundOrphans();
  /// Returns the ends on the upstream of runs that this table does not hold and
  /// that have been found since the last call, with the upstream's run numbers.
  std::vector<RunReport> TakeFoundEnds();

  /// Returns the crashes of the upstream that are new or have changed since the
  /// last call.
  std::vector<UpstreamCrash> TakeCrashes();
  /// Returns the last crashes of the upstream, for an entry that links.
  std::vector<UpstreamCrash> KnownCrashes() const;

  /// Returns what has changed of the orders that may still be carried out, for
  /// all entries. Entries must know of it before the ends of the runs.
  LateOrders TakeLateOrders(MonoTime aNow);
  /// Returns all such orders, for an entry that links.
  LateOrders KnownLateOrders(MonoTime aNow) const;
  /// Number of orders that entries have been told of.
  size_t LateOrderCount() const { return lateOrderReport_.Size(); }

  HeldRuns MakeHeldRuns(MemberId aOwner) const;
  UpstreamReport MakeUpstreamReport(MonoTime aNow) const;
  /// The upstream may discard ends up to this number.
  uint64_t AcknowledgedEnds() const;
  /// The lease must end by itself, without an answer of the upstream, once a
  /// run there may no longer go on: because its owner is silent, because it was
  /// stopped, or because ends become void that the leader of the stored jobs
  /// does not know. All orders that extend the lease keep to this limit.
  LeaseLimit LimitLease(MonoTime aNow) const;
  /// Returns the time until which a poll that is sent now may extend the lease,
  /// or nothing if it must not extend it. Before the first answered poll of an
  /// incarnation, a predecessor of this process may have left runs there.
  std::optional<MonoTime> LeaseEnd(MonoTime aNow) const;
  /// A poll that extends the lease to \p aEnd, which is \p aDeadline on the
  /// upstream's clock, is being sent. A lease never gets shorter, so a run
  /// starts only once its owner's limit lies behind it.
  void OnLeaseGranted(MonoTime aEnd, UpstreamTime aDeadline)
  {
    leaseGranted_ = std::max(leaseGranted_, aEnd);
    OnDeadlineSent(aDeadline);
  }
  /// An order is being sent that extends the lease to \p aDeadline on the
  /// upstream's clock, whenever it is carried out.
  void OnDeadlineSent(UpstreamTime aDeadline)
  {
    latestDeadline_ = std::max(latestDeadline_, aDeadline);
  }
  MonoTime UpstreamHeardAt() const { return upstreamHeardAt_; }
  /// True if the upstream runs something that was not ordered through this
  /// table.
  bool HasOrphans() const { return !orphans_.empty(); }
  bool HasUpstream() const { return upstream_.has_value(); }
  /// True if the current incarnation has answered a poll, so that it is known
  /// what runs there.
  bool KnowsRuns() const { return runsKnown_; }
  const std::optional<UpstreamInfo>& Upstream() const { return upstream_; }
  /// Number of runs that were ordered and are not known to have ended.
  size_t Size() const { return runs_.size() + formerRuns_.size(); }

private:
  enum class State : uint8_t
  {
    Waiting,
    Starting,
    /// The start order was not answered.
    Uncertain,
    Running,
  };

  /// How far it is known what runs on the upstream.
  enum class UpstreamKnowledge : uint8_t
  {
    /// It is suspect, or has not answered a poll since it started.
    None,
    /// It has not answered for some time.
    Quiet,
    Full,
  };

  /// A stop that has been requested and has not taken effect yet.
  struct Stop
  {
    StopReason reason_ = StopReason::Ordered;
    MonoTime requestedAt_;
    MonoTime sentAt_;
  };

  struct Run
  {
    MemberId owner_;
    uint64_t term_ = 0;
    State state_ = State::Waiting;
    uint32_t upstreamRunNumber_ = 0;
    /// Its owner knows of an order under this number that may still be carried
    /// out, so that no other number is safe.
    bool numberIsFixed_ = false;
    std::string payload_;
    Resources resources_;
    uint8_t priority_ = 0;
    Millis estimate_{ 0 };
    MonoTime queuedAt_;
    MonoTime latestStart_;
    MonoTime startBy_;
    bool onlyIfFree_ = false;
    MonoTime started_;
    /// Time at which the owner was last told of the stall.
    MonoTime stallReportedAt_;
    uint64_t sequence_ = 0;
    /// Latest deadline among the unanswered orders.
    UpstreamTime deadline_;
    /// Number of unanswered orders.
    int unanswered_ = 0;
    /// The upstream refuses the run's number.
    bool numberUsed_ = false;
    /// Time at which the last order was sent.
    MonoTime orderedAt_;
    /// OrderTerm::closingPoll_ of that order.
    uint64_t closingPoll_ = 0;
    /// The incarnation that it was ordered from is gone, and a later one with
    /// the same id may have begun it.
    bool keptPastRestart_ = false;
    /// An earlier incarnation may run it until then, whatever the present one
    /// lists.
    MonoTime mayRunElsewhereUntil_;
    /// Polls with a lower number may not show the run yet.
    uint64_t firstPoll_ = 0;
    std::optional<Stop> stop_;
  };
  using Runs = std::map<RunKey, Run>;

  /// The current incarnation has announced its end.
  struct Departure
  {
    /// The announcement named its start time, so that it was no other's.
    bool certain_ = false;
    MonoTime leaseOverAt_;
    /// Its last answer listed ends, which it has not seen acknowledged.
    bool listsEnds_ = false;
  };

  /// A run on an earlier incarnation, which may go on under its lease beside
  /// the current one.
  struct FormerRun
  {
    /// Absent if it was not ordered through this table.
    std::optional<MemberId> owner_;
    uint64_t term_ = 0;
    /// What its owner is told once the lease is over.
    RunReport report_;
    MonoTime leaseOverAt_;
  };

  struct Owner
  {
    MonoTime heardAt_;
    /// Time at which its link ended, if it has not been linked again.
    std::optional<MonoTime> unlinkedAt_;
    Updates unsent_;
    std::deque<std::pair<MonoTime, RunReport>> recentReports_;
  };

  void DetectSuspension(MonoTime aNow);
  /// Returns a time after which the upstream has answered the poll.
  MonoTime AnsweredAt(uint64_t aPollNumber, MonoTime aNow);
  /// Stops all runs of all owners.
  void StopAll(MonoTime aNow);
  Resources ResourcesInUse() const;
  int64_t Backlog(const Run& aRun) const;
  bool Accepts(const StartRuns& aOrders, MonoTime aNow) const;
  RunReport MakeReport(const RunKey& aKey,
                       const Run& aRun,
                       RunEnd aEnd,
                       MonoTime aNow) const;
  void QueueReport(MemberId aOwner, const RunReport& aReport, MonoTime aNow);
  Runs::iterator Finish(Runs::iterator aRun, RunEnd aEnd, MonoTime aNow);
  /// Takes a run out that the current incarnation does not run, and that an
  /// earlier one may run until \p aLeaseOverAt.
  Runs::iterator MakeFormer(Runs::iterator aRun,
                            MonoTime aLeaseOverAt,
                            MonoTime aNow);
  /// Notes the order of a run that ends, if it may still be carried out.
  void KeepLateOrder(const Runs::value_type& aRun, RunEnd aEnd, MonoTime aNow);
  void RecordEnd(const EndedEntry& aEnd, Runs::iterator aRun, MonoTime aNow);
  void LimitUnacknowledgedEnds(MonoTime aNow);
  size_t OpenStoredRuns() const;
  /// The upstream has been silent for too long.
  void SuspectCrash();
  /// Another incarnation has taken the place of the current one.
  void RecordCrash();
  void WithdrawCrash();
  /// Returns a crash under the runs that have been started, or nothing if there
  /// are none.
  std::optional<UpstreamCrash> MakeCrash();
  /// The current incarnation has answered its first poll. If it has another id
  /// than the one before, it refuses all orders for that.
  void OnFirstAnswer();
  /// Remembers that the current incarnation never returns.
  void RecordGone();
  /// Ends the runs of an incarnation that is gone.
  void FinishReplaced(Replacement aReplacement, MonoTime aNow);
  /// Ends the runs of an incarnation that is gone, but for those that the next
  /// one with its id may begin.
  void FinishGone(MonoTime aNow);
  /// A poll that was answered after the start of the run has shown which
  /// incarnation answered the start, and none of its orders is without an
  /// answer.
  bool IsKnownToBeThere(const Run& aRun) const;
  /// Returns the time at which all that runs on the current incarnation has
  /// ended, if nothing extends its lease from \p aNow on.
  MonoTime LeaseOverAt(MonoTime aNow) const;
  /// True if the upstream has been silent for so long that all it runs has
  /// ended with its lease. A time in which this process did not run is no
  /// silence.
  bool HasLapsedInSilence(MonoTime aNow) const;
  /// This process did not run for \p aPause. If its machine was suspended, the
  /// upstream's clock stood still as well.
  void ExtendLeases(MonoClock::duration aPause);
  /// A leaving incarnation has answered a poll.
  void NoteLeavingAnswer(const UpstreamPollResult& aPollResult, MonoTime aNow);
  /// Takes a leaving incarnation as gone if its runs are known to have ended.
  void ConcludeDeparture(MonoTime aNow);
  /// True if it is known that nothing runs on the upstream which has been
  /// started.
  bool RunsNothing() const;
  /// Keeps what an incarnation may run on, although another one has taken its
  /// place.
  void KeepFormerRuns(Replacement aReplacement, MonoTime aNow);
  /// Ends the runs of earlier incarnations whose lease is over.
  void FinishFormerRuns(MonoTime aNow);
  /// Returns the time of the last order of a run that has one without an
  /// answer, or nothing if all were answered.
  std::optional<OrderTerm> OpenTerm(const Run& aRun) const;
  /// Notes the orders whose time has passed, which the next poll closes, and
  /// forgets those that are given up.
  void CloseDueOrders(MonoTime aNow);
  /// True if an order of the run without an answer may still be under way.
  bool MayBeginLate(const Run& aRun, MonoTime aNow) const;
  /// How long an order of the run may be under way.
  Millis OrderDelay(const Run& aRun) const;
  /// True if the present incarnation is known not to carry out the order, and
  /// takes another one of the task under its number.
  bool IsSettledHere(const OpenOrder& aOrder, MonoTime aNow) const;
  UpstreamKnowledge KnowledgeOfUpstream(MonoTime aNow) const;
  std::map<JobTaskId, LateOrder> FindLateOrders(MonoTime aNow) const;
  bool HasOrphanOf(const JobTaskId& aTask) const;
  /// True if the upstream may run the task by another order, so that no run of
  /// it may be started there either.
  bool IsHeldHere(const JobTaskId& aTask, MonoTime aNow) const;
  void FinishWaiting(MonoTime aNow);
  /// Requests the stop, or moves an earlier request to \p aSince if nobody
  /// waits for the run since then.
  void RequestStop(Runs::iterator aRun,
                   StopReason aReason,
                   MonoTime aSince,
                   MonoTime aNow);
  /// Returns the stop if it must be sent now, and records that it is.
  std::optional<StopRequest> TakeStop(const RunKey& aKey,
                                      Stop& aStop,
                                      MonoTime aNow) const;
  /// Returns the key under which the upstream knows the run.
  static RunKey UpstreamKey(const RunKey& aKey, const Run& aRun)
  {
    return { aKey.task_, aRun.upstreamRunNumber_ };
  }
  Runs::iterator FindUpstreamRun(const RunKey& aKey);
  /// Returns the number under which the upstream is given the order, or nothing
  /// if the task has late orders under two numbers.
  std::optional<uint32_t> NumberFor(const JobTaskId& aTask,
                                    const RunOrder& aOrder,
                                    MonoTime aNow) const;
  std::vector<Runs::iterator> WaitingInOrder(MonoTime aNow);
  bool MayStart(MonoTime aNow) const;
  bool IsQuiet(MonoTime aNow) const;
  /// True if an order without an answer is to be sent again at some time.
  bool IsToBeRepeated(const Run& aRun, MonoTime aNow) const;
  /// True if the lease may be extended by a start.
  bool MayExtendByStart(MonoTime aNow) const;
  /// True if the run would not outlive the limit of its owner on the lease that
  /// has been given before it starts.
  bool LeaseFits(const Run& aRun) const;
  /// Lowers \p aLimit to what the owner of the run allows.
  void LimitLeaseByOwner(const Run& aRun, LeaseLimit& aLimit) const;
  /// Lowers \p aLimit to what this run allows.
  void LimitLeaseBy(const Run& aRun, LeaseLimit& aLimit) const;
  /// Returns waiting runs whose time to start has passed.
  void ReturnLate(MonoTime aNow);
  /// Returns waiting runs that were ordered only for free resources.
  void ReturnWaiting(MonoTime aNow);
  void CheckStall(const RunKey& aKey,
                  Run& aRun,
                  int32_t aPercent,
                  MonoTime aNow);
  void ProcessRunning(const UpstreamPollResult& aPollResult, MonoTime aNow);
  void ProcessEnded(const UpstreamPollResult& aPollResult, MonoTime aNow);
  void ProcessMissing(uint64_t aPollNumber,
                      const UpstreamPollResult& aPollResult,
                      MonoTime aNow);
  void CheckOwners(MonoTime aNow);
  /// True if the owner of the run counts as lost.
  bool IsOwnerLost(const Run& aRun, MonoTime aNow) const;
  /// A message of the owner has arrived; see OnOwnerLinked.
  void NoteHeard(MemberId aOwner, MonoTime aNow, Millis aAge);
  /// How long the owner of the run has been silent.
  Millis OwnerSilence(const Run& aRun, MonoTime aNow) const;
  /// Counts the time at which the leader was last heard of, up to the end of
  /// its authority.
  void UpdateLeaderHeard();
  bool IsLeaderLost(MonoTime aNow) const;
  /// True while the lease must not be extended, since ends are unacknowledged
  /// that no leader may store any more, or so many that newer ones could be
  /// pushed off the upstream's list. Once it has lapsed they are void.
  bool MustLetLeaseLapse(MonoTime aNow) const;
  /// Discards unacknowledged ends if the upstream's clock proves that the lease
  /// has lapsed since.
  void DiscardVoidEnds(UpstreamTime aClock, MonoTime aNow);
  /// The upstream has refused an order because of its number.
  void OnNumberUsed(Runs::iterator aRun, MonoTime aNow);
  void MarkRunning(const RunKey& aKey, Run& aRun, MonoTime aNow);
  void SendStart(Runs::iterator aRun,
                 std::vector<StartRequest>& aStarts,
                 MonoTime aNow);
  void RevertStart(Run& aRun);

  const RunTableOptions options_;
  Standstill standstill_;
  /// Time of the call that detected the last suspension.
  std::optional<MonoTime> resumedAt_;
  std::optional<Suspension> suspension_;
  std::optional<UpstreamInfo> upstream_;
  bool closed_ = false;
  Runs runs_;
  std::optional<Departure> departure_;
  /// By the upstream's run number if they were not ordered through this table.
  std::map<RunKey, FormerRun> formerRuns_;
  /// Runs on the upstream that were not ordered through this table, by the
  /// upstream's run number.
  std::map<RunKey, Stop> orphans_;
  std::vector<RunKey> foundOrphans_;
  std::vector<RunReport> foundEnds_;
  std::map<MemberId, Owner> owners_;
  uint64_t nextSequence_ = 0;
  uint64_t polls_ = 0;
  /// Number of the first poll of the current incarnation.
  uint64_t firstIncarnationPoll_ = 0;
  /// The current incarnation has answered a poll. Until then it may begin runs
  /// by orders of a predecessor of this process, or by those for an earlier
  /// incarnation with its id.
  bool runsKnown_ = false;
  /// Orders without an answer whose runs have ended.
  LateOrderBook lateOrders_;
  LateOrderReport lateOrderReport_;
  /// The late orders may differ from those that were taken last.
  bool lateOrdersChanged_ = false;
  UpstreamKnowledge reportedKnowledge_ = UpstreamKnowledge::None;
  /// Id of the last incarnation that has answered a poll.
  std::optional<std::string> answeredId_;
  /// The last incarnations that are proved to be gone, by id and start time.
  std::deque<std::pair<std::string, int64_t>> gone_;
  /// Number of the newest poll that the current incarnation answered.
  uint64_t answeredPoll_ = 0;
  /// Answers to earlier polls may have waited while this process did not run.
  uint64_t firstPollSinceStandstill_ = 0;
  /// Polls that may still be answered, with a time before their sending.
  std::map<uint64_t, MonoTime> openPolls_;
  uint64_t newestEnd_ = 0;
  /// Ends that must not be acknowledged yet, by number.
  std::map<uint64_t, RunReport> unacknowledged_;
  /// Newest known term of a leader of the stored jobs.
  uint64_t term_ = 0;
  std::optional<MemberId> leader_;
  /// Time at which the leader was last heard of with authority.
  MonoTime leaderHeardAt_;
  /// End of the leader's authority, as far as known here.
  MonoTime authorityUntil_;
  /// Time since which there have been unacknowledged ends.
  MonoTime unacknowledgedSince_;
  /// Latest time, on the clock of the present incarnation, to which any order
  /// may extend the lease.
  UpstreamTime latestDeadline_;
  bool registered_ = false;
  MonoTime upstreamHeardAt_;
  /// Latest time to which the lease may have been extended by polls.
  MonoTime leaseGranted_;
  /// The same by orders.
  MonoTime orderedUntil_;
  MonoTime fullUntil_;
  uint64_t lastCrash_ = 0;
  /// The current incarnation is suspected to have crashed.
  std::optional<UpstreamCrash> suspected_;
  std::deque<UpstreamCrash> crashes_;
  std::vector<UpstreamCrash> newCrashes_;
};

} // namespace cornelfront
