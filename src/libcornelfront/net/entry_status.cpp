#include "net/entry_status.h"

#include <nlohmann/json.hpp>

namespace cornelfront {

namespace {

using nlohmann::json;

json
ToJson(const EntryAddress& aEntry)
{
  return { { "id", ToString(aEntry.id_) },
           { "zone", aEntry.zone_ },
           { "host", aEntry.host_ },
           { "port", aEntry.port_ },
           { "http", aEntry.http_ } };
}

json
ToJson(const SidecarView& aSidecar)
{
  return { { "id", ToString(aSidecar.id_) },
           { "name", aSidecar.name_ },
           { "zone", aSidecar.zone_ },
           { "http", aSidecar.http_ },
           { "service", aSidecar.status_.service_ },
           { "ready", aSidecar.status_.ready_ },
           { "config_version", aSidecar.configVersion_.value_ },
           { "slots", aSidecar.status_.load_.slots_ },
           { "running", aSidecar.status_.load_.running_ },
           { "queued", aSidecar.status_.load_.queued_ } };
}

} // namespace

std::string
EntryStatusJson(const EntryStatus& aStatus)
{
  json entries = json::array();
  for (const EntryAddress& entry : aStatus.entries_) {
    entries.push_back(ToJson(entry));
  }
  json sidecars = json::array();
  for (const SidecarView& sidecar : aStatus.sidecars_) {
    sidecars.push_back(ToJson(sidecar));
  }
  const json body = { { "member", ToString(aStatus.self_.id_) },
                      { "name", aStatus.name_ },
                      { "zone", aStatus.self_.zone_ },
                      { "role", "entry" },
                      { "http", aStatus.http_ },
                      { "config_version", aStatus.evidence_.version_.value_ },
                      { "log_reachable", aStatus.evidence_.logReachable_ },
                      { "witness", aStatus.evidence_.witness_ },
                      { "entries", std::move(entries) },
                      { "sidecars", std::move(sidecars) } };
  // Names come from other processes and need not be valid UTF-8.
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace cornelfront
