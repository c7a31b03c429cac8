#include "cornelfront/dispatch_policy.h"

#include "policy/yaml_reader.h"

namespace cornelfront {

namespace {

constexpr Bounds<uint32_t> kQueueBounds{ 0, 1000 };
constexpr Bounds<Millis> kRampBounds{ Millis(0), std::chrono::minutes(5) };

void
ReadRule(YamlReader& aReader, RouteRule& aRule)
{
  std::string name;
  if (!aReader.Text("route_rule", name)) {
    return;
  }
  if (auto rule = ParseRouteRule(name)) {
    aRule = *rule;
  } else {
    aReader.AddError("route_rule", "'" + name + "' is not a routing rule");
  }
}

} // namespace

DispatchPolicy
ParseDispatchPolicy(const std::string& aYaml)
{
  DispatchPolicy policy;
  if (aYaml.empty()) {
    return policy;
  }
  std::vector<FileError> errors;
  YamlReader reader(LoadYaml(aYaml, errors), "", errors);
  ReadRule(reader, policy.rule_);
  reader.Boolean("ejection", policy.ejection_);
  reader.Number("queue_per_sidecar", policy.queuePerSidecar_, kQueueBounds);
  reader.Duration("ramp_time", policy.rampTime_, kRampBounds);
  reader.CheckKeys();
  if (!errors.empty()) {
    throw FileErrors(std::move(errors));
  }
  return policy;
}

} // namespace cornelfront
