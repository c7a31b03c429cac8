#pragma once

/// \file
/// Helpers of processes whose state belongs to one event loop.

#include "cornelfront/clock.h"

#include <asio.hpp>

#include <functional>
#include <future>
#include <memory>

namespace cornelfront {

/// Runs \p aCall on the event loop and waits until it returns. Must not be
/// called from the loop itself.
/// \throws whatever \p aCall throws
inline void
RunOnLoop(asio::io_context& aLoop, const std::function<void()>& aCall)
{
  std::promise<void> done;
  asio::post(aLoop, [&] {
    try {
      aCall();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

/// Calls a function at a fixed interval on an event loop.
class LoopTimer
{
public:
  LoopTimer(asio::io_context& aLoop,
            Millis aInterval,
            std::function<void()> aTick)
    : timer_(aLoop)
    , interval_(aInterval)
    , tick_(std::move(aTick))
  {
    Wait();
  }

private:
  void Wait()
  {
    timer_.expires_after(interval_);
    timer_.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        tick_();
        Wait();
      }
    });
  }

  asio::steady_timer timer_;
  const Millis interval_;
  const std::function<void()> tick_;
};

} // namespace cornelfront
