#include "cornelfront/settings.h"

#include "cornelfront/schema.h"

#include <gmock/gmock.h>

#include <fstream>
#include <sstream>

namespace cornelfront {
namespace {

using ::testing::ElementsAre;

const std::string kEntry = R"(entry:
  name: entry-1
  zone: cr-central-a
  http: 127.0.0.1:8080
  messages: 127.0.0.1:8081
  log_url: http://127.0.0.1:9000
)";

const std::string kSidecar = R"(sidecar:
  name: sidecar-1
  zone: cr-central-b
  http: 127.0.0.1:0
  seeds: ["127.0.0.1:8081", "127.0.0.1:8083"]
)";

// Returns "<line> <key>: <message>" for each error found.
template<class Parse>
std::vector<std::string>
ErrorsOf(Parse aParse, const std::string& aYaml)
{
  std::vector<std::string> texts;
  try {
    aParse(aYaml);
  } catch (const FileErrors& errors) {
    for (const FileError& error : errors.Errors()) {
      texts.push_back(std::to_string(error.line_) + " " + error.key_ + ": " +
                      error.message_);
    }
  }
  return texts;
}

TEST(Settings, UsesDefaultsForMissingKeys)
{
  const EntrySettings entry = ParseEntrySettings(kEntry);
  EXPECT_EQ(entry.name_, "entry-1");
  EXPECT_EQ(entry.messages_.port_, 8081);
  EXPECT_EQ(entry.links_.silenceBound_, Millis(3000));
  const SidecarSettings sidecar = ParseSidecarSettings(kSidecar);
  ASSERT_EQ(sidecar.seeds_.size(), 2U);
  EXPECT_EQ(sidecar.seeds_[1].port_, 8083);
}

TEST(Settings, PrintedSettingsParseBackToTheSame)
{
  EntrySettings entry = ParseEntrySettings(
    kEntry + "  seeds: [\"10.0.0.1:1\"]\n  drain_notice: 1500ms\n"
             "  links: {pulse_interval: 200ms, silence_bound: 1s}\n");
  const std::string printed = PrintSettings(entry);
  EXPECT_EQ(PrintSettings(ParseEntrySettings(printed)), printed);
  EXPECT_THAT(printed, ::testing::HasSubstr("drain_notice: 1500ms"));
  EXPECT_THAT(printed, ::testing::HasSubstr("pulse_interval: 200ms"));
  const std::string sidecar = PrintSettings(ParseSidecarSettings(kSidecar));
  EXPECT_EQ(PrintSettings(ParseSidecarSettings(sidecar)), sidecar);
}

TEST(Settings, AreAllDocumented)
{
  std::ifstream file(CORNELFRONT_SOURCE_DIR "/docs/OPERATING.md");
  std::ostringstream page;
  page << file.rdbuf();
  std::istringstream lines(PrintSettings(EntrySettings()) +
                           PrintSettings(SidecarSettings()));
  for (std::string line; std::getline(lines, line);) {
    const size_t start = line.find_first_not_of(' ');
    const std::string key = line.substr(start, line.find(':') - start);
    EXPECT_THAT(page.str(), ::testing::HasSubstr("`" + key + "`"));
  }
}

TEST(Settings, ReportsEveryErrorWithLineAndKey)
{
  const std::string yaml = R"(entry:
  name: Entry_1
  http: localhost:8080
  messages: 0.0.0.0:8081
  log_url: https://127.0.0.1:9000
  drain_limit: 30
  prefix_lifetime: 2h
  http_threads: 0
  colour: blue
  links:
    silence_bound: 2s
    pulse_interval: 1s
other: {}
)";
  EXPECT_THAT(
    ErrorsOf(ParseEntrySettings, yaml),
    ElementsAre(
      "2 entry.name: 'Entry_1' must consist of lowercase letters, digits and "
      "dashes",
      "2 entry.zone: is required",
      "3 entry.http: 'localhost:8080' must be an IPv4 address and a port",
      "5 entry.log_url: 'https://127.0.0.1:9000' must be http://<IPv4 "
      "address>:<port>",
      "6 entry.drain_limit: '30' must be a whole number with the unit ms, s "
      "or min",
      "7 entry.prefix_lifetime: '2h' must be a whole number with the unit ms, "
      "s or min",
      "8 entry.http_threads: 0 is outside 1 to 64",
      "9 entry.colour: is not a known key",
      "11 entry.links.silence_bound: 2s must exceed twice the pulse_interval "
      "of 1s",
      "13 other: is not a known key"));
}

TEST(Settings, RejectsContradictions)
{
  const struct
  {
    std::string addition_;
    std::string error_;
  } cases[] = {
    { "  freshness_bound: 1s\n",
      "6 sidecar.freshness_bound: 1s must exceed links.pulse_interval of 1s" },
    { "  result_retention: 2s\n",
      "6 sidecar.result_retention: 2s must exceed links.silence_bound of 3s" },
    { "  zone: b\n", "6 sidecar.zone: is given twice" },
    { "  seeds: [\"127.0.0.1:0\"]\n", "" },
    { "  queue_limit: 1.5\n",
      "6 sidecar.queue_limit: '1.5' must be a whole number" },
    { "  links: 3s\n", "6 sidecar.links: must be a mapping" },
  };
  for (const auto& test : cases) {
    const auto errors =
      ErrorsOf(ParseSidecarSettings, kSidecar + test.addition_);
    ASSERT_EQ(errors.size(), 1U) << test.addition_;
    if (!test.error_.empty()) {
      EXPECT_EQ(errors[0], test.error_);
    }
  }
}

TEST(Settings, RejectsInvalidSeeds)
{
  const std::string yaml = R"(sidecar:
  name: s
  zone: z
  http: 127.0.0.1:0
  seeds: ["127.0.0.1:0", "127.0.0.1:5", "127.0.0.1:5", "a:1"]
)";
  EXPECT_THAT(ErrorsOf(ParseSidecarSettings, yaml),
              ElementsAre("5 sidecar.seeds: 'a:1' must be an IPv4 address and "
                          "a port"));
  const std::string fixed = yaml.substr(0, yaml.find(", \"a:1\"")) + "]\n";
  EXPECT_THAT(
    ErrorsOf(ParseSidecarSettings, fixed),
    ElementsAre("5 sidecar.seeds: 127.0.0.1:0 is not an address to connect to",
                "5 sidecar.seeds: 127.0.0.1:5 is given twice"));
}

TEST(Settings, RejectsWhatIsNotAMapping)
{
  for (const char* yaml : { "", "entry", "[1]", "entry: [", "sidecar: {}" }) {
    EXPECT_FALSE(ErrorsOf(ParseEntrySettings, yaml).empty()) << yaml;
  }
}

} // namespace
} // namespace cornelfront
