/// \file
/// Exhaustive search over the interleavings of three requests with the same
/// submission id, together with a crash and replacement of its owner, pauses,
/// refusals, lost answers and sweeps of the submission table. It runs the real
/// CallerApi and ShardedSubmissionTable; only the job runner and the messages
/// between entries are simulated.

#include "cornelfront/caller_api.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <optional>
#include <unordered_set>

namespace cornelfront {
namespace {

constexpr MonoTime kStart{ std::chrono::hours(1) };
constexpr Millis kPrefixLifetime{ 1000 };
constexpr Millis kMaxRunTime{ 1000 };
/// One time step, longer than both together.
constexpr Millis kTimeStep{ 2001 };
const std::string kSubmission = "000000000000000a-0.job";

/// Faults to inject into the system; the search must detect each of them.
enum class InjectedFault
{
  None,
  /// An entry starts a submission itself if its owner is dead.
  StartsForDeadOwner,
  /// A sweep that empties the table also discards the time of the last sweep.
  DiscardsSweepTime,
  /// An attempt with an unknown result is reported as refused, so it is
  /// retried.
  RetriesUnknown,
};

/// A job that an entry has accepted; done_ is null once it has finished.
struct Attempt
{
  JobRunner::Done done_;
  bool started_ = false;
};

/// Holds jobs until the search starts or finishes them.
class ManualJobRunner : public JobRunner
{
public:
  void Submit(JobSpec, Done aDone, MonoTime) override
  {
    attempts_.push_back({ std::move(aDone) });
  }
  void Cancel(const std::string&, MonoTime) override {}
  Millis PredictedWait(const std::string&,
                       Priority,
                       size_t,
                       MonoTime) const override
  {
    return Millis(0);
  }

  std::vector<Attempt> attempts_;
};

class CallbackForwarder : public Forwarder
{
public:
  using Function = std::function<bool(MemberId)>;

  explicit CallbackForwarder(Function aForward)
    : forward_(std::move(aForward))
  {
  }
  bool Forward(MemberId aOwner, const HttpRequest&, ResponseCallback) override
  {
    return forward_(aOwner);
  }

private:
  Function forward_;
};

SchemaSetPtr
Schemas()
{
  static const SchemaSetPtr sSchemas = [] {
    ServiceSchema desk{ .service_ = "desk" };
    desk.calls_["match"] = { .name_ = "match" };
    auto set = std::make_shared<SchemaSet>();
    set->services_["desk"] = std::make_shared<ServiceSchema>(std::move(desk));
    return set;
  }();
  return sSchemas;
}

HttpRequest
Resubmission()
{
  return { .method_ = "POST",
           .path_ = "/v1/services/desk/calls/match",
           .headers_ = { { "idempotency-key", kSubmission } } };
}

/// One entry process.
struct Process
{
  Process(MemberId aId, CallbackForwarder::Function aForward)
    : id_(aId)
    , forwarder_(std::move(aForward))
    , api_(
        { .self_ = aId, .start_ = kStart, .prefixLifetime_ = kPrefixLifetime },
        runner_,
        ResetTable(),
        forwarder_,
        &Schemas)
  {
  }

  /// Creates a new, empty table, replacing any earlier one.
  ShardedSubmissionTable& ResetTable()
  {
    return submissions_.emplace(
      SubmissionTableOptions{ .start_ = kStart,
                              .prefixLifetime_ = kPrefixLifetime,
                              .maxRunTime_ = kMaxRunTime });
  }

  MemberId id_;
  ManualJobRunner runner_;
  CallbackForwarder forwarder_;
  std::optional<ShardedSubmissionTable> submissions_;
  CallerApi api_;
  bool alive_ = true;
};

constexpr size_t kOwner = 0;
constexpr size_t kPeer = 1;
/// Replaces the owner behind the load balancer.
constexpr size_t kReplacement = 2;
constexpr size_t kProcesses = 3;

/// A request in progress. Other actions may occur between any two of its steps.
struct Request
{
  enum class Step
  {
    Sent,
    /// A thread of process_ has read the clock but not yet handled the request.
    ClockRead,
    Forwarded,
    /// Waiting for its answer, answered or lost.
    Ended,
  };

  size_t target_ = kOwner;
  Step step_ = Step::Sent;
  size_t process_ = kOwner;
  MonoTime time_;
};

/// One state of the simulated system.
class SimulatedSystem
{
public:
  explicit SimulatedSystem(InjectedFault aFault)
    : fault_(aFault)
  {
    processes_[kOwner] = NewProcess(kOwner);
    processes_[kPeer] = NewProcess(kPeer);
    requests_[1].target_ = kPeer;
  }

  using Action = std::function<void()>;

  /// All actions that are possible in this state, in a fixed order.
  std::vector<Action> Actions()
  {
    std::vector<Action> actions;
    for (Request& request : requests_) {
      AddRequestActions(actions, request);
    }
    for (size_t i = 0; i < kProcesses; ++i) {
      if (IsAlive(i)) {
        AddAttemptActions(actions, i);
      }
    }
    AddFaults(actions);
    return actions;
  }

