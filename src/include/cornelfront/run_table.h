#pragma once

/// \file
/// What a sidecar decides about the runs on its upstream: which waiting run
/// starts next, when a run must be stopped, and how each one ended.

#include "cornelfront/clock.h"
#include "cornelfront/ids.h"
#include "cornelfront/run_messages.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// Monotonic clock of an upstream, which starts anew in each incarnation.
struct UpstreamClock
{
  Millis value_{ 0 };

  auto operator<=>(const UpstreamClock&) const = default;
};

/// What an upstream says of itself.
struct UpstreamInfo
{
  std::string id_;
  /// Wall-clock time of its start; tells incarnations with one id apart.
  int64_t bornMs_ = 0;
  std::string service_;
  Room capacity_;
  std::vector<std::string> labels_;
  bool draining_ = false;
};

/// How an upstream answered an order to start a run.
enum class StartAnswer : uint8_t
{
  Started,
  /// No room at the moment.
  Full,
  /// The order arrived after its deadline.
  TooLate,
  /// A run with this or a higher number has ended there.
  OldNumber,
  /// Not started, for good.
  Refused,
  /// No connection: certainly not started.
  NotSent,
  /// No answer: may start until the order's deadline has passed.
  Unknown,
};

/// A run that an upstream lists as running.
struct RunningEntry
{
  RunKey key_;
  /// Share of the work done, in percent.
  int32_t percent_ = 0;
};

/// An end that an upstream lists until it is acknowledged.
struct EndedEntry
{
  uint64_t number_ = 0;
  RunKey key_;
  RunEnd end_ = RunEnd::Done;
};

/// One answer to a look at the upstream.
struct UpstreamLook
{
  UpstreamClock clock_;
  std::vector<RunningEntry> running_;
  std::vector<EndedEntry> ended_;
};

/// An order that the sidecar is to send to its upstream now.
struct StartOrder
{
  /// Name within the table.
  RunKey key_;
  /// Number to use towards the upstream.
  uint32_t upstreamRun_ = 0;
  std::string payload_;
};

struct RunTableOptions
{
  /// Runs whose owner has not been heard of for this long are stopped.
  Millis ownerSilence_{ 700 };
  /// The same for stored jobs: time for another leader to take them over.
  Millis leaderSilence_{ 3000 };
  /// Kept ends wait this long for a leader to show up at all.
  Millis unknownLeader_{ 4000 };
  /// A lease that is not extended any more has certainly ended after this.
  Millis leaseEnd_{ 1200 };
  /// Unacknowledged ends beyond which the upstream could hide newer ones.
  size_t maxKeptEnds_ = 400;
  /// Runs whose upstream has not answered for this long have certainly ended,
  /// since its lease lasts less.
  Millis upstreamSilence_{ 1600 };
  /// An upstream that has not answered for this long is sent no new work.
  Millis upstreamDoubt_{ 600 };
  /// A stop that had no effect is repeated after this time.
  Millis stopRepeat_{ 150 };
  /// An order without an answer is sent again this often at most.
  int startRepeats_ = 3;
  /// Pause after the upstream said that it is full.
  Millis fullPause_{ 15 };
  /// A run is stalled once it takes longer than this many times its estimate
  /// and the floor, and at its pace needs its whole estimate once more.
  int stallFactor_ = 3;
  Millis stallFloor_{ 250 };
  Millis stallRepeat_{ 200 };
  /// How long reports are kept for an owner whose link may have lost them.
  Millis reportRetention_{ 3000 };
};

/// Not thread-safe. Times are BootNow.
class RunTable
{
public:
  explicit RunTable(RunTableOptions aOptions);

  /// The upstream has announced itself. Another incarnation ends all runs of
  /// the one before.
  void OnUpstream(const UpstreamInfo& aInfo, MonoTime aNow);
  /// The upstream has left or is known to be dead.
  void OnUpstreamGone(MonoTime aNow);
  /// A look found another incarnation. Returns false if the one that it was
  /// meant for is no longer the present one.
  bool OnUpstreamReplaced(uint64_t aLookBegin, MonoTime aNow);
  /// While closed, nothing starts and waiting runs are reported as not
  /// started.
  void SetClosed(bool aClosed, MonoTime aNow);

  void OnOwnerLink(MemberId aOwner, MonoTime aNow);
  void OnOwnerHeard(MemberId aOwner, MonoTime aNow);
  /// Stored jobs are taken only once this sidecar can be found by whoever
  /// becomes the leader.
  void SetRegistered() { registered_ = true; }
  /// Returns false if a later leader is known.
  bool OnTakeOver(MemberId aLeader, uint64_t aTerm, MonoTime aNow);
  void OnForgetEnds(const ForgetEnds& aEnds);
  void OnOrders(MemberId aOwner, const StartRuns& aOrders, MonoTime aNow);
  void OnStop(MemberId aOwner, const StopRuns& aStop, MonoTime aNow);
  /// Stops everything, of all owners.
  void StopAll(MonoTime aNow);

  /// Runs that can start now, in order.
  std::vector<StartOrder> TakeStarts(MonoTime aNow);
  /// \p aDeadline is the order's deadline on the upstream's clock.
  void OnStartAnswer(const RunKey& aKey,
                     StartAnswer aAnswer,
                     UpstreamClock aDeadline,
                     MonoTime aNow);

  /// Must be called before a look is sent; its value goes to OnLook, which
  /// ignores looks at an earlier incarnation.
  uint64_t BeginLook();
  /// Returns false if the look is ignored.
  bool OnLook(uint64_t aLookBegin, const UpstreamLook& aLook, MonoTime aNow);

