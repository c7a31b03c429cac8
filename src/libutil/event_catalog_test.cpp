#include "cornelfront/events.h"

#include <gmock/gmock.h>

#include <fstream>
#include <sstream>

namespace cornelfront {
namespace {

// Returns "<id> <name> <level>" for each row of the table in docs/EVENTS.md.
std::vector<std::string>
RowsOfCatalog()
{
  std::ifstream file(CORNELFRONT_SOURCE_DIR "/docs/EVENTS.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    std::istringstream cells(line);
    std::string bar;
    std::string id;
    std::string name;
    std::string level;
    cells >> bar >> id >> bar >> name >> bar >> level;
    if (bar == "|" && id.find_first_not_of("0123456789") == std::string::npos) {
      rows.push_back(id + " " + name + " " + level);
    }
  }
  return rows;
}

TEST(EventCatalog, ListsExactlyTheEventsOfTheCode)
{
  std::vector<std::string> expected;
  for (const EventId id : AllEventIds()) {
    expected.push_back(std::to_string(static_cast<int>(id)) + " " +
                       std::string(EventName(id)) + " " +
                       std::string(ToString(LevelOf(id))));
  }
  EXPECT_THAT(RowsOfCatalog(), ::testing::ElementsAreArray(expected));
}

} // namespace
} // namespace cornelfront
