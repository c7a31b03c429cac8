/// \file
/// Model checker that explores every interleaving of a few actions of an
/// operator, the log, entries and one sidecar. The production code makes the
/// decisions; the model only carries messages and log records between its
/// parts. Each state is visited once.

#include "policy/start_gate_model_test.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <set>

namespace cornelfront::explorer {
namespace {

class Explorer
{
public:
  explicit Explorer(const Scenario& aScenario)
    : scenario_(aScenario)
    , states_(FoldPrefixes(aScenario.entryZones_))
  {
    ListActions();
  }

  /// Returns the actions that lead to a start after the freshness bound has
  /// passed since the change was accepted, or nullopt if there is none.
  std::optional<std::string> FindLateStart()
  {
    std::deque<std::pair<const Model*, size_t>> queue;
    Visit(Initial(), nullptr, {}, queue);
    while (!queue.empty()) {
      const auto [model, node] = queue.front();
      queue.pop_front();
      if (IsLateStart(*model)) {
        return ActionsTo(node);
      }
      if (MayStartInOutage(*model)) {
        ++outageStarts_;
      }
      if (CannotBeLate(*model)) {
        continue;
      }
      for (const Action& action : actions_) {
        Model next = *model;
        if (Apply(next, action)) {
          Visit(std::move(next), &nodes_[node], action, queue, node);
        }
      }
    }
    return std::nullopt;
  }

  size_t Visited() const { return visited_.size(); }
  /// Number of states in which a task may start although no log read is fresh.
  size_t OutageStarts() const { return outageStarts_; }

private:
  struct Node
  {
    Action action_;
    std::optional<size_t> parent_;
  };

  void ListActions()
  {
    for (const Step step : { Step::Append,
                             Step::ReadBack,
                             Step::NextRound,
                             Step::ToggleLog,
                             Step::AdvanceClock }) {
      actions_.push_back({ .step_ = step });
    }
    for (size_t i = 0; i < scenario_.entries_; ++i) {
      for (const Step step : { Step::QueryEntry,
                               Step::ReadLog,
                               Step::FinishRead,
                               Step::Restart,
                               Step::Send,
                               Step::Deliver }) {
        actions_.push_back({ .step_ = step, .entry_ = i });
      }
      for (size_t j = 0; j < scenario_.entries_; ++j) {
        if (i != j && scenario_.learning_) {
          actions_.push_back(
            { .step_ = Step::LearnFromPeer, .entry_ = i, .peer_ = j });
        }
      }
    }
  }

  Model Initial() const
  {
    Model model;
    model.inFlight_.resize(scenario_.entries_);
    const Millis bound =
      scenario_.ignoresAge_ ? Millis(1000000) : kFreshnessBound;
    model.gate_ = StartGate({ .zone_ = "a", .freshnessBound_ = bound });
    model.gate_.OnConfig(states_[1]);
    model.acceptance_ =
      AcceptanceRule(states_[2].version_, { states_[2].EntryZones() });
    for (size_t i = 0; i < scenario_.entries_; ++i) {
      EntryModel entry{ .id_ = { i + 1 }, .rule_ = WitnessRule(kZones[i]) };
      model.entries_.push_back(std::move(entry));
      CompleteRead(model.entries_[i], { kStart, 1 });
    }
    for (size_t i = 0; i < scenario_.entries_; ++i) {
      for (size_t j = 0; j < scenario_.entries_; ++j) {
        if (i != j) {
          LearnFromPeer(model, i, j);
        }
      }
    }
    return model;
  }

  void Visit(Model aModel,
             const Node* aParent,
             const Action& aAction,
             std::deque<std::pair<const Model*, size_t>>& aQueue,
             size_t aParentIndex = 0)
  {
    const auto [place, isNew] = visited_.insert(std::move(aModel));
    if (!isNew) {
      return;
    }
    Node node{ .action_ = aAction };
    if (aParent != nullptr) {
      node.parent_ = aParentIndex;
    }
    nodes_.push_back(node);
    aQueue.emplace_back(&*place, nodes_.size() - 1);
  }

