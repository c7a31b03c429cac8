#include "cornelfront/job_settings.h"

#include "cornelfront/schema.h"

#include <gtest/gtest.h>

namespace cornelfront {
namespace {

const std::string kEntry = R"(job_entry:
  name: "front-a-1"
  zone: "a"
  clients: "10.1.0.13:8161"
  readiness: "10.1.0.13:8167"
  messages: "10.1.0.13:7720"
  metrics: "10.1.0.13:9464"
  store: "10.200.1.7:8169"
)";

const std::string kSidecar = R"(job_sidecar:
  name: "side-a-1"
  zone: "a"
  heartbeats: "10.1.0.14:8166"
  metrics: "10.1.0.14:9464"
  upstream: "10.1.0.14:8165"
  store: "10.200.1.7:8169"
  seeds: ["10.1.0.13:8166","10.2.0.30:8166"]
  message_port: 7720
  lease: "1000ms"
)";

size_t
CountErrors(const std::string& aYaml)
{
  try {
    ParseJobEntrySettings(aYaml);
  } catch (const FileErrors& errors) {
    return errors.Errors().size();
  }
  return 0;
}

TEST(JobSettingsTest, ParsesEntrySettings)
{
  const JobEntrySettings settings = ParseJobEntrySettings(kEntry);
  EXPECT_EQ(settings.name_, "front-a-1");
  EXPECT_EQ(FormatEndpoint(settings.store_), "10.200.1.7:8169");
  EXPECT_EQ(settings.stopLimit_, Millis(5000));
  EXPECT_EQ(FormatEndpoint(settings.advertised_), "10.1.0.13:7720");
  EXPECT_EQ(FormatEndpoint(
              ParseJobEntrySettings(kEntry + "  advertised: \"10.1.0.13:9\"\n")
                .advertised_),
            "10.1.0.13:9");
}

TEST(JobSettingsTest, ParsesSidecarSettings)
{
  const JobSidecarSettings settings = ParseJobSidecarSettings(kSidecar);
  EXPECT_EQ(settings.seeds_.size(), 2U);
  EXPECT_EQ(settings.messagePort_, 7720);
  EXPECT_EQ(settings.lease_, Millis(1000));
  const std::string alone = R"(job_sidecar: { name: s, zone: a,
    heartbeats: "10.1.0.14:1", metrics: "10.1.0.14:2",
    upstream: "10.1.0.14:3", store: "10.1.0.14:4", seeds: [],
    message_port: 5 })";
  EXPECT_TRUE(ParseJobSidecarSettings(alone).seeds_.empty());
}

TEST(JobSettingsTest, PrintedSettingsParseBack)
{
  const std::string entry = PrintSettings(ParseJobEntrySettings(kEntry));
  EXPECT_EQ(PrintSettings(ParseJobEntrySettings(entry)), entry);
  const std::string sidecar = PrintSettings(ParseJobSidecarSettings(kSidecar));
  EXPECT_EQ(PrintSettings(ParseJobSidecarSettings(sidecar)), sidecar);
}

TEST(JobSettingsTest, ReportsEveryError)
{
  EXPECT_EQ(CountErrors(kEntry), 0U);
  EXPECT_EQ(CountErrors("job_entry: { name: \"A b\", store: x }"), 7U);
  EXPECT_EQ(CountErrors(kEntry + "  odd: 1\n  stop_limit: 1ms\n"), 2U);
  EXPECT_EQ(CountErrors("job_entry: ["), 1U);
}

} // namespace
} // namespace cornelfront
