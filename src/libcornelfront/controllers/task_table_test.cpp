#include "controllers/task_table.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

constexpr MemberId kEntry{ 1 };
constexpr uint64_t kLink = 7;
const MonoTime kNow{ std::chrono::seconds(100) };

/// A table with one slot and one link.
class TaskTableTest : public testing::Test
{
protected:
  TaskTableTest()
    : table_(TaskTableOptions{})
  {
    table_.BindLink(kEntry, kLink);
    table_.SetSlots(1);
  }

  std::vector<TaskAnswer> Accept(uint64_t aSerial,
                                 TaskReason aRefuseReason = TaskReason::None)
  {
    std::vector<StartTask> tasks(1);
    tasks[0].id_ = { kEntry, aSerial };
    tasks[0].startWithin_ = Millis(100);
    return table_.Accept(kEntry, kLink, std::move(tasks), aRefuseReason, kNow);
  }

  TaskTable table_;
};

TEST_F(TaskTableTest, IsIdleOnlyOnceTheAnswerOfAFinishedTaskIsSent)
{
  EXPECT_TRUE(table_.IsIdle());
  Accept(1);
  EXPECT_FALSE(table_.IsIdle());
  const auto running = table_.Take(0);
  ASSERT_TRUE(running);
  EXPECT_FALSE(table_.IsIdle());
  table_.Finish({ .id_ = running->task_.id_ }, kNow);
  EXPECT_EQ(table_.Load().running_, 0U);
  EXPECT_FALSE(table_.IsIdle()) << "a stop would close the link too early";
  table_.OnAnswersSent(1);
  EXPECT_TRUE(table_.IsIdle());
}

TEST_F(TaskTableTest, IsNotIdleWhileARefusalIsUnsent)
{
  const auto refused = Accept(1, TaskReason::Draining);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_FALSE(table_.IsIdle());
  table_.OnAnswersSent(1);

  Accept(2);
  EXPECT_EQ(table_.Cancel({ { kEntry, 2 } }, kNow).size(), 1U);
  EXPECT_FALSE(table_.IsIdle());
  table_.OnAnswersSent(1);

  Accept(3);
  EXPECT_EQ(table_.Sweep(kNow + Millis(100)).size(), 1U);
  EXPECT_FALSE(table_.IsIdle());
  table_.OnAnswersSent(1);

  Accept(4);
  EXPECT_EQ(table_.RefuseQueued(TaskReason::NoUpstream, kNow).size(), 1U);
  EXPECT_FALSE(table_.IsIdle());
  table_.OnAnswersSent(1);
  EXPECT_TRUE(table_.IsIdle());
}

} // namespace
} // namespace cornelfront