  std::string ActionsTo(size_t aNode) const
  {
    std::string path;
    for (std::optional<size_t> at = aNode; nodes_[*at].parent_;
         at = nodes_[*at].parent_) {
      path = "; " + Describe(nodes_[*at].action_) + path;
    }
    return path;
  }

  /// True if the remaining advances of the clock are too few for a late start.
  bool CannotBeLate(const Model& aModel) const
  {
    const int stepsLeft = scenario_.clockSteps_ - aModel.clockSteps_;
    return scenario_.change_ && !aModel.acceptedAt_ &&
           scenario_.clockStep_ * stepsLeft <= kFreshnessBound;
  }

  static bool IsLateStart(const Model& aModel)
  {
    return aModel.acceptedAt_ &&
           aModel.now_ - *aModel.acceptedAt_ > kFreshnessBound &&
           aModel.gate_.Check(aModel.now_) == TaskReason::None;
  }

  static bool MayStartInOutage(const Model& aModel)
  {
    for (const EntryModel& entry : aModel.entries_) {
      if (entry.headReadAt_ &&
          aModel.now_ - *entry.headReadAt_ <= kFreshnessBound) {
        return false;
      }
    }
    return aModel.gate_.Check(aModel.now_) == TaskReason::None;
  }

  /// Performs the action; false if it is not possible in this state.
  bool Apply(Model& aModel, const Action& aAction) const
  {
    switch (aAction.step_) {
      case Step::Append:
        return Append(aModel);
      case Step::ReadBack:
        return ReadBack(aModel);
      case Step::QueryEntry:
        return QueryEntry(aModel, aAction.entry_);
      case Step::NextRound:
        return NextRound(aModel);
      case Step::ReadLog:
        return ReadLog(aModel, aAction.entry_);
      case Step::FinishRead:
        return FinishRead(aModel, aAction.entry_);
      case Step::ToggleLog:
        return ToggleLog(aModel);
      case Step::AdvanceClock:
        return AdvanceClock(aModel);
      case Step::Restart:
        return Restart(aModel, aAction.entry_);
      case Step::LearnFromPeer:
        return IsReplacement(aModel.entries_[aAction.entry_]) &&
               LearnFromPeer(aModel, aAction.entry_, aAction.peer_);
      case Step::Send:
        return Send(aModel, aAction.entry_);
      case Step::Deliver:
        return Deliver(aModel, aAction.entry_);
    }
    return false;
  }

  bool Append(Model& aModel) const
  {
    if (!scenario_.change_ || !aModel.logUp_ || aModel.logRecords_ != 1) {
      return false;
    }
    aModel.logRecords_ = 2;
    return true;
  }

  static bool ReadBack(Model& aModel)
  {
    if (!aModel.logUp_ || aModel.logRecords_ != 2 || aModel.readBack_) {
      return false;
    }
    aModel.readBack_ = true;
    return true;
  }

  bool QueryEntry(Model& aModel, size_t aEntry) const
  {
    const EntryModel& entry = aModel.entries_[aEntry];
    if (!aModel.readBack_ || aModel.acceptedAt_ || entry.recordCount_ != 2) {
      return false;
    }
    aModel.acceptance_.OnReport(
      { .id_ = entry.id_,
        .zone_ = kZones[aEntry],
        .version_ = states_[entry.recordCount_].version_ });
    const bool accepted = scenario_.acceptsAfterOneRound_
                            ? aModel.acceptance_.RoundComplete()
                            : aModel.acceptance_.Accepted();
    if (accepted) {
      aModel.acceptedAt_ = aModel.now_;
      aModel.acceptance_ = AcceptanceRule({}, {});
    }
    return true;
  }

  bool NextRound(Model& aModel) const
  {
    if (aModel.acceptedAt_ || aModel.rounds_ >= scenario_.rounds_ ||
        !aModel.acceptance_.RoundComplete()) {
      return false;
    }
    ++aModel.rounds_;
    aModel.acceptance_.BeginRound();
    return true;
  }

  void CompleteRead(EntryModel& aEntry, const LogRead& aRead) const
  {
    aEntry.recordCount_ = std::max(aEntry.recordCount_, aRead.records_);
    aEntry.headReadAt_ = aRead.begunAt_;
    aEntry.logReachable_ = true;
    aEntry.rule_.OnHeadRead();
    aEntry.rule_.OnConfig(states_[aEntry.recordCount_]);
  }

