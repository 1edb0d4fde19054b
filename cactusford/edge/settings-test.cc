#include "cactusford/edge/settings.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::edge;

Test(hosted_settings, reads_what_the_template_fills_in)
{
  const auto s = hosted_settings_from(R"({
    "instance": "edge-a-1", "data_centre": "a", "callers": "10.0.0.1:80",
    "peer": "10.0.0.1:90", "store": "10.9.0.1:70", "grace_s": 7.5,
    "keep_batches_s": 120, "in_force_ms": 3000, "peers": ["10.0.0.1:90", "10.0.0.2:90"]})");
  cr_assert(s);
  cr_assert_eq(s.value.grace_ms, 7500);
  cr_assert_eq(s.value.keep_batches_ms, 120000);
  cr_assert_eq(s.value.in_force_ms, 3000);
  cr_assert_eq(s.value.peers.size(), 1, "it is no peer of itself");
  cr_assert(s.value.peer_rank.has_value(), "but one that others know");
}

Test(hosted_settings, names_the_key_that_is_wrong)
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
  SECTION("an unknown key is refused, as it may be a misspelt one")
  {
    cr_assert_not(hosted_settings_from(
      R"({"instance": "a", "data_centre": "a", "store": "1.2.3.4:5",
          "grase_s": 1})"));
  }
}
