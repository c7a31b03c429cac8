#include "report.h"

#include <iostream>

namespace cornelfront {

using Json = nlohmann::ordered_json;

void
PrintJson(const Json& aJson)
{
  std::cout << aJson.dump(2, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

void
PrintUnreachable(const std::vector<UnreachableProcess>& aUnreachable)
{
  for (const UnreachableProcess& unreachable : aUnreachable) {
    std::cerr << "unreachable: " << unreachable.process_ << ": "
              << unreachable.reason_ << "\n";
  }
}

Json
ToJson(const std::vector<UnreachableProcess>& aUnreachable)
{
  Json list = Json::array();
  for (const UnreachableProcess& unreachable : aUnreachable) {
    list.push_back({ { "process", unreachable.process_ },
                     { "reason", unreachable.reason_ } });
  }
  return list;
}

} // namespace cornelfront