  /// Text that is equal for states with the same future behaviour.
  std::string Signature() const
  {
    std::string text;
    for (const std::string& history : histories_) {
      text += history + "|";
    }
    for (const Request& request : requests_) {
      AppendNumber(text, static_cast<size_t>(request.step_));
      AppendNumber(text, request.process_);
      AppendNumber(text, request.time_ > kStart ? 1 : 0);
    }
    AppendNumber(text, timeSteps_);
    AppendNumber(text, replaced_ ? 1 : 0);
    AppendNumber(text, IsAlive(kOwner) ? 1 : 0);
    return text;
  }

  int Starts() const { return starts_; }
  bool ReportedFalseRefusal() const { return falseRefusal_; }

private:
  static void AppendNumber(std::string& aText, size_t aValue)
  {
    aText += std::to_string(aValue);
    aText += ',';
  }

  std::unique_ptr<Process> NewProcess(size_t aIndex)
  {
    const MemberId id{ 0xa + aIndex };
    return std::make_unique<Process>(
      id, [this, aIndex](MemberId aOwner) { return Forward(aIndex, aOwner); });
  }

  bool IsAlive(size_t aIndex) const
  {
    return processes_[aIndex] && processes_[aIndex]->alive_;
  }

  void AddRequestActions(std::vector<Action>& aActions, Request& aRequest)
  {
    switch (aRequest.step_) {
      case Request::Step::Sent:
        // Requests 0 and 2 are identical, so only one order of the two is
        // explored.
        if (&aRequest == &requests_[2] &&
            requests_[0].step_ == Request::Step::Sent) {
          break;
        }
        aActions.emplace_back([&] { RouteToTarget(aRequest); });
        break;
      case Request::Step::ClockRead:
        aActions.emplace_back([&] { Handle(aRequest); });
        break;
      case Request::Step::Forwarded:
        aActions.emplace_back([&] { ReadClock(aRequest, kOwner); });
        break;
      case Request::Step::Ended:
        break;
    }
  }

  void AddAttemptActions(std::vector<Action>& aActions, size_t aIndex)
  {
    auto& attempts = processes_[aIndex]->runner_.attempts_;
    for (size_t k = 0; k < attempts.size(); ++k) {
      if (!attempts[k].done_) {
        continue;
      }
      if (!attempts[k].started_) {
        aActions.emplace_back([this, aIndex, k] { Start(aIndex, k); });
        aActions.emplace_back(
          [this, aIndex, k] { Finish(aIndex, k, Outcome::Refused); });
        continue;
      }
      aActions.emplace_back(
        [this, aIndex, k] { Finish(aIndex, k, Outcome::Completed); });
      aActions.emplace_back(
        [this, aIndex, k] { Finish(aIndex, k, Outcome::Failed); });
    }
  }

  void AddFaults(std::vector<Action>& aActions)
  {
    if (IsAlive(kOwner)) {
      aActions.emplace_back([this] { processes_[kOwner]->alive_ = false; });
    } else if (!replaced_) {
      aActions.emplace_back([this] {
        replaced_ = true;
        processes_[kReplacement] = NewProcess(kReplacement);
      });
    }
    if (timeSteps_ == 0) {
      aActions.emplace_back([this] { ++timeSteps_; });
    } else if (!swept_) {
      aActions.emplace_back([this] { Sweep(); });
    }
  }

  MonoTime Now() const { return kStart + timeSteps_ * kTimeStep; }

  /// The load balancer routes the request to its target or, if that is dead, to
  /// the replacement.
  void RouteToTarget(Request& aRequest)
  {
    size_t target = aRequest.target_;
    if (!IsAlive(target)) {
      target = kReplacement;
    }
    ReadClock(aRequest, target);
  }

  void ReadClock(Request& aRequest, size_t aProcess)
  {
    aRequest.process_ = aProcess;
    aRequest.time_ = Now();
    aRequest.step_ =
      IsAlive(aProcess) ? Request::Step::ClockRead : Request::Step::Ended;
  }

  void Handle(Request& aRequest)
  {
    aRequest.step_ = Request::Step::Ended;
    if (!IsAlive(aRequest.process_)) {
      return;
    }
    AppendHistory("h", aRequest.process_, aRequest.time_ == kStart ? 0 : 1);
    handledRequest_ = &aRequest;
    ResponseCallback respond = [this](const HttpResponse& aResponse) {
      Check(aResponse);
    };
    processes_[aRequest.process_]->api_.Handle(
      Resubmission(), respond, aRequest.time_);
  }

  bool Forward(size_t aFrom, MemberId aOwner)
  {
    if (aOwner == processes_[kOwner]->id_ && IsAlive(kOwner)) {
      handledRequest_->step_ = Request::Step::Forwarded;
      return true;
    }
    if (fault_ == InjectedFault::StartsForDeadOwner) {
      processes_[aFrom]->runner_.attempts_.push_back(
        { [](const JobResult&) {} });
      return true;
    }
    return false;
  }

