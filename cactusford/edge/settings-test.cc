#include "cactusford/edge/settings.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::edge;

Test(hosted_settings, reads_the_keys_of_the_deployment_template)
{
  const auto s = hosted_settings_from(R"({
    "instance": "edge-a-1", "data_centre": "a", "callers": "10.0.0.1:80",
    "peer": "10.0.0.1:90", "store": "10.9.0.1:70", "grace_s": 7.5,
    "keep_batches_s": 120, "in_force_ms": 3000, "peers": ["10.0.0.1:90", "10.0.0.2:90"]})");
  cr_assert(s);
  cr_assert_eq(s.value.grace_ms, 7500);
  cr_assert_eq(s.value.keep_batches_ms, 120000);
  cr_assert_eq(s.value.in_force_ms, 3000);
  cr_assert_eq(s.value.peers.size(), 1, "the instance is not its own peer");
  cr_assert(s.value.peer_rank.has_value(),
            "the rank of the instance in the list is kept");
}

// A platform that writes all numbers as fractions sent settings with which no
// program started.
Test(hosted_settings, integers_may_be_written_as_fractions)
{
  const auto parse = [](const std::string& keys) {
    return hosted_settings_from(
      R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5", )" + keys +
      "}");
  };
  const auto s = parse(R"("in_force_ms": 2000.0, "memory_mb": 260.0,
    "drain_within_ms": 2500.0, "tolerated_data_centres": 1.0,
    "warm_up_slack": 2.5)");
  cr_assert(s, "%s", message_of(s.error).c_str());
  cr_assert_eq(s.value.in_force_ms, 2000);
  cr_assert_eq(s.value.memory_mb, 260);
  cr_assert_eq(s.value.drain_within_ms, 2500);
  cr_assert_eq(s.value.tolerated_data_centres, 1);
  cr_assert_eq(s.value.warm_up_slack, 2, "the stricter limit");
  SECTION("values out of bounds and of other types are still refused")
  {
    cr_assert_not(parse(R"("in_force_ms": 99.5)"));
    cr_assert_not(parse(R"("memory_mb": -0.5)"));
    cr_assert_not(parse(R"("memory_mb": 1e300)"));
    cr_assert_not(parse(R"("in_force_ms": "2000")"));
    cr_assert_not(hosted_settings_from("[1.0]"));
  }
}

Test(hosted_settings, errors_name_the_invalid_key)
{
  const auto refused = [](const char* text, const char* key) {
    const auto s = hosted_settings_from(text);
    cr_assert_not(s);
    cr_assert_neq(message_of(s.error).find(key),
                  std::string::npos,
                  "%s",
                  message_of(s.error).c_str());
  };
  refused(R"({"instance": "a", "data_centre": "a", "store": "nowhere"})",
          "store");
  refused(R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5",
              "grace_s": 0})",
          "grace_s");
  refused("{", "JSON");
  SECTION("unknown keys are refused, as they may be misspelt")
  {
    cr_assert_not(hosted_settings_from(
      R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5",
          "grase_s": 1})"));
  }
}

Test(hosted_settings, mechanisms_are_on_unless_they_are_disabled)
{
  const auto s = hosted_settings_from(
    R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5",
        "memory_mb": 120, "disabled": ["server_speeds"]})");
  cr_assert(s);
  cr_assert_eq(s.value.memory_mb, 120);
  cr_assert_not(s.value.mechanisms.server_speeds);
  cr_assert(s.value.mechanisms.engine_shares);
  cr_assert(s.value.mechanisms.call_queue);
  SECTION("an unknown mechanism is refused, as it may be misspelt")
  {
    cr_assert_not(hosted_settings_from(
      R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5",
          "disabled": ["server_speed"]})"));
  }
}

// Guards against deployments whose data centres may not be told apart, as none
// may be lost, but which are served as if one might be.
Test(hosted_settings, data_centres_are_told_apart_only_where_it_matters)
{
  const auto distinguishes = [](const std::string& keys) {
    const auto s = hosted_settings_from(
      R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5", )" + keys +
      "}");
    cr_assert(s, "%s", message_of(s.error).c_str());
    return distinguishes_data_centres(s.value);
  };
  cr_assert_not(distinguishes(R"("regions": {"a": "r", "b": "r"})"));
  cr_assert(distinguishes(R"("regions": {"a": "r", "b": "s"})"));
  cr_assert(distinguishes(
    R"("regions": {"a": "r", "b": "r"}, "tolerated_data_centres": 1)"));
}
