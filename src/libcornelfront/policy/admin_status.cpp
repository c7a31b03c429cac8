#include "cornelfront/admin_status.h"

#include <nlohmann/json.hpp>

namespace cornelfront {
namespace {

using Json = nlohmann::ordered_json;

MemberId
MemberOf(const Json& aJson, const char* aKey)
{
  const std::string text = aJson.at(aKey).get<std::string>();
  const auto member = ParseMemberId(text);
  if (!member) {
    throw AdminStatusError("status: '" + text + "' is not a member id");
  }
  return *member;
}

Json
Encode(const KnownEntry& aEntry)
{
  return { { "id", ToString(aEntry.address_.id_) },
           { "zone", aEntry.address_.zone_ },
           { "host", aEntry.address_.host_ },
           { "port", aEntry.address_.port_ },
           { "http", aEntry.http_ } };
}

Json
Encode(const KnownSidecar& aSidecar)
{
  return { { "id", ToString(aSidecar.process_.member_) },
           { "name", aSidecar.process_.name_ },
           { "zone", aSidecar.process_.zone_ },
           { "http", aSidecar.http_ },
           { "service", aSidecar.service_ },
           { "ready", aSidecar.ready_ },
           { "config_version", aSidecar.configVersion_.value_ },
           { "slots", aSidecar.load_.slots_ },
           { "running", aSidecar.load_.running_ },
           { "queued", aSidecar.load_.queued_ } };
}

KnownEntry
DecodeEntry(const Json& aJson)
{
  return { .address_ = { .id_ = MemberOf(aJson, "id"),
                         .zone_ = aJson.at("zone").get<std::string>(),
                         .host_ = aJson.at("host").get<std::string>(),
                         .port_ = aJson.at("port").get<uint16_t>() },
           .http_ = aJson.value("http", std::string()) };
}

KnownSidecar
DecodeSidecar(const Json& aJson)
{
  return { .process_ = { .member_ = MemberOf(aJson, "id"),
                         .name_ = aJson.at("name").get<std::string>(),
                         .role_ = "sidecar",
                         .zone_ = aJson.at("zone").get<std::string>() },
           .http_ = aJson.value("http", std::string()),
           .service_ = aJson.at("service").get<std::string>(),
           .ready_ = aJson.at("ready").get<bool>(),
           .configVersion_ = { aJson.value("config_version", uint64_t{ 0 }) },
           .load_ = { .slots_ = aJson.value("slots", 0U),
                      .running_ = aJson.value("running", 0U),
                      .queued_ = aJson.value("queued", 0U) } };
}

template<class Item>
Json
EncodeAll(const std::vector<Item>& aItems)
{
  Json list = Json::array();
  for (const Item& item : aItems) {
    list.push_back(Encode(item));
  }
  return list;
}

template<class Item>
std::vector<Item>
DecodeAll(const Json& aJson, const char* aKey, Item (*aDecode)(const Json&))
{
  std::vector<Item> items;
  for (const Json& item : aJson.value(aKey, Json::array())) {
    items.push_back(aDecode(item));
  }
  return items;
}

} // namespace

std::string
EncodeAdminStatus(const AdminStatus& aStatus)
{
  const Json json{ { "member", ToString(aStatus.process_.member_) },
                   { "name", aStatus.process_.name_ },
                   { "zone", aStatus.process_.zone_ },
                   { "role", aStatus.process_.role_ },
                   { "http", aStatus.http_ },
                   { "config_version", aStatus.configVersion_.value_ },
                   { "log_reachable", aStatus.logReachable_ },
                   { "witness", aStatus.witness_ },
                   { "entries", EncodeAll(aStatus.entries_) },
                   { "sidecars", EncodeAll(aStatus.sidecars_) } };
  // Service names come from upstreams and may be invalid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminStatus
DecodeAdminStatus(const std::string& aJson)
{
  try {
    const Json json = Json::parse(aJson);
    return { .process_ = { .member_ = MemberOf(json, "member"),
                           .name_ = json.at("name").get<std::string>(),
                           .role_ = json.at("role").get<std::string>(),
                           .zone_ = json.at("zone").get<std::string>() },
             .http_ = json.value("http", std::string()),
             .configVersion_ = { json.at("config_version").get<uint64_t>() },
             .logReachable_ = json.value("log_reachable", false),
             .witness_ = json.value("witness", false),
             .entries_ = DecodeAll(json, "entries", DecodeEntry),
             .sidecars_ = DecodeAll(json, "sidecars", DecodeSidecar) };
  } catch (const Json::exception& error) {
    throw AdminStatusError(std::string("status: ") + error.what());
  }
}

} // namespace cornelfront
