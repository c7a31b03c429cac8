/// \file
/// Model checker that explores every interleaving of two concurrent operators,
/// one of which repeats its append, a snapshot that is appended late, the
/// removal of old records, a reader that restarts, and readers that adopt the
/// state of each other. The readers are production code.

#include "cornelfront/config_reader.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <set>
#include <sstream>

namespace cornelfront {
namespace {

constexpr size_t kActors = 2;
/// Number of appends of each operator. The first repeats its append, as after a
/// lost response.
constexpr std::array<int, kActors> kAppends{ 2, 1 };
constexpr const char* kKey = "zone/a";

/// Configuration of the model. A run may break one rule on purpose, which the
/// exploration must then detect.
struct Scenario
{
  uint64_t drops_ = 2;
  int restarts_ = 1;
  bool loadsEverySnapshot_ = false;
  bool skipsGaps_ = false;
};

struct OperatorModel
{
  bool hasRead_ = false;
  ConfigVersion base_;
  int appends_ = 0;
};

struct Model
{
  std::vector<std::string> log_;
  uint64_t first_ = 0;
  std::array<OperatorModel, kActors> operators_;
  std::optional<ConfigState> snapshot_;
  bool snapshotAppended_ = false;
  std::array<ConfigReader, kActors> readers_;
  int restarts_ = 0;
};

ConfigState
FoldPrefix(const std::vector<std::string>& aLog, uint64_t aCount)
{
  ConfigState state;
  while (state.nextOffset_ < aCount) {
    const uint64_t offset = state.nextOffset_;
    FoldConfigRecord(state, offset, aLog[offset]);
  }
  return state;
}

std::string
StateKey(const Model& aModel)
{
  std::ostringstream key;
  key << aModel.first_ << ',' << aModel.restarts_ << aModel.snapshotAppended_;
  for (const std::string& record : aModel.log_) {
    key << '|' << record;
  }
  for (const OperatorModel& actor : aModel.operators_) {
    key << '/' << actor.appends_ << ',' << actor.base_.value_ << actor.hasRead_;
  }
  if (aModel.snapshot_) {
    key << '#' << EncodeConfigRecord(ConfigSnapshot{ *aModel.snapshot_ });
  }
  for (const ConfigReader& reader : aModel.readers_) {
    key << '%' << EncodeConfigRecord(ConfigSnapshot{ reader.State() })
        << reader.NextRead() << ',' << reader.First();
  }
  return key.str();
}

enum class Step
{
  ReadBase,
  Append,
  TakeSnapshot,
  AppendSnapshot,
  Drop,
  Poll,
  Restart,
  AdoptState,
};

class Explorer
{
public:
  explicit Explorer(const Scenario& aScenario)
    : scenario_(aScenario)
  {
  }

  /// Returns a description of the first violation found, or an empty text.
  std::string FindViolation()
  {
    std::deque<Model> queue;
    queue.emplace_back();
    while (!queue.empty()) {
      const Model model = std::move(queue.front());
      queue.pop_front();
      std::string violation = ViolationOf(model);
      if (!violation.empty()) {
        return violation;
      }
      for (int step = 0; step <= static_cast<int>(Step::AdoptState); ++step) {
        for (size_t actor = 0; actor < kActors; ++actor) {
          Model next = model;
          if (Apply(next, static_cast<Step>(step), actor) &&
              visited_.insert(StateKey(next)).second) {
            queue.push_back(std::move(next));
          }
        }
      }
    }
    return "";
  }

  size_t Visited() const { return visited_.size(); }
  size_t ClosedGaps() const { return closedGaps_; }

private:
  static std::string ViolationOf(const Model& aModel)
  {
    for (const ConfigReader& reader : aModel.readers_) {
      const uint64_t count = reader.State().nextOffset_;
      if (count > aModel.log_.size()) {
        return "a reader is ahead of the log";
      }
      if (reader.State() != FoldPrefix(aModel.log_, count)) {
        return "a reader's state differs from the state built from the whole "
               "log";
      }
    }
    for (uint64_t i = 0; i < aModel.log_.size(); ++i) {
      const ConfigValue before = FoldPrefix(aModel.log_, i).Get(kKey);
      const ConfigValue after = FoldPrefix(aModel.log_, i + 1).Get(kKey);
      const auto change = DecodeConfigChange(aModel.log_[i]);
      const bool allowed = change && change->base_ == before.version_;
      if (before != after && !allowed) {
        return "a record with an outdated base changed the key";
      }
    }
    return "";
  }