  void Start(size_t aProcess, size_t aAttempt)
  {
    AppendHistory("s", aProcess, aAttempt);
    processes_[aProcess]->runner_.attempts_[aAttempt].started_ = true;
    ++starts_;
  }

  void Finish(size_t aProcess, size_t aAttempt, Outcome aOutcome)
  {
    AppendHistory("f", aProcess, aAttempt * 10 + static_cast<size_t>(aOutcome));
    Attempt& attempt = processes_[aProcess]->runner_.attempts_[aAttempt];
    const JobRunner::Done done = std::move(attempt.done_);
    attempt.done_ = nullptr;
    if (fault_ == InjectedFault::RetriesUnknown &&
        aOutcome == Outcome::Failed) {
      aOutcome = Outcome::Refused;
    }
    done({ .outcome_ = aOutcome, .mayHaveRun_ = true });
  }

  void Sweep()
  {
    swept_ = true;
    for (size_t i = 0; i < kProcesses; ++i) {
      if (!IsAlive(i)) {
        continue;
      }
      AppendHistory("w", i, 0);
      const auto& process = processes_.at(i);
      process->submissions_->Sweep(Now());
      if (fault_ == InjectedFault::DiscardsSweepTime &&
          process->submissions_->size() == 0) {
        process->ResetTable();
      }
    }
  }

  void Check(const HttpResponse& aResponse)
  {
    for (const auto& [name, value] : aResponse.headers_) {
      if (name == "Cornelfront-Outcome" && value == "refused") {
        falseRefusal_ = falseRefusal_ || starts_ > 0;
      }
    }
  }

  void AppendHistory(const char* aWhat, size_t aProcess, size_t aDetail)
  {
    histories_.at(aProcess) += aWhat;
    AppendNumber(histories_.at(aProcess), aDetail);
  }

  InjectedFault fault_;
  std::array<std::unique_ptr<Process>, kProcesses> processes_;
  std::array<Request, 3> requests_;
  Request* handledRequest_ = nullptr;
  bool replaced_ = false;
  bool swept_ = false;
  size_t timeSteps_ = 0;
  int starts_ = 0;
  bool falseRefusal_ = false;
  /// Actions so far on the table and the tasks of each process. The order
  /// between actions of different processes does not affect future behaviour.
  std::array<std::string, kProcesses> histories_;
};

struct SearchResult
{
  size_t states_ = 0;
  int maxStarts_ = 0;
  bool falseRefusal_ = false;
};

/// Depth-first search over all states. A state is rebuilt by replaying the
/// actions that lead to it.
class Search
{
public:
  /// Stops early once the submission has started \p aStopAfterStarts times.
  Search(InjectedFault aFault, int aStopAfterStarts)
    : fault_(aFault)
    , stopAfterStarts_(aStopAfterStarts)
  {
  }

  SearchResult Run()
  {
    Visit(Rebuild());
    return result_;
  }

private:
  std::unique_ptr<SimulatedSystem> Rebuild() const
  {
    auto simulation = std::make_unique<SimulatedSystem>(fault_);
    for (const size_t step : path_) {
      simulation->Actions()[step]();
    }
    return simulation;
  }

  void Visit(std::unique_ptr<SimulatedSystem> aSimulation)
  {
    // Update the results before looking up the signature: the effect of the
    // last action depends on the state before it, not only on the state after
    // it.
    result_.maxStarts_ = std::max(result_.maxStarts_, aSimulation->Starts());
    result_.falseRefusal_ =
      result_.falseRefusal_ || aSimulation->ReportedFalseRefusal();
    if (!visited_.insert(aSimulation->Signature()).second) {
      return;
    }
    ++result_.states_;
    const size_t actionCount = aSimulation->Actions().size();
    for (size_t step = 0;
         step < actionCount && result_.maxStarts_ < stopAfterStarts_;
         ++step) {
      auto next = step + 1 < actionCount ? Rebuild() : std::move(aSimulation);
      next->Actions()[step]();
      path_.push_back(step);
      Visit(std::move(next));
      path_.pop_back();
    }
  }

  InjectedFault fault_;
  int stopAfterStarts_;
  std::vector<size_t> path_;
  std::unordered_set<std::string> visited_;
  SearchResult result_;
};

TEST(SubmissionExplorer, StartsAtMostOnce)
{
  const SearchResult result = Search(InjectedFault::None, 2).Run();
  RecordProperty("states", std::to_string(result.states_));
  EXPECT_EQ(result.maxStarts_, 1);
  EXPECT_FALSE(result.falseRefusal_);
  EXPECT_GT(result.states_, 1000U);
}

TEST(SubmissionExplorer, DetectsInjectedFaults)
{
  for (const InjectedFault fault : { InjectedFault::StartsForDeadOwner,
                                     InjectedFault::DiscardsSweepTime,
                                     InjectedFault::RetriesUnknown }) {
    const SearchResult result = Search(fault, 2).Run();
    EXPECT_GT(result.maxStarts_, 1) << static_cast<int>(fault);
  }
}

} // namespace
} // namespace cornelfront