  bool ReadLog(Model& aModel, size_t aEntry) const
  {
    EntryModel& entry = aModel.entries_[aEntry];
    if (entry.pending_) {
      return false;
    }
    if (!aModel.logUp_) {
      entry.logReachable_ = false;
      return true;
    }
    const LogRead read{ aModel.now_, aModel.logRecords_ };
    if (scenario_.delays_) {
      entry.pending_ = read;
    } else {
      CompleteRead(entry, read);
    }
    return true;
  }

  bool FinishRead(Model& aModel, size_t aEntry) const
  {
    EntryModel& entry = aModel.entries_[aEntry];
    if (!entry.pending_) {
      return false;
    }
    LogRead read = *entry.pending_;
    entry.pending_.reset();
    if (scenario_.datesReadsAtEnd_) {
      read.begunAt_ = aModel.now_;
    }
    CompleteRead(entry, read);
    return true;
  }

  bool ToggleLog(Model& aModel) const
  {
    if (aModel.logToggles_ >= scenario_.logToggles_) {
      return false;
    }
    ++aModel.logToggles_;
    aModel.logUp_ = !aModel.logUp_;
    return true;
  }

  bool AdvanceClock(Model& aModel) const
  {
    if (aModel.clockSteps_ >= scenario_.clockSteps_) {
      return false;
    }
    ++aModel.clockSteps_;
    aModel.now_ += scenario_.clockStep_;
    return true;
  }

  bool Restart(Model& aModel, size_t aEntry) const
  {
    if (aModel.restarts_ >= scenario_.restarts_ ||
        aEntry >= scenario_.restartable_) {
      return false;
    }
    ++aModel.restarts_;
    const MemberId previous = aModel.entries_[aEntry].id_;
    aModel.entries_[aEntry] = { .id_ = { previous.value_ + kMaxEntries },
                                .rule_ = WitnessRule(kZones[aEntry]) };
    for (EntryModel& other : aModel.entries_) {
      other.rule_.OnPeerDisconnected(previous);
    }
    return true;
  }

  static bool IsReplacement(const EntryModel& aEntry)
  {
    return aEntry.id_.value_ > kMaxEntries;
  }

  /// The entry receives the evidence and the configuration of the peer.
  bool LearnFromPeer(Model& aModel, size_t aEntry, size_t aPeer) const
  {
    EntryModel& entry = aModel.entries_[aEntry];
    const EntryModel& peer = aModel.entries_[aPeer];
    entry.recordCount_ = std::max(entry.recordCount_, peer.recordCount_);
    entry.rule_.OnPeer({ .entry_ = peer.id_, .zone_ = kZones[aPeer] },
                       states_[peer.recordCount_].version_,
                       peer.rule_.IsWitness());
    entry.rule_.OnConfig(states_[entry.recordCount_]);
    return true;
  }

  /// The entry answers a message that the sidecar has just sent.
  bool Send(Model& aModel, size_t aEntry) const
  {
    const EntryModel& entry = aModel.entries_[aEntry];
    if (aModel.inFlight_[aEntry] || aEntry < scenario_.firstSender_) {
      return false;
    }
    Evidence evidence{ .entry_ = entry.id_,
                       .version_ = entry.recordCount_,
                       .logReachable_ = entry.logReachable_,
                       .witness_ = entry.rule_.IsWitness(),
                       .logAge_ = Millis::max(),
                       .echoTime_ = aModel.now_ };
    if (entry.headReadAt_) {
      evidence.logAge_ =
        std::chrono::duration_cast<Millis>(aModel.now_ - *entry.headReadAt_);
    }
    if (scenario_.trustsEveryEntry_) {
      evidence.witness_ = true;
    }
    const bool attests =
      !evidence.logReachable_ && evidence.witness_ && evidence.version_ == 1;
    if (scenario_.onlyAttesting_ && !attests) {
      return false;
    }
    aModel.inFlight_[aEntry] = evidence;
    return scenario_.delays_ || Deliver(aModel, aEntry);
  }

