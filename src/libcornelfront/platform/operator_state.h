#pragma once

/// \file
/// What the operator has written to the platform's store: the configuration
/// and the zones that are out of service.

#include "cornelfront/clock.h"
#include "cornelfront/job_engine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront::platform {

/// Topic that holds the operator's records.
inline constexpr std::string_view kOperatorTopic = "keyed.op";

struct Route
{
  std::string host_;
  std::string pathPrefix_;
  /// Bound on the answer to one request; 0 if there is none.
  Millis timeout_{ 0 };
  JobQueue queue_;
};

struct OperatorState
{
  /// 0 before the first configuration.
  int64_t version_ = 0;
  std::vector<Route> routes_;
  std::set<std::string> zonesOut_;

  /// The route for a host and path: that with the longest prefix of the path;
  /// nullptr if there is none. \p aHost may carry a port.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
};

/// Reads the newest records of the operator's topic, by key. Records that
/// can't be read are logged and left out; a configuration that can't be read,
/// or is older, leaves the one of \p aBefore in force.
OperatorState
ReadOperatorState(const std::map<std::string, std::string>& aRecords,
                  const OperatorState& aBefore);

} // namespace cornelfront::platform
