/// \file
/// What a JobEntry takes over at its start from the late orders in the store.

#include "cornelfront/job_entry.h"
#include "cornelfront/late_order_record.h"
#include "job_links_pvt.h"
#include "platform/store_stub_test.h"

#include <glog/logging.h>
#include <gtest/gtest.h>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cornelfront {
namespace {

constexpr MemberId kSidecar{ 7 };
constexpr Millis kLimit{ 5000 };

/// Keeps what is logged.
class LoggedLines : public google::LogSink
{
public:
  LoggedLines() { google::AddLogSink(this); }
  ~LoggedLines() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity,
            const char*,
            const char*,
            int,
            const google::LogMessageTime&,
            const char* aMessage,
            size_t aSize) override
  {
    const std::lock_guard lock(mutex_);
    lines_.emplace_back(aMessage, aSize);
  }

  /// Returns the first line with this text; empty if there is none.
  std::string Find(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& line : lines_) {
      if (line.find(aText) != std::string::npos) {
        return line;
      }
    }
    return "";
  }

private:
  std::mutex mutex_;
  std::vector<std::string> lines_;
};

uint16_t
UnusedPort()
{
  asio::io_context loop;
  return asio::ip::tcp::acceptor(loop, { asio::ip::address_v4::loopback(), 0 })
    .local_endpoint()
    .port();
}

/// An entry that has read nothing yet, a store that knows a late order of a
/// sidecar process, and the link of that process.
class JobEntryLateOrders : public testing::Test
{
protected:
  JobEntryLateOrders()
    : store_(loop_)
  {
    const KeyedRecord record =
      EncodeLateOrders({ .sidecarName_ = "sidecar",
                         .sidecar_ = kSidecar,
                         .orders_ = { { .task_ = { "a", 0, 0, 1 },
                                        .left_ = Millis(16000),
                                        .upstreamNumber_ = 1 } } });
    store_.Append(record.key_, record.value_);
    const Endpoint messages{ "127.0.0.1", UnusedPort() };
    entry_ = std::make_unique<JobEntry>(
      JobEntrySettings{ .name_ = "entry",
                        .clients_ = { "127.0.0.1", UnusedPort() },
                        .readiness_ = { "127.0.0.1", UnusedPort() },
                        .messages_ = messages,
                        .advertised_ = messages,
                        .metrics_ = { "127.0.0.1", UnusedPort() },
                        .store_ = store_.Address() });
    asio::ip::tcp::socket socket(pool_.Context());
    socket.connect({ asio::ip::make_address("127.0.0.1"), messages.port_ });
    sidecar_ = std::make_shared<Link>(
      std::move(socket),
      LinkSettings{},
      MakeJobLinkHandlers([](const LinkPtr&, Envelope&) {},
                          [](const LinkPtr&, const std::string&) {}));
    sidecar_->Start();
    sidecar_->Send(
      Hello{ .role_ = Role::Sidecar, .id_ = kSidecar, .name_ = "sidecar" });
  }

  ~JobEntryLateOrders() override { pool_.Stop(); }

  /// Returns the first line with this text, for which it waits. The store
  /// answers meanwhile only if \p aStore is set.
  std::string Await(const std::string& aText, bool aStore)
  {
    const MonoTime end = MonoClock::now() + kLimit;
    while (log_.Find(aText).empty() && MonoClock::now() < end) {
      if (aStore) {
        loop_.run_one_for(Millis(10));
      } else {
        std::this_thread::sleep_for(Millis(1));
      }
    }
    return log_.Find(aText);
  }

  LoggedLines log_;
  asio::io_context loop_;
  platform::StoreStub store_;
  IoPool pool_{ 1 };
  std::unique_ptr<JobEntry> entry_;
  LinkPtr sidecar_;
};

// The sidecar may be killed or cut off before its own list arrives.
TEST_F(JobEntryLateOrders, OfASidecarThatHasSaidHelloAloneAreTakenFromTheStore)
{
  ASSERT_NE(Await("outcome=linked", false), "");
  const std::string read = Await("late_orders ms=", true);
  EXPECT_NE(read.find(" tasks=1 "), std::string::npos) << read;
}

TEST_F(JobEntryLateOrders, OfASidecarThatHasToldItsListAreNotTaken)
{
  sidecar_->Send(LateOrders{ .all_ = true });
  sidecar_->Send(HeldRuns{});
  ASSERT_NE(Await("outcome=held_runs", false), "");
  const std::string read = Await("late_orders ms=", true);
  EXPECT_NE(read.find(" tasks=0 "), std::string::npos) << read;
}

} // namespace
} // namespace cornelfront