  /// The evidence reaches the sidecar; the changed configuration never does.
  bool Deliver(Model& aModel, size_t aEntry) const
  {
    if (!aModel.inFlight_[aEntry]) {
      return false;
    }
    const Evidence evidence = *aModel.inFlight_[aEntry];
    aModel.inFlight_[aEntry].reset();
    const size_t version = scenario_.ignoresVersions_ ? 1 : evidence.version_;
    aModel.gate_.OnEvidence(
      { .entry_ = evidence.entry_, .zone_ = kZones[aEntry] },
      { .version_ = states_[version].version_,
        .logReachable_ = evidence.logReachable_,
        .witness_ = evidence.witness_,
        .logAge_ = evidence.logAge_ },
      scenario_.datesOnArrival_ ? aModel.now_ : evidence.echoTime_);
    return true;
  }

  Scenario scenario_;
  std::vector<ConfigState> states_;
  std::vector<Action> actions_;
  std::set<Model> visited_;
  std::vector<Node> nodes_;
  size_t outageStarts_ = 0;
};

/// One entry; messages and log reads take any time.
Scenario
DelayScenario()
{
  return { .entries_ = 1,
           .delays_ = true,
           .entryZones_ = 1,
           .clockStep_ = kShortStep,
           .clockSteps_ = 3 };
}

/// Two entries of which one must confirm the change; log reads take any time.
Scenario
TwoReadersScenario()
{
  return { .entries_ = 2,
           .delays_ = true,
           .entryZones_ = 1,
           .clockStep_ = kShortStep,
           .clockSteps_ = 3,
           .logToggles_ = 0,
           .restarts_ = 0,
           .learning_ = false,
           .firstSender_ = 1 };
}

/// Three entries in three zones; the log goes down permanently and one entry is
/// replaced.
Scenario
OutageScenario()
{
  return { .onlyAttesting_ = true };
}

TEST(StartGateExplorer, NoLateStart)
{
  const struct
  {
    const char* name_;
    Scenario scenario_;
  } cases[] = {
    { "delays", DelayScenario() },
    { "two readers", TwoReadersScenario() },
    { "outage", OutageScenario() },
  };
  for (const auto& test : cases) {
    Explorer explorer(test.scenario_);
    EXPECT_EQ(explorer.FindLateStart(), std::nullopt) << test.name_;
    EXPECT_GT(explorer.Visited(), 10000U) << test.name_;
    std::cout << test.name_ << ": " << explorer.Visited() << " states\n";
  }
}

TEST(StartGateExplorer, TasksStartInAnOutageWithoutAChange)
{
  Scenario scenario = OutageScenario();
  scenario.change_ = false;
  Explorer explorer(scenario);
  EXPECT_EQ(explorer.FindLateStart(), std::nullopt);
  EXPECT_GT(explorer.OutageStarts(), 0U);
}

TEST(StartGateExplorer, DetectsEachBrokenRule)
{
  Scenario ignoresAge = DelayScenario();
  ignoresAge.ignoresAge_ = true;
  Scenario datesOnArrival = DelayScenario();
  datesOnArrival.datesOnArrival_ = true;
  Scenario datesReads = TwoReadersScenario();
  datesReads.datesReadsAtEnd_ = true;
  Scenario ignoresVersions = DelayScenario();
  ignoresVersions.ignoresVersions_ = true;
  Scenario oneRound = OutageScenario();
  oneRound.acceptsAfterOneRound_ = true;
  Scenario trustsEvery = OutageScenario();
  trustsEvery.trustsEveryEntry_ = true;
  const struct
  {
    const char* name_;
    Scenario scenario_;
  } cases[] = {
    { "ignores the age of evidence", ignoresAge },
    { "dates evidence on arrival", datesOnArrival },
    { "dates reads at their end", datesReads },
    { "ignores versions", ignoresVersions },
    { "accepts after one round", oneRound },
    { "trusts entries that are no witnesses", trustsEvery },
  };
  for (const auto& test : cases) {
    Explorer explorer(test.scenario_);
    const auto path = explorer.FindLateStart();
    ASSERT_TRUE(path) << test.name_;
    std::cout << test.name_ << ": " << *path << " (" << explorer.Visited()
              << " states)\n";
  }
}

} // namespace
} // namespace cornelfront::explorer
