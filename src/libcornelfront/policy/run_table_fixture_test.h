#pragma once

/// \file
/// Fixture of the tests of RunTable.

#include "cornelfront/run_table.h"

#include <gtest/gtest.h>

namespace cornelfront::run_table_test {

inline constexpr MemberId kOwner{ 1 };
inline constexpr MemberId kOther{ 2 };
inline const std::string kJob = "00000000000000a1";
/// Longer than any test lasts.
inline constexpr Millis kAuthority{ 60000 };

inline MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

inline UpstreamInfo
Upstream(int64_t aStarted = 1)
{
  return { .id_ = "u1",
           .startedMs_ = aStarted,
           .service_ = "desk",
           .capacity_ = { .cpu_ = 4000, .memoryMb_ = 100 } };
}

inline StartRuns
Orders(uint32_t aCount, int64_t aCpu = 1000, uint8_t aPriority = 0)
{
  StartRuns orders{ .job_ = kJob,
                    .payload_ = "p",
                    .service_ = "desk",
                    .resources_ = { .cpu_ = aCpu, .memoryMb_ = 1 },
                    .priority_ = aPriority,
                    .estimate_ = Millis(100),
                    .timeToLatestStart_ = Millis(500),
                    .startTimeout_ = Millis(1000) };
  for (uint32_t i = 0; i < aCount; ++i) {
    orders.runs_.push_back({ i, 1 });
  }
  return orders;
}

inline RunKey
Key(uint32_t aIndex, uint32_t aRun = 1)
{
  return { { kJob, 0, 0, aIndex }, aRun };
}

class RunTableTest : public testing::Test
{
protected:
  RunTableTest()
  {
    table_.OnUpstream(Upstream(), At(0));
    table_.OnOwnerLinked(kOwner, At(0));
    Poll({}, 0);
  }

  /// Orders and starts runs at time 0; the upstream acknowledges them at 1 ms.
  void Start(uint32_t aCount)
  {
    table_.OnOrders(kOwner, Orders(aCount), At(0));
    for (const StartRequest& order : table_.TakeStarts(At(0))) {
      table_.OnStartAnswer(order.key_, StartAnswer::Started, {}, At(1));
    }
  }

  std::vector<RunReport> Reports(MemberId aOwner = kOwner)
  {
    return table_.TakeUpdates()[aOwner].reports_;
  }

  std::vector<RunKey> Stops(int aMs)
  {
    std::vector<RunKey> keys;
    for (const StopRequest& stop : table_.TakeStops(At(aMs))) {
      keys.push_back(stop.key_);
    }
    return keys;
  }

  /// A poll that starts and is answered at this time.
  void Poll(const UpstreamPollResult& aPollResult, int aMs)
  {
    const uint64_t begin = table_.BeginPoll();
    table_.OnPollResult(begin, aPollResult, At(aMs));
  }

  /// The upstream refuses the starts of these runs.
  void Refuse(uint32_t aFirst, uint32_t aEnd, int aMs)
  {
    for (uint32_t i = aFirst; i < aEnd; ++i) {
      table_.OnStartAnswer(Key(i), StartAnswer::Refused, {}, At(aMs));
    }
  }

  /// Ticks as a running process does, from and up to these times.
  void Tick(int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 50) {
      table_.Tick(At(ms));
    }
  }

  /// The same, while the owner is heard of.
  void Wait(int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 10) {
      table_.OnOwnerHeard(kOwner, At(ms));
      table_.Tick(At(ms));
    }
  }

  /// The same with polls, each with this answer. The upstream's clock shows the
  /// time of the test.
  void PollOften(UpstreamPollResult aPollResult, int aFirstMs, int aLastMs)
  {
    for (int ms = aFirstMs; ms <= aLastMs; ms += 50) {
      aPollResult.clock_ = UpstreamTime{ Millis(ms) };
      Poll(aPollResult, ms);
      table_.Tick(At(ms));
    }
  }

  RunTable table_{ RunTableOptions{} };
};

} // namespace cornelfront::run_table_test
