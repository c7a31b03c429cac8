#include "net/receive_timeout_monitor.h"

#include <sys/socket.h>

#include <algorithm>

namespace cornelfront {

namespace {

/// Bounds on the interval between two checks of the deadlines, which is a
/// fraction of the shortest limit.
constexpr Millis kMaxPeriod{ 250 };
constexpr Millis kMinPeriod{ 5 };
constexpr int kChecksPerLimit = 4;

Millis
CheckPeriod(Millis aLimit)
{
  return std::clamp(aLimit / kChecksPerLimit, kMinPeriod, kMaxPeriod);
}

} // namespace

void
RespondAndShutdownReceive(int aSocket, std::string_view aResponse)
{
  send(
    aSocket, aResponse.data(), aResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_RD);
}

void
RespondAndShutdownSend(int aSocket, std::string_view aResponse)
{
  send(
    aSocket, aResponse.data(), aResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_WR);
}

ReceiveTimeoutMonitor::ReceiveTimeoutMonitor(ReceiveTimeoutOptions aOptions)
  : options_(std::move(aOptions))
  , thread_([this] { Loop(); })
{
}

ReceiveTimeoutMonitor::~ReceiveTimeoutMonitor()
{
  {
    std::lock_guard lock(stopMutex_);
    stopping_ = true;
  }
  stopChanged_.notify_all();
  thread_.join();
}

void
ReceiveTimeoutMonitor::OnConnect(int aSocket, MonoTime aNow)
{
  receptions_.WithShard(aSocket, [&](auto& aReceptions) {
    aReceptions[aSocket] = { .deadline_ = aNow + options_.idleLimit_ };
  });
}

void
ReceiveTimeoutMonitor::OnRequestLine(int aSocket, MonoTime aNow)
{
  SetDeadline(aSocket, aNow + options_.requestLimit_);
}

bool
ReceiveTimeoutMonitor::OnReceived(int aSocket)
{
  return receptions_.WithShard(aSocket, [&](auto& aReceptions) {
    const auto found = aReceptions.find(aSocket);
    if (found == aReceptions.end()) {
      return true;
    }
    found->second.deadline_ = MonoTime::max();
    return !found->second.ended_;
  });
}

void
ReceiveTimeoutMonitor::OnAnswered(int aSocket, MonoTime aNow)
{
  SetDeadline(aSocket, aNow + options_.idleLimit_);
}

void
ReceiveTimeoutMonitor::OnClose(int aSocket)
{
  receptions_.WithShard(aSocket,
                        [&](auto& aReceptions) { aReceptions.erase(aSocket); });
}

void
ReceiveTimeoutMonitor::SetDeadline(int aSocket, MonoTime aDeadline)
{
  receptions_.WithShard(aSocket, [&](auto& aReceptions) {
    const auto found = aReceptions.find(aSocket);
    if (found != aReceptions.end()) {
      found->second.deadline_ = aDeadline;
    }
  });
}

void
ReceiveTimeoutMonitor::EndOverdue(MonoTime aNow)
{
  receptions_.ForEachShard([&](auto& aReceptions) {
    for (auto& [socket, reception] : aReceptions) {
      if (reception.deadline_ > aNow || reception.ended_) {
        continue;
      }
      // Called with the shard locked, so that the descriptor cannot be closed
      // and reused meanwhile. RespondAndShutdownReceive does not block.
      RespondAndShutdownReceive(socket, options_.response_);
      reception.ended_ = true;
    }
  });
}

void
ReceiveTimeoutMonitor::Loop()
{
  const Millis period =
    CheckPeriod(std::min(options_.requestLimit_, options_.idleLimit_));
  std::unique_lock lock(stopMutex_);
  while (!stopChanged_.wait_for(lock, period, [&] { return stopping_; })) {
    lock.unlock();
    EndOverdue(MonoClock::now());
    lock.lock();
  }
}

} // namespace cornelfront
