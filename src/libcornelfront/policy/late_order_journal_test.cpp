#include "cornelfront/late_order_journal.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const JobTaskId kTask{ "a", 0, 0, 1 };
const JobTaskId kSecond{ "a", 0, 0, 2 };
constexpr uint32_t kNumber = 5;

MonoTime
At(int aMs)
{
  return MonoTime(std::chrono::hours(1)) + Millis(aMs);
}

LateOrders
Change(const JobTaskId& aTask,
       LateOrderState aState,
       Millis aLeft = Millis(12000),
       uint32_t aNumber = kNumber)
{
  return { .orders_ = { { aTask, aState, aLeft, aNumber } } };
}

TEST(LateOrderJournalTest, AnOrderIsWrittenOnceWhateverItsState)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held), At(0));
  const auto batch = journal.TakeBatch(At(30));
  ASSERT_EQ(batch.size(), 1U);
  EXPECT_EQ(batch[0].task_, kTask);
  EXPECT_EQ(batch[0].state_, LateOrderState::Held);
  EXPECT_EQ(batch[0].left_, Millis(11970));
  EXPECT_EQ(batch[0].upstreamNumber_, kNumber);
  journal.OnWritten(true);
  journal.Note(Change(kTask, LateOrderState::OnlyHere, Millis(11000)), At(500));
  EXPECT_TRUE(journal.TakeBatch(At(1000)).empty());
}

TEST(LateOrderJournalTest, ALongerTimeAndAnotherNumberAreWrittenAgain)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held), At(0));
  EXPECT_EQ(journal.TakeBatch(At(0)).size(), 1U);
  journal.OnWritten(true);
  journal.Note(Change(kTask, LateOrderState::Held), At(1000));
  EXPECT_EQ(journal.TakeBatch(At(1000)).size(), 1U);
  journal.OnWritten(true);
  journal.Note(Change(kTask, LateOrderState::Held, Millis(100), kNumber + 1),
               At(2000));
  const auto batch = journal.TakeBatch(At(2000));
  ASSERT_EQ(batch.size(), 1U);
  EXPECT_EQ(batch[0].upstreamNumber_, kNumber + 1);
}

TEST(LateOrderJournalTest, AnOrderThatWasSettledBeforeIsNotWritten)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held), At(0));
  journal.Note(Change(kTask, LateOrderState::Settled), At(10));
  EXPECT_TRUE(journal.TakeBatch(At(50)).empty());
  journal.Note(Change(kTask, LateOrderState::Held, Millis(20)), At(60));
  EXPECT_TRUE(journal.TakeBatch(At(80)).empty()) << "its time has passed";
}

TEST(LateOrderJournalTest, ABatchThatTheStoreDidNotTakeIsWrittenAgain)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held), At(0));
  EXPECT_EQ(journal.TakeBatch(At(0)).size(), 1U);
  journal.OnWritten(false);
  EXPECT_TRUE(journal.TakeBatch(At(399)).empty());
  EXPECT_EQ(journal.TakeBatch(At(400)).size(), 1U);
}

// All sidecars share the store's quota of calls.
TEST(LateOrderJournalTest, AStoreThatRefusesIsAskedLessAndLessOften)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held, Millis(16000)), At(0));
  int batches = 0;
  for (int ms = 0; ms < 16000; ms += 50) {
    if (!journal.TakeBatch(At(ms)).empty()) {
      ++batches;
      journal.OnWritten(false);
    }
  }
  EXPECT_LT(batches, 16);
}

TEST(LateOrderJournalTest, OneBatchAtATimeAndAPauseBetweenTwo)
{
  LateOrderJournal journal;
  journal.Note(Change(kTask, LateOrderState::Held), At(0));
  EXPECT_EQ(journal.TakeBatch(At(0)).size(), 1U);
  journal.Note(Change(kSecond, LateOrderState::Held), At(10));
  EXPECT_TRUE(journal.TakeBatch(At(1000)).empty()) << "one is being written";
  journal.OnWritten(true);
  EXPECT_EQ(journal.TakeBatch(At(1010)).size(), 1U);
  journal.OnWritten(true);
  journal.Note(Change(kTask, LateOrderState::Held), At(1020));
  EXPECT_TRUE(journal.TakeBatch(At(1100)).empty());
  EXPECT_EQ(journal.TakeBatch(At(1300)).size(), 1U);
}

} // namespace
} // namespace cornelfront
