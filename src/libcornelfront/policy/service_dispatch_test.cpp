#include "cornelfront/service_dispatch.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

using std::chrono_literals::operator""ms;

constexpr MemberId kSidecarA{ 1 };
constexpr MemberId kSidecarB{ 2 };

/// A ServiceDispatch with the sidecars A and B that collects its effects.
class ServiceDispatchTest : public testing::Test
{
protected:
  ServiceDispatchTest()
  {
    ReportReady(kSidecarA, 11);
    ReportReady(kSidecarB, 12);
  }

  void ReportReady(MemberId aSidecar, uint64_t aLink)
  {
    dispatch_.OnStatus(
      aSidecar, "a", aLink, { "desk", true, { 1, 0, 0 } }, now_, effects_);
  }

  void Submit(size_t aTasks, bool aMayRepeat = false)
  {
    JobSpec job{ .submission_ = "s",
                 .service_ = "desk",
                 .mayRepeat_ = aMayRepeat,
                 .startBy_ = now_ + 2000ms };
    for (size_t i = 0; i < aTasks; ++i) {
      job.tasks_.push_back({ call_, "body" });
    }
    dispatch_.Submit(
      std::move(job),
      [this](JobResult aResult) { results_.push_back(std::move(aResult)); },
      now_,
      effects_);
    ApplyEffects();
  }

  /// Calls the callbacks of finished jobs and collects the started tasks and
  /// the resolve requests.
  void ApplyEffects()
  {
    for (DispatchEffects::Finish& finish : effects_.finishes_) {
      finish.done_(std::move(finish.result_));
    }
    for (DispatchEffects::Send& send : effects_.sends_) {
      if (const auto* start = std::get_if<StartTasks>(&send.message_)) {
        for (const StartTask& task : start->tasks_) {
          starts_.emplace_back(send.sidecar_, task.id_);
        }
      }
      if (const auto* resolve = std::get_if<ResolveTasks>(&send.message_)) {
        resolves_.insert(
          resolves_.end(), resolve->tasks_.begin(), resolve->tasks_.end());
      }
    }
    effects_ = {};
  }

  void Answer(size_t aStart, TaskOutcome aOutcome, TaskReason aReason = {})
  {
    const auto [sidecar, id] = starts_.at(aStart);
    dispatch_.OnAnswers(
      sidecar,
      { { { .id_ = id, .outcome_ = aOutcome, .reason_ = aReason } },
        { 1, 0, 0 } },
      now_,
      effects_);
    ApplyEffects();
  }

  void Advance(Millis aBy)
  {
    now_ += aBy;
    dispatch_.Tick(now_, effects_);
    ApplyEffects();
  }

  std::shared_ptr<const CallSchema> call_ = std::make_shared<CallSchema>();
  MonoTime now_{ std::chrono::hours(1) };
  ServiceDispatch dispatch_{ { .self_ = MemberId{ 9 } } };
  DispatchEffects effects_;
  std::vector<JobResult> results_;
  std::vector<std::pair<MemberId, TaskId>> starts_;
  std::vector<TaskId> resolves_;
};

TEST_F(ServiceDispatchTest, CompletesOnlyAfterEveryTask)
{
  Submit(2);
  ASSERT_EQ(starts_.size(), 2U);
  Answer(0, TaskOutcome::Completed);
  EXPECT_TRUE(results_.empty());
  Answer(1, TaskOutcome::Completed);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].outcome_, Outcome::Completed);
  EXPECT_EQ(results_[0].answers_.size(), 2U);
}

TEST_F(ServiceDispatchTest, RefusedTaskIsSentElsewhere)
{
  Submit(1);
  Answer(0, TaskOutcome::NotRun, TaskReason::StaleConfig);
  ASSERT_EQ(starts_.size(), 2U);
  EXPECT_NE(starts_[0].first, starts_[1].first);
  EXPECT_NE(starts_[0].second, starts_[1].second);
}

TEST_F(ServiceDispatchTest, LostTaskIsNotStartedElsewhere)
{
  Submit(1);
  const auto [sidecar, id] = starts_.at(0);
  dispatch_.OnLinkDown(sidecar, sidecar == kSidecarA ? 11 : 12, now_, effects_);
  ApplyEffects();
  Advance(1999ms);
  EXPECT_TRUE(results_.empty());
  Advance(1ms);
  EXPECT_EQ(starts_.size(), 1U);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].outcome_, Outcome::Failed);
  EXPECT_TRUE(results_[0].mayHaveRun_);
}

