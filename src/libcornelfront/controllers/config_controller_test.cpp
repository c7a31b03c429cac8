#include "controllers/config_controller.h"
#include "memory_log_test.h"

#include <gtest/gtest.h>

#include <atomic>

namespace cornelfront {
namespace {

/// Maximum time to wait for another thread; exceeded only if the test fails.
constexpr Millis kPatience{ 10000 };
constexpr Millis kStopBound{ 4000 };

template<class Condition>
bool
Eventually(Condition aCondition)
{
  const MonoTime limit = MonoClock::now() + kPatience;
  while (!aCondition()) {
    if (MonoClock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  return true;
}

class ConfigControllerTest : public testing::Test
{
protected:
  ConfigControllerOptions Options() const
  {
    return { .log_ = { .url_ = log_.Url() },
             .zone_ = "a",
             .pollWait_ = Millis(20),
             .retryPause_ = Millis(20),
             .snapshots_ = { .minInterval_ = Millis(0),
                             .maxJitter_ = Millis(0) } };
  }

  std::unique_ptr<ConfigController> Make(
    const ConfigControllerOptions& aOptions)
  {
    return std::make_unique<ConfigController>(
      aOptions, events_, [this](const ConfigStatePtr&) { ++changes_; });
  }

  static bool Holds(const ConfigController& aController, uint64_t aVersion)
  {
    return Eventually(
      [&] { return aController.State()->version_.value_ >= aVersion; });
  }

  bool Recorded(EventId aId)
  {
    return Eventually([&] {
      for (const Event& event : events_.Since(0)) {
        if (event.id_ == aId) {
          return true;
        }
      }
      return false;
    });
  }

  static ConfigEvidence Now(const ConfigController& aController)
  {
    return aController.Evidence(MonoClock::now());
  }

  EventLog events_;
  MemoryLog log_;
  std::atomic<int> changes_ = 0;
};

ConfigState
PeerState(uint64_t aVersion)
{
  ConfigState state{ .nextOffset_ = aVersion, .version_ = { aVersion } };
  state.keys_["entry_zones"] = { .version_ = { 1 }, .text_ = "a,b,c" };
  state.keys_["zone/a"] = { .version_ = { aVersion }, .text_ = "out" };
  return state;
}

TEST_F(ConfigControllerTest, FollowsTheLog)
{
  log_.SetEntryZones("a");
  const auto controller = Make(Options());
  ASSERT_TRUE(Holds(*controller, 1));
  EXPECT_TRUE(Eventually([&] { return Now(*controller).logReachable_; }));
  EXPECT_TRUE(Now(*controller).witness_);
  EXPECT_TRUE(controller->State()->ZoneIsIn("a"));
  log_.SetZone(0, "out");
  log_.SetZone(0, "in");
  log_.Append("junk");
  ASSERT_TRUE(Holds(*controller, 2));
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
  EXPECT_TRUE(Recorded(EventId::ConfigConflict));
  EXPECT_TRUE(Recorded(EventId::ConfigInvalid));
  EXPECT_TRUE(Recorded(EventId::LogUp));
  EXPECT_EQ(changes_, 2);
}

TEST_F(ConfigControllerTest, StatesAnOutageAndItsEnd)
{
  const auto controller = Make(Options());
  ASSERT_TRUE(Eventually([&] { return Now(*controller).logReachable_; }));
  log_.down_ = true;
  ASSERT_TRUE(Eventually([&] { return !Now(*controller).logReachable_; }));
  EXPECT_TRUE(Recorded(EventId::LogDown));
  log_.SetZone(0, "out");
  log_.down_ = false;
  ASSERT_TRUE(Holds(*controller, 1));
  EXPECT_TRUE(Eventually([&] { return Now(*controller).logReachable_; }));
}

TEST_F(ConfigControllerTest, LearnsFromPeersInAnOutage)
{
  log_.down_ = true;
  const auto controller = Make(Options());
  controller->OnPeerEvidence({ .id_ = { 2 }, .zone_ = "b" },
                             { .version_ = { 7 }, .witness_ = true });
  controller->OnPeerEvidence({ .id_ = { 3 }, .zone_ = "c" },
                             { .version_ = { 8 }, .witness_ = true });
  EXPECT_FALSE(Now(*controller).witness_);
  controller->Offer(PeerState(8));
  controller->Offer(PeerState(7));
  EXPECT_EQ(controller->State()->version_.value_, 8U);
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
  EXPECT_TRUE(Now(*controller).witness_);
  EXPECT_FALSE(Now(*controller).logReachable_);
  EXPECT_EQ(changes_, 1);
  controller->OnPeerDisconnected({ 2 });
  EXPECT_TRUE(Now(*controller).witness_);
  controller->OnPeerDisconnected({ 3 });
  EXPECT_FALSE(Now(*controller).witness_);
}

TEST_F(ConfigControllerTest, BridgesAGapByASnapshot)
{
  log_.SetZone(0, "out");
  log_.SetZone(1, "in");
  ConfigState state{ .nextOffset_ = 2, .version_ = { 2 } };
  state.keys_["zone/a"] = { .version_ = { 2 }, .text_ = "in" };
  log_.Append(EncodeConfigRecord(ConfigSnapshot{ state }));
  log_.SetZone(2, "out");
  log_.DropBefore(2);
  const auto controller = Make(Options());
  ASSERT_TRUE(Holds(*controller, 4));
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
}

TEST_F(ConfigControllerTest, IsNoWitnessBehindAGap)
{
  log_.SetEntryZones("a");
  log_.SetZone(0, "out");
  log_.DropBefore(2);
  const auto controller = Make(Options());
  ASSERT_TRUE(Recorded(EventId::LogUp));
  std::this_thread::sleep_for(Millis(100));
  EXPECT_FALSE(Now(*controller).logReachable_);
  EXPECT_FALSE(Now(*controller).witness_);
  EXPECT_GT(Now(*controller).logAge_, std::chrono::hours(1));
}

TEST_F(ConfigControllerTest, AppendsSnapshotsForOthers)
{
  ConfigControllerOptions options = Options();
  options.snapshots_.maxRecords_ = 2;
  for (int i = 0; i < 3; ++i) {
    log_.SetZone(i, "out");
  }
  const auto controller = Make(options);
  ASSERT_TRUE(Eventually([&] { return log_.Size() == 4; }));
  std::this_thread::sleep_for(Millis(200));
  EXPECT_EQ(log_.Size(), 4U) << "a second snapshot was appended";
  log_.DropBefore(3);
  const auto late = Make(Options());
  ASSERT_TRUE(Holds(*late, 3));
  // The snapshot already brings the version, but the offset only advances with
  // the next record.
  EXPECT_TRUE(
    Eventually([&] { return *late->State() == *controller->State(); }));
}

TEST_F(ConfigControllerTest, StopsWhileTheLogIsSilent)
{
  log_.silent_ = true;
  auto controller = Make(Options());
  std::this_thread::sleep_for(Millis(50));
  const MonoTime begin = MonoClock::now();
  controller.reset();
  EXPECT_LT(MonoClock::now() - begin, kStopBound);
}

} // namespace
} // namespace cornelfront
