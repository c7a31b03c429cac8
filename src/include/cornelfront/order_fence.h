#pragma once

/// \file
/// Fencing token of the calls to one upstream: orders that may still be under
/// way are refused by an upstream that has seen a later call.

#include "cornelfront/upstream_time.h"

#include <cstdint>

namespace cornelfront {

/// An upstream does nothing for a call with a lower fence than it has seen.
/// Each incarnation begins anew, so that one which starts again under the id
/// that it had takes orders for the earlier one until a call with a higher
/// fence has reached it. The fence therefore rises
/// - with each call without an answer: the next call that is answered ends all
///   orders before it, whichever incarnation answers;
/// - with the upstream's clock from one process of ours to the next: a
///   replacement begins above all that its predecessor has sent.
/// Not thread-safe.
class OrderFence
{
public:
  int64_t Value() const { return value_; }

  /// All following calls are meant for the incarnation that started at
  /// \p aStartedMs, in milliseconds since 1970, and whose clock is at \p aClock
  /// or later; 0 if that is not known.
  void OnIncarnation(int64_t aStartedMs, UpstreamTime aClock);
  /// A call had no answer, or that of another incarnation.
  void OnNoAnswer();
  /// A call with the fence \p aSent was refused, since the upstream has seen a
  /// higher one.
  void OnRefused(int64_t aSent);

private:
  int64_t value_ = 0;
  /// By how much the next refusal raises the fence, in milliseconds like the
  /// start times.
  int64_t step_ = 0;
};

} // namespace cornelfront
