#pragma once

/// \file
/// A thread that calls a function at regular intervals.

#include "cornelfront/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cornelfront {

/// Calls \p aTick every \p aInterval on its own thread. The destructor waits
/// for a call in progress.
class Ticker
{
public:
  Ticker(Millis aInterval, std::function<void()> aTick);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

private:
  void Run();

  const Millis interval_;
  const std::function<void()> tick_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace cornelfront
