#pragma once

/// \file
/// Classification of HTTP error statuses by whether the call may have had an
/// effect.

namespace cornelfront::platform {

/// True if this error status of the store or an executor means that the call
/// certainly had no effect. Other errors, such as 500 or 502, may come from an
/// intermediary that lost the actual response.
constexpr bool
IsCertainlyNotApplied(int aStatus)
{
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  constexpr int kInsufficientStorage = 507;
  return (aStatus >= kFirstClientError && aStatus < kFirstServerError) ||
         aStatus == kUnavailable || aStatus == kInsufficientStorage;
}

} // namespace cornelfront::platform