  /// Checks silent owners and a silent upstream, and drops what waited too
  /// long.
  void Tick(MonoTime aNow);

  /// Runs that the upstream must be told to stop now, by upstream number.
  std::vector<RunKey> TakeStops(MonoTime aNow);
  /// News for one owner.
  struct News
  {
    std::vector<RunReport> reports_;
    std::vector<StalledRun> stalled_;
    std::vector<RunKey> started_;

    bool Empty() const
    {
      return reports_.empty() && stalled_.empty() && started_.empty();
    }
  };
  /// News that has not been taken yet, by owner.
  std::map<MemberId, News> TakeNews();

  HeldRuns Held(MemberId aOwner) const;
  UpstreamReport Report(MonoTime aNow) const;
  /// Ends up to this number may be forgotten by the upstream.
  uint64_t AcknowledgedEnds() const;
  /// False while the lease of all runs must end: the leader is out of reach
  /// and will take them as lost, and with the lease their ends become void.
  bool MayExtendLease() const { return !lapseBegun_; }
  MonoTime UpstreamHeard() const { return upstreamHeard_; }
  /// True if the upstream runs something that nobody here ordered.
  bool HasStrays() const { return !strays_.empty(); }
  bool HasUpstream() const { return upstream_.has_value(); }
  const std::optional<UpstreamInfo>& Upstream() const { return upstream_; }
  /// Runs that were ordered and have not ended.
  size_t Size() const { return runs_.size(); }

private:
  enum class State : uint8_t
  {
    Waiting,
    Starting,
    /// The order had no answer.
    Uncertain,
    Running,
  };

  struct Run
  {
    MemberId owner_;
    uint64_t term_ = 0;
    State state_ = State::Waiting;
    uint32_t upstreamRun_ = 0;
    std::string payload_;
    Room room_;
    uint8_t priority_ = 0;
    Millis estimate_{ 0 };
    MonoTime queued_;
    MonoTime goal_;
    MonoTime startBy_;
    MonoTime started_;
    /// When the owner was last told that the run stalls.
    MonoTime stallTold_;
    uint64_t sequence_ = 0;
    /// Latest deadline of an order that had no answer.
    UpstreamClock deadline_;
    /// Orders without an answer.
    int unanswered_ = 0;
    /// Looks begun before this one may not show the run yet.
    uint64_t firstLook_ = 0;
    bool stopWanted_ = false;
    MonoTime stopSent_;
  };
  using Runs = std::map<RunKey, Run>;

  struct Owner
  {
    MonoTime heard_;
    News unsent_;
    std::deque<std::pair<MonoTime, RunReport>> recent_;
  };

  Room RoomInUse() const;
  int64_t Backlog(const Run& aRun) const;
  bool Accepts(const StartRuns& aOrders) const;
  RunReport MakeReport(const RunKey& aKey,
                       const Run& aRun,
                       RunEnd aEnd,
                       MonoTime aNow) const;
  void Tell(MemberId aOwner, const RunReport& aReport, MonoTime aNow);
  Runs::iterator Finish(Runs::iterator aRun, RunEnd aEnd, MonoTime aNow);
  void Keep(const EndedEntry& aEnd, Runs::iterator aRun, MonoTime aNow);
  void LimitKept();
  void FinishAll(RunEnd aEnd, MonoTime aNow);
  void FinishWaiting(MonoTime aNow);
  void WantStop(Runs::iterator aRun, MonoTime aNow);
  Runs::iterator FindUpstreamRun(const RunKey& aKey);
  std::vector<Runs::iterator> WaitingInOrder(MonoTime aNow);
  void CheckStall(const RunKey& aKey,
                  Run& aRun,
                  int32_t aPercent,
                  MonoTime aNow);
  void NoteRunning(const UpstreamLook& aLook, MonoTime aNow);
  void NoteEnded(const UpstreamLook& aLook, MonoTime aNow);
  void NoteMissing(uint64_t aLookBegin,
                   const UpstreamLook& aLook,
                   MonoTime aNow);
  void CheckOwners(MonoTime aNow);
  void CheckLeader(MonoTime aNow);
  /// Forgets ends that were not handed over before the lease ended.
  void DropKeptEnds();
  void NoteStarted(const RunKey& aKey, Run& aRun, MonoTime aNow);
  void SendStart(Runs::iterator aRun, std::vector<StartOrder>& aStarts);
  void Withdraw(Run& aRun);

  const RunTableOptions options_;
  std::optional<UpstreamInfo> upstream_;
  bool closed_ = false;
  Runs runs_;
  /// Runs on the upstream that nobody here ordered, by upstream number.
  std::map<RunKey, MonoTime> strays_;
  std::map<MemberId, Owner> owners_;
  uint64_t nextSequence_ = 0;
  uint64_t looks_ = 0;
  /// Number of the first look at the present incarnation.
  uint64_t incarnationLook_ = 0;
  uint64_t newestEnd_ = 0;
  /// Ends that must not be forgotten yet, by number.
  std::map<uint64_t, RunReport> kept_;
  /// Newest leader of the stored jobs.
  uint64_t term_ = 0;
  std::optional<MemberId> leader_;
  MonoTime leaderHeard_;
  /// Since when there are kept ends.
  MonoTime keptSince_;
  std::optional<MonoTime> lapseBegun_;
  bool registered_ = false;
  MonoTime upstreamHeard_;
  MonoTime fullUntil_;
};

} // namespace cornelfront
