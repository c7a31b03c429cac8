#include "cornelfront/ticker.h"

namespace cornelfront {

Ticker::Ticker(Millis aInterval, std::function<void()> aTick)
  : interval_(aInterval)
  , tick_(std::move(aTick))
  , thread_([this] { Run(); })
{
}

Ticker::~Ticker()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void
Ticker::Run()
{
  std::unique_lock lock(mutex_);
  while (!changed_.wait_for(lock, interval_, [this] { return stopping_; })) {
    lock.unlock();
    tick_();
    lock.lock();
  }
}

} // namespace cornelfront
