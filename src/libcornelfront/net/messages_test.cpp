#include "cornelfront/messages.h"

#include <gtest/gtest.h>

#include <random>

namespace cornelfront {
namespace {

/// Returns one sample of every message type.
std::vector<Envelope>
Samples()
{
  const TaskId task{ MemberId{ 7 }, 9 };
  const EntryAddress entry{ MemberId{ 3 }, "a", "127.0.0.1", 4000 };
  ConfigState state;
  state.nextOffset_ = 4;
  state.keys_["zone/a"] = { ConfigVersion{ 3 }, "out" };
  const std::vector<Message> messages = {
    Hello{ Role::Entry, MemberId{ 1 }, "e1", "a", entry },
    Welcome{ entry, { entry, entry } },
    KeepAlive{},
    ConfigUpdate{ state },
    UpstreamStatus{ "desk", true, { 8, 1, 2 } },
    StartTasks{ "desk", { { task, "s", 1, "match", "body", Millis(5) } } },
    TaskAnswers{ { { task, TaskOutcome::Completed } }, { 8, 0, 0 } },
    CancelTasks{ { task } },
    ResolveTasks{ { task, task } },
    ForwardRequest{ 1, "POST", "/x", { { "a", "b" } }, {}, "body" },
    ForwardReply{ 1, 200, "text/plain", { { "a", "b" } }, "body" },
    Leaving{},
    StartRuns{ .job_ = "j", .payload_ = "p", .runs_ = { { 1, 2 } } },
    StopRuns{ { { { "j", 0, 1, 2 }, 3 } } },
    RunReports{ .reports_ = { { { { "j", 0, 1, 2 }, 3 }, RunEnd::Lost } },
                .stalled_ = { { { { "j", 0, 1, 2 }, 4 }, Millis(5), 6 } },
                .upstream_ = { .service_ = "desk", .labels_ = { "a" } } },
    HeldRuns{ .term_ = 1, .runs_ = { { { "j", 0, 1, 2 }, 3 } } },
    TakeOver{ 7, Millis(8) },
    AcknowledgeEnds{ { { { "j", 0, 1, 2 }, 3 } } },
    UpstreamCrashes{ { { 1,
                         CrashState::Proven,
                         { { "j", 0, 1, 2 } },
                         { { "j", 0, 1, 2 } } } } },
    LateOrders{ true,
                { { .task_ = { "j", 0, 1, 2 },
                    .state_ = LateOrderState::OnlyHere,
                    .left_ = Millis(7) } } },
    LeaderAuthority{ 7, Millis(8) },
  };
  std::vector<Envelope> samples;
  samples.reserve(messages.size());
  for (const Message& message : messages) {
    samples.push_back({ .sequence_ = samples.size() + 1,
                        .hybridStamp_ = 5,
                        .stamp_ = -6,
                        .echo_ = 7,
                        .evidence_ = { ConfigVersion{ 8 }, true, true },
                        .message_ = message });
  }
  return samples;
}

TEST(Messages, EveryKindRoundTrips)
{
  for (const Envelope& sample : Samples()) {
    const std::string bytes = Encode(sample);
    const Envelope decoded = Decode(bytes);
    EXPECT_EQ(decoded.message_.index(), sample.message_.index());
    EXPECT_EQ(Encode(decoded), bytes) << KindOf(sample.message_);
  }
}

TEST(Messages, EveryTruncationIsRejected)
{
  for (const Envelope& sample : Samples()) {
    const std::string bytes = Encode(sample);
    for (size_t length = 0; length < bytes.size(); ++length) {
      EXPECT_THROW(Decode(std::string_view(bytes).substr(0, length)),
                   DecodeError);
    }
    EXPECT_THROW(Decode(bytes + "x"), DecodeError);
  }
}

TEST(Messages, MutatedBytesDecodeOrAreRejected)
{
  constexpr int kMutationsPerSample = 3000;
  std::mt19937_64 random(20261203);
  for (const Envelope& sample : Samples()) {
    const std::string bytes = Encode(sample);
    for (int i = 0; i < kMutationsPerSample; ++i) {
      std::string mutated = bytes;
      const size_t changes = 1 + random() % 4;
      for (size_t j = 0; j < changes; ++j) {
        mutated[random() % mutated.size()] = static_cast<char>(random());
      }
      try {
        Encode(Decode(mutated));
      } catch (const DecodeError&) {
        continue;
      }
    }
  }
}

TEST(Messages, ClaimedLengthIsNotAllocated)
{
  std::string bytes = Encode({ .message_ = CancelTasks{ { TaskId{} } } });
  // The element count of the vector is the last length in the payload; setting
  // its most significant byte makes it exceed the payload.
  const size_t count = bytes.size() - sizeof(TaskId) - sizeof(uint64_t);
  bytes[count + 7] = 0x7F;
  EXPECT_THROW(Decode(bytes), DecodeError);
}

} // namespace
} // namespace cornelfront
