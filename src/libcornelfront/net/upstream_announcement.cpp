#include "net/upstream_announcement.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace cornelfront {

namespace {

using nlohmann::json;

constexpr unsigned kMaxSlots = 256;
constexpr Millis kMinLease{ 100 };
constexpr Millis kMaxLease{ 60000 };
constexpr unsigned kMaxPort = 65535;

} // namespace

UpstreamAnnouncement
ParseAnnouncement(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    throw std::invalid_argument("body must be a JSON object");
  }
  const auto number = [&](const char* aKey, uint64_t aMin, uint64_t aMax) {
    const auto found = body.find(aKey);
    if (found == body.end() || !found->is_number_unsigned() ||
        found->get<uint64_t>() < aMin || found->get<uint64_t>() > aMax) {
      throw std::invalid_argument(
        std::string(aKey) + " must be a number from " + std::to_string(aMin) +
        " to " + std::to_string(aMax));
    }
    return found->get<uint64_t>();
  };
  const auto service = body.find("service");
  if (service == body.end() || !service->is_string() ||
      service->get<std::string>().empty()) {
    throw std::invalid_argument("service must be a name");
  }
  UpstreamAnnouncement announcement;
  announcement.service_ = service->get<std::string>();
  announcement.port_ = static_cast<uint16_t>(number("port", 1, kMaxPort));
  announcement.slots_ = static_cast<unsigned>(number("slots", 1, kMaxSlots));
  announcement.lease_ =
    Millis(number("lease_ms",
                  static_cast<uint64_t>(kMinLease.count()),
                  static_cast<uint64_t>(kMaxLease.count())));
  return announcement;
}

} // namespace cornelfront
