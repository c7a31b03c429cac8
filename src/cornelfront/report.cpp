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
PrintUnreached(const std::vector<Unreached>& aUnreached)
{
  for (const Unreached& unreached : aUnreached) {
    std::cerr << "unreachable: " << unreached.process_ << ": "
              << unreached.reason_ << "\n";
  }
}

Json
ToJson(const std::vector<Unreached>& aUnreached)
{
  Json list = Json::array();
  for (const Unreached& unreached : aUnreached) {
    list.push_back(
      { { "process", unreached.process_ }, { "reason", unreached.reason_ } });
  }
  return list;
}

} // namespace cornelfront
