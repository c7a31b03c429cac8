#include "cornelfront/waiting_jobs.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MemberId kFirst{ 1 };
constexpr MemberId kSecond{ 2 };

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

PlacementNeed
Need(const std::string& aService)
{
  return { .service_ = aService, .resources_ = { .cpu_ = 1000 } };
}

WaitRank
Rank(int aNumber, int aLatestStartMs = 1000000)
{
  return { .submitted_ = At(aNumber),
           .instance_ = { "job-" + std::to_string(aNumber) },
           .latestStart_ = At(aLatestStartMs) };
}

class WaitingJobsTest : public testing::Test
{
protected:
  void BeginPass()
  {
    looked_ = 0;
    jobs_.BeginPass([this](const PlacementNeed& aNeed) {
      ++looked_;
      return openings_[aNeed.service_];
    });
  }

  /// The jobs of a pass in their order, each of which is placed.
  std::vector<std::string> PlaceAll(int aMs = 0)
  {
    std::vector<std::string> placed;
    BeginPass();
    for (const bool late : { false, true }) {
      while (const auto rank = jobs_.Next(late, At(aMs))) {
        placed.push_back(rank->instance_.job_);
        jobs_.Erase(*rank);
      }
    }
    return placed;
  }

  void Open(const std::string& aService, std::vector<MemberId> aOpen)
  {
    openings_[aService] = { .anyUpstream_ = true, .open_ = std::move(aOpen) };
  }

  using Names = std::vector<std::string>;

  WaitingJobs jobs_;
  std::map<std::string, Openings> openings_;
  size_t looked_ = 0;
};

TEST_F(WaitingJobsTest, JobsWithoutRoomHideNoOthers)
{
  Open("full", {});
  Open("idle", { kFirst });
  for (int i = 0; i < 1000; ++i) {
    jobs_.Add(Need("full"), Rank(i));
  }
  jobs_.Add(Need("idle"), Rank(2000));
  EXPECT_EQ(PlaceAll(), Names{ "job-2000" });
  EXPECT_EQ(jobs_.Size(), 1000U);
}

TEST_F(WaitingJobsTest, JobsOfAllNeedsWithRoomAreTriedInTheOrderOfTheirRank)
{
  Open("a", { kFirst });
  Open("b", { kSecond });
  jobs_.Add(Need("a"), Rank(3));
  jobs_.Add(Need("b"), Rank(2));
  jobs_.Add(Need("a"), Rank(1, 50));
  EXPECT_EQ(PlaceAll(100), (Names{ "job-2", "job-3", "job-1" }))
    << "the late one goes last";
}

TEST_F(WaitingJobsTest, AQueueWithoutRoomIsLeftForTheRestOfThePass)
{
  Open("a", { kFirst });
  jobs_.Add(Need("a"), Rank(1));
  jobs_.Add(Need("a"), Rank(2));
  BeginPass();
  ASSERT_EQ(jobs_.Next(false, At(0)), Rank(1));
  jobs_.Erase(Rank(1));
  jobs_.Add(Need("a"), Rank(1));
  EXPECT_FALSE(jobs_.Next(false, At(0)));
}

TEST_F(WaitingJobsTest, AJobThatIsSetApartIsTriedAgainWhereItHasNotBeen)
{
  Open("a", { kFirst });
  jobs_.Add(Need("a"), Rank(1));
  BeginPass();
  ASSERT_TRUE(jobs_.Next(false, At(0)));
  jobs_.SetApart(Need("a"), Rank(1), { kFirst });
  EXPECT_EQ(PlaceAll(), Names{});
  Open("a", { kFirst, kSecond });
  EXPECT_EQ(PlaceAll(), Names{ "job-1" });
}

// The second upstream has no room only at the moment at which the job is tried.
TEST_F(WaitingJobsTest, AnUpstreamThatAJobWasNotTriedOnCountsAsAnother)
{
  Open("a", { kFirst, kSecond });
  BeginPass();
  jobs_.Add(Need("a"), Rank(1));
  BeginPass();
  jobs_.SetApart(Need("a"), Rank(1), { kFirst });
  EXPECT_EQ(PlaceAll(), Names{ "job-1" });
}

TEST_F(WaitingJobsTest, AJobThatIsWokenIsTriedAgain)
{
  Open("a", { kFirst });
  jobs_.Add(Need("a"), Rank(1));
  BeginPass();
  ASSERT_TRUE(jobs_.Next(false, At(0)));
  jobs_.SetApart(Need("a"), Rank(1), { kFirst });
  EXPECT_EQ(PlaceAll(), Names{});
  jobs_.Wake(Rank(1));
  EXPECT_EQ(PlaceAll(), Names{ "job-1" });
}

// Each opening lets a bounded number return; the next ones go on behind them.
TEST_F(WaitingJobsTest, EachOfManyJobsThatAreSetApartIsTriedAgain)
{
  std::set<std::string> tried;
  for (int i = 0; i < 500; ++i) {
    jobs_.SetApart(Need("a"), Rank(i), {});
  }
  for (int pass = 0; pass < 20; ++pass) {
    Open("a", { pass % 2 == 0 ? kFirst : kSecond });
    BeginPass();
    while (const auto rank = jobs_.Next(false, At(0))) {
      tried.insert(rank->instance_.job_);
      jobs_.SetApart(Need("a"), *rank, openings_["a"].open_);
    }
  }
  EXPECT_EQ(tried.size(), 500U);
}

TEST_F(WaitingJobsTest, AJobMayWaitForSeveralNeeds)
{
  Open("a", {});
  Open("b", { kFirst });
  jobs_.Add(Need("a"), Rank(1));
  jobs_.Add(Need("b"), Rank(1));
  EXPECT_EQ(PlaceAll(), Names{ "job-1" });
  EXPECT_TRUE(jobs_.Empty());
}

TEST_F(WaitingJobsTest, NeedsThatNoUpstreamCanServeCostNothing)
{
  for (int i = 0; i < 100; ++i) {
    jobs_.Add(Need("none-" + std::to_string(i)), Rank(i));
  }
  BeginPass();
  EXPECT_EQ(looked_, 64U);
  BeginPass();
  EXPECT_EQ(looked_, 36U);
  BeginPass();
  EXPECT_EQ(looked_, 0U);
  Open("none-70", { kFirst });
  jobs_.OnUpstreamsChanged();
  Names placed = PlaceAll();
  const Names more = PlaceAll();
  placed.insert(placed.end(), more.begin(), more.end());
  EXPECT_EQ(placed, Names{ "job-70" });
}

TEST_F(WaitingJobsTest, EachOfManyNeedsIsLookedAtInTurn)
{
  for (int i = 0; i < 200; ++i) {
    const std::string service = "s-" + std::to_string(i);
    Open(service, {});
    jobs_.Add(Need(service), Rank(i));
  }
  std::set<std::string> looked;
  for (int pass = 0; pass < 4; ++pass) {
    jobs_.BeginPass([&](const PlacementNeed& aNeed) {
      looked.insert(aNeed.service_);
      return openings_[aNeed.service_];
    });
  }
  EXPECT_EQ(looked.size(), 200U);
}

} // namespace
} // namespace cornelfront
