#include "platform/operator_state.h"

#include <gtest/gtest.h>

namespace cornelfront::platform {
namespace {

std::string
Config(int aVersion, const std::string& aService = "desk")
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"q1","host":"a.example","pathPrefix":"/q/",
"service":")" +
         aService + R"(","priority":1,"attempts":3,"stretch":1.6,"sloMs":60,
"timeoutMs":1500},{"name":"q2","host":"a.example","pathPrefix":"/q/long/",
"service":"desk"}]})";
}

TEST(OperatorStateTest, ReadsQueuesAndZones)
{
  const OperatorState state =
    ReadOperatorState({ { "config", Config(7) }, { "evacuate/z1", "{}" } }, {});
  EXPECT_EQ(state.version_, 7);
  EXPECT_EQ(state.zonesOut_, std::set<std::string>{ "z1" });
  const Route* route = state.FindRoute("a.example:80", "/q/0000");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->queue_.name_, "q1");
  EXPECT_EQ(route->queue_.attempts_, 3U);
  EXPECT_EQ(route->queue_.slo_, Millis(60));
  EXPECT_EQ(route->timeout_, Millis(1500));
}

TEST(OperatorStateTest, PrefersTheLongestPrefix)
{
  const OperatorState state =
    ReadOperatorState({ { "config", Config(1) } }, {});
  EXPECT_EQ(state.FindRoute("a.example", "/q/long/1")->queue_.name_, "q2");
  EXPECT_EQ(state.FindRoute("a.example", "/other"), nullptr);
  EXPECT_EQ(state.FindRoute("b.example", "/q/1"), nullptr);
}

TEST(OperatorStateTest, IgnoresAnOlderVersion)
{
  OperatorState state = ReadOperatorState({ { "config", Config(7) } }, {});
  state = ReadOperatorState({ { "config", Config(6, "other") } }, state);
  EXPECT_EQ(state.version_, 7);
  EXPECT_EQ(state.routes_[0].queue_.service_, "desk");
  state = ReadOperatorState({ { "config", Config(8, "other") } }, state);
  EXPECT_EQ(state.routes_[0].queue_.service_, "other");
}

TEST(OperatorStateTest, IgnoresAnInvalidConfiguration)
{
  const OperatorState before =
    ReadOperatorState({ { "config", Config(7) } }, {});
  for (const char* text : { "",
                            "\xff\xfe",
                            "[]",
                            "{}",
                            R"({"version":"x"})",
                            R"({"version":9,"routes":{}})",
                            R"({"version":9,"routes":[1]})",
                            R"({"version":9,"routes":[{"name":"q"}]})" }) {
    const OperatorState state =
      ReadOperatorState({ { "config", text }, { "odd", text } }, before);
    EXPECT_EQ(state.version_, 7) << text;
    EXPECT_EQ(state.routes_.size(), 2U) << text;
  }
}

TEST(OperatorStateTest, RestoresAZoneWhenItsRecordIsDeleted)
{
  OperatorState state = ReadOperatorState({ { "evacuate/z1", "{}" } }, {});
  EXPECT_FALSE(state.zonesOut_.empty());
  state = ReadOperatorState({}, state);
  EXPECT_TRUE(state.zonesOut_.empty());
}

} // namespace
} // namespace cornelfront::platform
