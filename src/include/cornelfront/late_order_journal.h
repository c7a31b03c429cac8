#pragma once

/// \file
/// Which late orders of a sidecar are to be written to the store. Processes
/// that start after all those that the sidecar has told are gone read them
/// there.

#include "cornelfront/clock.h"
#include "cornelfront/run_messages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cornelfront {

/// Collects late orders into batches, a bounded number per second. Not
/// thread-safe. All times are from BootNow.
class LateOrderJournal
{
public:
  /// Notes a change that the entries are told. An order that is settled before
  /// it has been written never is.
  void Note(const LateOrders& aChanges, MonoTime aNow);
  /// Returns the orders to be written now, all of them as held. Empty if there
  /// are none, while a batch is being written, and for some time after one.
  std::vector<LateOrder> TakeBatch(MonoTime aNow);
  /// The last batch has been written, or is to be written again; each failure
  /// makes the time until the next one longer.
  void OnWritten(bool aWritten);

private:
  enum class State : uint8_t
  {
    Waiting,
    InBatch,
    Written,
  };

  /// What the store is to know of an order, or knows.
  struct Entry
  {
    MonoTime until_;
    uint32_t upstreamNumber_ = 0;
    State state_ = State::Waiting;
  };

  std::map<JobTaskId, Entry> orders_;
  bool writing_ = false;
  MonoTime lastBatch_;
  /// Least time from the last batch to the next.
  Millis pause_{ 0 };
};

} // namespace cornelfront
