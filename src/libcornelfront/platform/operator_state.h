#pragma once

/// \file
/// State that the operator publishes in the platform's store: the configuration
/// and the zones that are out of service.

#include "cornelfront/clock.h"
#include "cornelfront/job_scheduler.h"

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
  /// Timeout of one request; 0 if there is none.
  Millis timeout_{ 0 };
  JobQueue queue_;
};

struct OperatorState
{
  /// Version of the configuration; 0 before the first one is read.
  int64_t version_ = 0;
  std::vector<Route> routes_;
  std::set<std::string> zonesOut_;

  /// Returns the route of this host with the longest matching path prefix, or
  /// nullptr if none matches. \p aHost may include a port.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
};

/// Returns the zones that the operator has taken out of service, from the
/// newest record of each key in the operator's topic.
std::set<std::string>
ReadZonesOut(const std::map<std::string, std::string>& aRecords);

/// Builds the state from the newest record of each key in the operator's topic.
/// Unknown keys are ignored. If the configuration is invalid, which is logged,
/// or not newer, that of \p aBefore stays in force.
OperatorState
ReadOperatorState(const std::map<std::string, std::string>& aRecords,
                  const OperatorState& aBefore);

} // namespace cornelfront::platform
