#include "controllers/config_controller.h"
#include "memory_log_test.h"

#include <gtest/gtest.h>

#include <atomic>

namespace cornelfront {
namespace {

/// Maximum time to wait for another thread; exceeded only if the test fails.
constexpr Millis kDefaultTimeout{ 10000 };
constexpr Millis kMaxStopTime{ 4000 };

template<class Condition>
bool
WaitUntil(Condition aCondition)
{
  const MonoTime deadline = MonoClock::now() + kDefaultTimeout;
  while (!aCondition()) {
    if (MonoClock::now() > deadline) {
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

  std::unique_ptr<ConfigController> MakeController(
    const ConfigControllerOptions& aOptions)
  {
    return std::make_unique<ConfigController>(
      aOptions, events_, [this](const ConfigStatePtr&) { ++changes_; });
  }

  static bool WaitForVersion(const ConfigController& aController,
                             uint64_t aVersion)
  {
    return WaitUntil(
      [&] { return aController.State()->version_.value_ >= aVersion; });
  }

  bool WaitForEvent(EventId aId)
  {
    return WaitUntil([&] {
      for (const Event& event : events_.Since(0)) {
        if (event.id_ == aId) {
          return true;
        }
      }
      return false;
    });
  }

  static ConfigEvidence CurrentEvidence(const ConfigController& aController)
  {
    return aController.Evidence(MonoClock::now());
  }

  EventLog events_;
  InMemoryLogServer log_;
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
  log_.AppendEntryZones("a");
  const auto controller = MakeController(Options());
  ASSERT_TRUE(WaitForVersion(*controller, 1));
  EXPECT_TRUE(
    WaitUntil([&] { return CurrentEvidence(*controller).logReachable_; }));
  EXPECT_TRUE(CurrentEvidence(*controller).witness_);
  EXPECT_TRUE(controller->State()->ZoneIsIn("a"));
  log_.AppendZone(0, "out");
  log_.AppendZone(0, "in");
  log_.Append("junk");
  ASSERT_TRUE(WaitForVersion(*controller, 2));
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
  EXPECT_TRUE(WaitForEvent(EventId::ConfigConflict));
  EXPECT_TRUE(WaitForEvent(EventId::ConfigInvalid));
  EXPECT_TRUE(WaitForEvent(EventId::LogUp));
  EXPECT_EQ(changes_, 2);
}

TEST_F(ConfigControllerTest, ReportsAnOutageAndItsEnd)
{
  const auto controller = MakeController(Options());
  ASSERT_TRUE(
    WaitUntil([&] { return CurrentEvidence(*controller).logReachable_; }));
  log_.unavailable_ = true;
  ASSERT_TRUE(
    WaitUntil([&] { return !CurrentEvidence(*controller).logReachable_; }));
  EXPECT_TRUE(WaitForEvent(EventId::LogDown));
  log_.AppendZone(0, "out");
  log_.unavailable_ = false;
  ASSERT_TRUE(WaitForVersion(*controller, 1));
  EXPECT_TRUE(
    WaitUntil([&] { return CurrentEvidence(*controller).logReachable_; }));
}

TEST_F(ConfigControllerTest, AdoptsPeerStateDuringAnOutage)
{
  log_.unavailable_ = true;
  const auto controller = MakeController(Options());
  controller->OnPeerEvidence({ .id_ = { 2 }, .zone_ = "b" },
                             { .version_ = { 7 }, .witness_ = true });
  controller->OnPeerEvidence({ .id_ = { 3 }, .zone_ = "c" },
                             { .version_ = { 8 }, .witness_ = true });
  EXPECT_FALSE(CurrentEvidence(*controller).witness_);
  controller->Offer(PeerState(8));
  controller->Offer(PeerState(7));
  EXPECT_EQ(controller->State()->version_.value_, 8U);
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
  EXPECT_TRUE(CurrentEvidence(*controller).witness_);
  EXPECT_FALSE(CurrentEvidence(*controller).logReachable_);
  EXPECT_EQ(changes_, 1);
  controller->OnPeerDisconnected({ 2 });
  EXPECT_TRUE(CurrentEvidence(*controller).witness_);
  controller->OnPeerDisconnected({ 3 });
  EXPECT_FALSE(CurrentEvidence(*controller).witness_);
}

TEST_F(ConfigControllerTest, LoadsASnapshotAcrossAGap)
{
  log_.AppendZone(0, "out");
  log_.AppendZone(1, "in");
  ConfigState state{ .nextOffset_ = 2, .version_ = { 2 } };
  state.keys_["zone/a"] = { .version_ = { 2 }, .text_ = "in" };
  log_.Append(EncodeConfigRecord(ConfigSnapshot{ state }));
  log_.AppendZone(2, "out");
  log_.TruncateBefore(2);
  const auto controller = MakeController(Options());
  ASSERT_TRUE(WaitForVersion(*controller, 4));
  EXPECT_FALSE(controller->State()->ZoneIsIn("a"));
}

TEST_F(ConfigControllerTest, IsNoWitnessBehindAGap)
{
  log_.AppendEntryZones("a");
  log_.AppendZone(0, "out");
  log_.TruncateBefore(2);
  const auto controller = MakeController(Options());
  ASSERT_TRUE(WaitForEvent(EventId::LogUp));
  std::this_thread::sleep_for(Millis(100));
  EXPECT_FALSE(CurrentEvidence(*controller).logReachable_);
  EXPECT_FALSE(CurrentEvidence(*controller).witness_);
  EXPECT_GT(CurrentEvidence(*controller).logAge_, std::chrono::hours(1));
}

TEST_F(ConfigControllerTest, AppendsSnapshotsForOthers)
{
  ConfigControllerOptions options = Options();
  options.snapshots_.maxRecords_ = 2;
  for (int i = 0; i < 3; ++i) {
    log_.AppendZone(i, "out");
  }
  const auto controller = MakeController(options);
  ASSERT_TRUE(WaitUntil([&] { return log_.Size() == 4; }));
  std::this_thread::sleep_for(Millis(200));
  EXPECT_EQ(log_.Size(), 4U) << "a second snapshot was appended";
  log_.TruncateBefore(3);
  const auto late = MakeController(Options());
  ASSERT_TRUE(WaitForVersion(*late, 3));
  // The snapshot already brings the version, but the offset only advances with
  // the next record.
  EXPECT_TRUE(
    WaitUntil([&] { return *late->State() == *controller->State(); }));
}

TEST_F(ConfigControllerTest, StopsWhileTheLogDoesNotRespond)
{
  log_.unresponsive_ = true;
  auto controller = MakeController(Options());
  std::this_thread::sleep_for(Millis(50));
  const MonoTime begin = MonoClock::now();
  controller.reset();
  EXPECT_LT(MonoClock::now() - begin, kMaxStopTime);
}

} // namespace
} // namespace cornelfront