  bool Apply(Model& aModel, Step aStep, size_t aActor)
  {
    switch (aStep) {
      case Step::ReadBase:
        return ReadBase(aModel, aModel.operators_[aActor]);
      case Step::Append:
        return Append(aModel, aActor);
      case Step::TakeSnapshot:
        return aActor == 0 && TakeSnapshot(aModel);
      case Step::AppendSnapshot:
        return aActor == 0 && AppendSnapshot(aModel);
      case Step::Drop:
        return aActor == 0 && Drop(aModel);
      case Step::Poll:
        return Poll(aModel, aModel.readers_[aActor]);
      case Step::Restart:
        return aActor == 1 && Restart(aModel);
      case Step::AdoptState:
        return aModel.readers_[aActor].Offer(
          aModel.readers_[1 - aActor].State());
    }
    return false;
  }

  static bool ReadBase(Model& aModel, OperatorModel& aOperator)
  {
    if (aOperator.hasRead_) {
      return false;
    }
    aOperator.hasRead_ = true;
    aOperator.base_ =
      FoldPrefix(aModel.log_, aModel.log_.size()).Get(kKey).version_;
    return true;
  }

  static bool Append(Model& aModel, size_t aActor)
  {
    OperatorModel& actor = aModel.operators_[aActor];
    if (!actor.hasRead_ || actor.appends_ >= kAppends[aActor]) {
      return false;
    }
    ++actor.appends_;
    aModel.log_.push_back(
      EncodeConfigRecord(ConfigChange{ .key_ = kKey,
                                       .base_ = actor.base_,
                                       .text_ = aActor == 0 ? "out" : "in" }));
    return true;
  }

  static bool TakeSnapshot(Model& aModel)
  {
    const ConfigReader& reader = aModel.readers_[0];
    if (aModel.snapshot_ || reader.State().version_ == ConfigVersion{}) {
      return false;
    }
    aModel.snapshot_ = reader.State();
    return true;
  }

  static bool AppendSnapshot(Model& aModel)
  {
    if (!aModel.snapshot_ || aModel.snapshotAppended_) {
      return false;
    }
    aModel.snapshotAppended_ = true;
    aModel.log_.push_back(
      EncodeConfigRecord(ConfigSnapshot{ *aModel.snapshot_ }));
    return true;
  }

  bool Drop(Model& aModel) const
  {
    if (aModel.first_ >= scenario_.drops_ ||
        aModel.first_ >= aModel.log_.size()) {
      return false;
    }
    ++aModel.first_;
    return true;
  }

  bool Poll(Model& aModel, ConfigReader& aReader)
  {
    LogPage page{ .first_ = aModel.first_, .next_ = aModel.log_.size() };
    const uint64_t offset = std::max(aReader.NextRead(), page.first_);
    if (offset < page.next_) {
      page.records_.push_back(
        { .offset_ = offset, .body_ = aModel.log_[offset] });
    }
    if (ReadByBrokenRule(aReader, page)) {
      return true;
    }
    const bool gap = aReader.State().nextOffset_ < page.first_;
    aReader.OnPage(page);
    closedGaps_ += gap && !aReader.HasGap() ? 1 : 0;
    return true;
  }

  /// Reads the page in the way that breaks the rule of the scenario. Returns
  /// false if the scenario breaks none or the page does not apply to it.
  bool ReadByBrokenRule(ConfigReader& aReader, const LogPage& aPage) const
  {
    if (aPage.records_.empty()) {
      return false;
    }
    const LogRecord& record = aPage.records_.front();
    ConfigState state = aReader.State();
    if (scenario_.loadsEverySnapshot_) {
      if (const auto snapshot = DecodeConfigSnapshot(record.body_)) {
        state = snapshot->state_;
        state.nextOffset_ = record.offset_ + 1;
        aReader = ConfigReader(state);
        return true;
      }
    }
    if (scenario_.skipsGaps_ && record.offset_ > state.nextOffset_) {
      state.nextOffset_ = record.offset_;
      FoldConfigRecord(state, record.offset_, record.body_);
      aReader = ConfigReader(state);
      return true;
    }
    return false;
  }

  bool Restart(Model& aModel) const
  {
    if (aModel.restarts_ >= scenario_.restarts_) {
      return false;
    }
    ++aModel.restarts_;
    aModel.readers_[1] = ConfigReader();
    return true;
  }

  Scenario scenario_;
  std::set<std::string> visited_;
  size_t closedGaps_ = 0;
};

TEST(ConfigFoldExplorer, AllReadersMatchTheLog)
{
  Explorer explorer({});
  EXPECT_EQ(explorer.FindViolation(), "");
  std::cout << explorer.Visited() << " states, " << explorer.ClosedGaps()
            << " gaps closed by a snapshot\n";
  EXPECT_GT(explorer.Visited(), 1000U);
  EXPECT_GT(explorer.ClosedGaps(), 0U);
}

TEST(ConfigFoldExplorer, DetectsEachBrokenRule)
{
  Explorer everySnapshot({ .loadsEverySnapshot_ = true });
  EXPECT_NE(everySnapshot.FindViolation(), "");
  Explorer skipsGaps({ .skipsGaps_ = true });
  EXPECT_NE(skipsGaps.FindViolation(), "");
}

} // namespace
} // namespace cornelfront
