#include "cornelfront/task_queue.h"

#include <gmock/gmock.h>

namespace cornelfront {
namespace {

using testing::ElementsAre;

constexpr MonoTime kStart{ std::chrono::hours(1) };

QueuedTask
Task(uint64_t aSerial, Priority aPriority, Millis aStartBy)
{
  return { .id_ = { .owner_ = { 1 }, .serial_ = aSerial },
           .priority_ = aPriority,
           .startBy_ = kStart + aStartBy,
           .arrival_ = aSerial };
}

std::vector<uint64_t>
Drain(TaskQueue& aQueue, MonoTime aNow)
{
  std::vector<uint64_t> serials;
  while (auto task = aQueue.PopNext(aNow)) {
    serials.push_back(task->id_.serial_);
  }
  return serials;
}

TEST(TaskQueue, OrdersByPriorityThenStartByThenArrival)
{
  TaskQueue queue;
  queue.Push(Task(1, Priority::Batch, Millis(10)));
  queue.Push(Task(2, Priority::Normal, Millis(30)));
  queue.Push(Task(4, Priority::Normal, Millis(20)));
  queue.Push(Task(3, Priority::Normal, Millis(20)));
  queue.Push(Task(5, Priority::Urgent, Millis(90)));
  EXPECT_THAT(Drain(queue, kStart), ElementsAre(5, 3, 4, 2, 1));
  EXPECT_EQ(queue.size(), 0U);
}

TEST(TaskQueue, ReturnsExpiredTasksSeparately)
{
  TaskQueue queue;
  queue.Push(Task(1, Priority::Urgent, Millis(10)));
  queue.Push(Task(2, Priority::Normal, Millis(20)));
  queue.Push(Task(3, Priority::Batch, Millis(5)));
  EXPECT_EQ(queue.NextExpiry(), kStart + Millis(5));
  const MonoTime now = kStart + Millis(20);
  EXPECT_THAT(Drain(queue, now), ElementsAre(2));
  EXPECT_THAT(queue.PopExpired(now),
              ElementsAre(TaskId{ { 1 }, 1 }, TaskId{ { 1 }, 3 }));
  EXPECT_EQ(queue.size(), 0U);
  EXPECT_FALSE(queue.NextExpiry());
}

TEST(TaskQueue, RemovesById)
{
  TaskQueue queue;
  EXPECT_TRUE(queue.Push(Task(1, Priority::Normal, Millis(10))));
  EXPECT_FALSE(queue.Push(Task(1, Priority::Urgent, Millis(10))));
  EXPECT_EQ(queue.CountOf(Priority::Normal), 1U);
  EXPECT_TRUE(queue.Remove({ { 1 }, 1 }));
  EXPECT_FALSE(queue.Remove({ { 1 }, 1 }));
  EXPECT_EQ(queue.size(), 0U);
  EXPECT_FALSE(queue.PopNext(kStart));
}

} // namespace
} // namespace cornelfront
