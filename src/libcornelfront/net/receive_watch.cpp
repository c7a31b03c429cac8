#include "net/receive_watch.h"

#include <sys/socket.h>

#include <algorithm>

namespace cornelfront {

namespace {

/// Bounds on the interval between two checks of the deadlines, which is a
/// fraction of the shortest limit.
constexpr Millis kLongestPeriod{ 250 };
constexpr Millis kShortestPeriod{ 5 };
constexpr int kChecksPerLimit = 4;

Millis
PeriodOf(Millis aLimit)
{
  return std::clamp(aLimit / kChecksPerLimit, kShortestPeriod, kLongestPeriod);
}

} // namespace

void
EndReception(int aSocket, std::string_view aResponse)
{
  send(
    aSocket, aResponse.data(), aResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_RD);
}

void
EndTransmission(int aSocket, std::string_view aResponse)
{
  send(
    aSocket, aResponse.data(), aResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_WR);
}

ReceiveWatch::ReceiveWatch(ReceiveWatchOptions aOptions)
  : options_(std::move(aOptions))
  , thread_([this] { Loop(); })
{
}

ReceiveWatch::~ReceiveWatch()
{
  {
    std::lock_guard lock(stopMutex_);
    stopping_ = true;
  }
  stopChanged_.notify_all();
  thread_.join();
}

void
ReceiveWatch::OnConnect(int aSocket, MonoTime aNow)
{
  deadlines_.WithShard(aSocket, [&](auto& aDeadlines) {
    aDeadlines[aSocket] = aNow + options_.idleLimit_;
  });
}

void
ReceiveWatch::OnRequestLine(int aSocket, MonoTime aNow)
{
  SetDeadline(aSocket, aNow + options_.requestLimit_);
}

void
ReceiveWatch::OnReceived(int aSocket)
{
  SetDeadline(aSocket, MonoTime::max());
}

void
ReceiveWatch::OnAnswered(int aSocket, MonoTime aNow)
{
  SetDeadline(aSocket, aNow + options_.idleLimit_);
}

void
ReceiveWatch::OnClose(int aSocket)
{
  deadlines_.WithShard(aSocket,
                       [&](auto& aDeadlines) { aDeadlines.erase(aSocket); });
}

void
ReceiveWatch::SetDeadline(int aSocket, MonoTime aDeadline)
{
  deadlines_.WithShard(aSocket, [&](auto& aDeadlines) {
    const auto found = aDeadlines.find(aSocket);
    if (found != aDeadlines.end()) {
      found->second = aDeadline;
    }
  });
}

void
ReceiveWatch::EndLate(MonoTime aNow)
{
  deadlines_.ForEachShard([&](auto& aDeadlines) {
    for (auto& [socket, deadline] : aDeadlines) {
      if (deadline > aNow) {
        continue;
      }
      // Called with the shard locked, so that the descriptor cannot be closed
      // and reused meanwhile. EndReception does not block.
      EndReception(socket, options_.response_);
      deadline = MonoTime::max();
    }
  });
}

void
ReceiveWatch::Loop()
{
  const Millis period =
    PeriodOf(std::min(options_.requestLimit_, options_.idleLimit_));
  std::unique_lock lock(stopMutex_);
  while (!stopChanged_.wait_for(lock, period, [&] { return stopping_; })) {
    lock.unlock();
    EndLate(MonoClock::now());
    lock.lock();
  }
}

} // namespace cornelfront
