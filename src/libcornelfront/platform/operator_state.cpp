#include "platform/operator_state.h"

#include "platform/json_fields_pvt.h"

#include <glog/logging.h>

#include <algorithm>

namespace cornelfront::platform {
namespace {

using nlohmann::json;

constexpr std::string_view kConfigKey = "config";
constexpr std::string_view kEvacuationPrefix = "evacuate/";
constexpr int64_t kHighestPriority = 255;

Route
ParseRoute(const json& aRoute)
{
  if (!aRoute.is_object()) {
    throw WireFormatError("a route is not a JSON object");
  }
  Route route;
  route.host_ = RequiredText(aRoute, "host");
  route.pathPrefix_ = RequiredText(aRoute, "pathPrefix");
  route.timeout_ = Millis(IntegerField(aRoute, "timeoutMs", 0));
  route.queue_.name_ = RequiredText(aRoute, "name");
  route.queue_.service_ = RequiredText(aRoute, "service");
  route.queue_.priority_ = static_cast<uint8_t>(
    std::min(IntegerField(aRoute, "priority", 0), kHighestPriority));
  route.queue_.attempts_ = std::max(CountField(aRoute, "attempts", 1), 1U);
  route.queue_.stretch_ = NumberField(aRoute, "stretch", 1.0);
  route.queue_.slo_ = Millis(IntegerField(aRoute, "sloMs", 0));
  return route;
}

/// Applies the configuration in \p aText unless \p aState already has this or a
/// later version.
void
ApplyConfig(std::string_view aText, OperatorState& aState)
{
  const json config = ParseObject(aText);
  const int64_t version = IntegerField(config, "version", 0);
  if (version <= aState.version_) {
    return;
  }
  std::vector<Route> routes;
  for (const json& route : ListField(config, "routes")) {
    routes.push_back(ParseRoute(route));
  }
  aState.version_ = version;
  aState.routes_ = std::move(routes);
}

std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

const Route*
OperatorState::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const Route* best = nullptr;
  for (const Route& route : routes_) {
    const bool matches =
      WithoutPort(aHost) == route.host_ &&
      aPath.substr(0, route.pathPrefix_.size()) == route.pathPrefix_;
    if (matches && (best == nullptr ||
                    route.pathPrefix_.size() > best->pathPrefix_.size())) {
      best = &route;
    }
  }
  return best;
}

std::set<std::string>
ReadZonesOut(const std::map<std::string, std::string>& aRecords)
{
  std::set<std::string> zones;
  for (const auto& [key, value] : aRecords) {
    if (key.starts_with(kEvacuationPrefix)) {
      zones.insert(key.substr(kEvacuationPrefix.size()));
    }
  }
  return zones;
}

OperatorState
ReadOperatorState(const std::map<std::string, std::string>& aRecords,
                  const OperatorState& aBefore)
{
  OperatorState state = aBefore;
  state.zonesOut_ = ReadZonesOut(aRecords);
  const auto config = aRecords.find(std::string(kConfigKey));
  if (config == aRecords.end()) {
    return state;
  }
  try {
    ApplyConfig(config->second, state);
  } catch (const WireFormatError& error) {
    LOG(ERROR) << "invalid configuration ignored: " << error.what()
               << "; version " << state.version_ << " stays in force";
  }
  return state;
}

} // namespace cornelfront::platform