TEST_F(ServiceDispatchTest, ReconnectedSidecarResolvesItsTasks)
{
  Submit(1);
  const auto [sidecar, id] = starts_.at(0);
  dispatch_.OnLinkDown(sidecar, sidecar == kSidecarA ? 11 : 12, now_, effects_);
  ReportReady(sidecar, 21);
  ApplyEffects();
  EXPECT_EQ(resolves_, std::vector{ id });
  Answer(0, TaskOutcome::NotRun, TaskReason::NeverSeen);
  EXPECT_EQ(starts_.size(), 2U);
  Answer(1, TaskOutcome::Completed);
  EXPECT_EQ(results_.at(0).outcome_, Outcome::Completed);
}

TEST_F(ServiceDispatchTest, UnsentTaskIsSentElsewhereOnce)
{
  Submit(1);
  const TaskId id = starts_.at(0).second;
  dispatch_.OnNotSent({ id }, now_, effects_);
  dispatch_.OnNotSent({ id }, now_, effects_);
  ApplyEffects();
  EXPECT_EQ(starts_.size(), 2U);
}

TEST_F(ServiceDispatchTest, OnlyRepeatableTasksRunAgainAfterAPossibleStart)
{
  Submit(1, true);
  Answer(0, TaskOutcome::MayHaveRun, TaskReason::UpstreamFailed);
  EXPECT_EQ(starts_.size(), 2U);
  EXPECT_TRUE(results_.empty());
}

TEST_F(ServiceDispatchTest, JobIsRefusedOnlyIfNothingStarted)
{
  Submit(1);
  Answer(0, TaskOutcome::NotRun, TaskReason::StartTooLate);
  EXPECT_EQ(results_.at(0).outcome_, Outcome::Refused);
  EXPECT_GE(results_.at(0).retryAfter_, 100ms);
  results_.clear();
  starts_.clear();
  Submit(2);
  Answer(0, TaskOutcome::NotRun, TaskReason::StartTooLate);
  EXPECT_EQ(results_.at(0).outcome_, Outcome::Failed);
  EXPECT_TRUE(results_.at(0).mayHaveRun_);
}

TEST_F(ServiceDispatchTest, QueuedTaskIsRefusedWhenItsStartTimePasses)
{
  Submit(20);
  const size_t sent = starts_.size();
  EXPECT_LT(sent, 20U);
  Advance(2001ms);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].reason_, TaskReason::StartTooLate);
  EXPECT_EQ(starts_.size(), sent);
}

TEST_F(ServiceDispatchTest, AnswersOfOtherSidecarsAreDropped)
{
  Submit(1);
  const auto [sidecar, id] = starts_.at(0);
  const MemberId other = sidecar == kSidecarA ? kSidecarB : kSidecarA;
  dispatch_.OnAnswers(
    other,
    { { { .id_ = id, .outcome_ = TaskOutcome::Completed } }, { 1, 0, 0 } },
    now_,
    effects_);
  EXPECT_EQ(effects_.unexpectedAnswers_, 1U);
  EXPECT_TRUE(results_.empty());
}

TEST_F(ServiceDispatchTest, CancelOfQueuedTasksIsARefusal)
{
  dispatch_.SetZoneEnabled("a", false, now_, effects_);
  Submit(3);
  EXPECT_TRUE(starts_.empty());
  dispatch_.Cancel("s", now_, effects_);
  ApplyEffects();
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].outcome_, Outcome::Refused);
  EXPECT_EQ(results_[0].reason_, TaskReason::Cancelled);
}

TEST_F(ServiceDispatchTest, TaskRefusedByAllIsRetriedAfterABackoff)
{
  Submit(1);
  Answer(0, TaskOutcome::NotRun, TaskReason::StaleConfig);
  Answer(1, TaskOutcome::NotRun, TaskReason::StaleConfig);
  EXPECT_EQ(starts_.size(), 2U);
  EXPECT_TRUE(results_.empty());
  Advance(10ms);
  EXPECT_EQ(starts_.size(), 3U);
}

} // namespace
} // namespace cornelfront
