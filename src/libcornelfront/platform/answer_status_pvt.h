#pragma once

/// \file
/// What the status of an answer says about a call that was not carried out as
/// asked.

namespace cornelfront::platform {

/// True if the store or an executor certainly did nothing. Other errors, such
/// as 500 or 502, may come from something between that lost the real answer.
constexpr bool
SaysNothingWasDone(int aStatus)
{
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  constexpr int kInsufficientStorage = 507;
  return (aStatus >= kFirstClientError && aStatus < kFirstServerError) ||
         aStatus == kUnavailable || aStatus == kInsufficientStorage;
}

} // namespace cornelfront::platform
