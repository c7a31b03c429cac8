/// \file
/// Orders whose first write the kernel takes no byte of (EAGAIN), which libcurl
/// sends later and does not count in CURLINFO_REQUEST_SIZE.

#include "net/dropping_server_test.h"
#include "platform/executor_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cerrno>
#include <dlfcn.h>
#include <optional>
#include <string_view>
#include <sys/socket.h>

namespace {

/// Number of writes of orders that are yet to be blocked.
std::atomic<int>&
BlockedWrites()
{
  static std::atomic<int> sWrites = 0;
  return sWrites;
}

} // namespace

/// Takes the place of the C library's function, for libcurl too.
extern "C" ssize_t
send(int aSocket, const void* aData, size_t aSize, int aFlags)
{
  using Send = ssize_t (*)(int, const void*, size_t, int);
  static const auto sSend = reinterpret_cast<Send>(dlsym(RTLD_NEXT, "send"));
  const std::string_view data(static_cast<const char*>(aData), aSize);
  if (BlockedWrites() > 0 && data.starts_with("POST /run-start")) {
    --BlockedWrites();
    errno = EAGAIN;
    return -1;
  }
  return sSend(aSocket, aData, aSize, aFlags);
}

namespace cornelfront::platform {
namespace {

using Fate = DroppingServer::Fate;

class BlockedSend : public testing::Test
{
protected:
  StartAnswer Start()
  {
    std::optional<StartAnswer> answer;
    client_.Start({ .key_ = { {}, 1 }, .upstreamRunNumber_ = 1 },
                  {},
                  Millis(5000),
                  [&](StartAnswer aAnswer, std::optional<UpstreamTime>) {
                    answer = aAnswer;
                  });
    const MonoTime end = MonoClock::now() + Millis(8000);
    while (!answer && MonoClock::now() < end) {
      loop_.run_one_for(Millis(20));
    }
    EXPECT_TRUE(answer.has_value());
    return answer.value_or(StartAnswer::Refused);
  }

  asio::io_context loop_;
  DroppingServer executor_{ loop_,
                            { .body_ = R"({"clockMs":5,"born":4000})" } };
  ExecutorClient client_{ loop_, { "127.0.0.1", executor_.Port() } };
};

TEST_F(BlockedSend, AnOrderThatWasCarriedOutIsNotToldAsRefused)
{
  Start();
  executor_.AddSteps({ Fate::AnswerLost, 503 });
  BlockedWrites() = 1;
  EXPECT_EQ(Start(), StartAnswer::Unknown);
  EXPECT_EQ(BlockedWrites(), 0);
  EXPECT_EQ(executor_.Arrived().size(), 2U);
}

TEST_F(BlockedSend, AnOrderThatWasCarriedOutIsNotToldAsNotSent)
{
  executor_.AddSteps({ Fate::AnswerLost });
  BlockedWrites() = 1;
  EXPECT_EQ(Start(), StartAnswer::Unknown);
  EXPECT_EQ(BlockedWrites(), 0);
  EXPECT_EQ(executor_.CarriedOut().size(), 1U);
}

} // namespace
} // namespace cornelfront::platform
