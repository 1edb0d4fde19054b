#include "cactusford/orders/load_plan.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <set>

using namespace cactusford;
using namespace cactusford::orders;

namespace {

const std::vector<std::string> centres{ "a", "b", "c", "d" };

} // namespace

Test(load_plan, finds_its_place_without_a_message)
{
  std::set<std::uint32_t> seen;
  for (const auto& c : centres) {
    for (const auto* number : { "1", "2" }) {
      seen.insert(place_of("side-" + c + "-" + number, c, centres).index);
    }
  }
  cr_assert_eq(seen.size(), 8, "no two share a place");
  cr_assert_eq(*seen.rbegin(), 7);
}

// A step accepts the version that is named and the one before. If all engines
// loaded each version as it is named, none would serve the step's beginning.
Test(load_plan, always_leaves_engines_that_serve_the_step)
{
  std::vector<std::uint64_t> loaded(9, 1);
  for (std::uint64_t named = 2; named < 20; ++named) {
    int serving = 0;
    int loads = 0;
    for (std::uint32_t i = 0; i < loaded.size(); ++i) {
      serving += loaded[i] + accepted_lag >= named ? 1 : 0;
      if (wants("m", named, loaded[i], 2, { i }) == load_time::now) {
        loaded[i] = named;
        ++loads;
      }
    }
    cr_assert_geq(serving, 4, "before its loads, at version %lu", named);
    cr_assert_leq(loads, 5);
  }
}

Test(load_plan, loads_in_the_quiet_end_of_a_step_for_one_trainer)
{
  cr_assert(wants("m", 5, 4, 1, { 3 }) == load_time::when_idle);
  SECTION("but at once when it is of no use otherwise")
  {
    cr_assert(wants("m", 5, 3, 1, { 3 }) == load_time::now);
  }
  SECTION("few at the same time")
  {
    const auto first = delay_ms(load_time::when_idle, { 0 });
    cr_assert_geq(first, 1000, "not in the beginning");
    cr_assert_eq(delay_ms(load_time::when_idle, { 1 }), first);
    cr_assert_gt(delay_ms(load_time::when_idle, { 2 }), first);
  }
}

Test(load_plan, never_goes_back)
{
  cr_assert(wants("m", 4, 4, 1, { 0 }) == load_time::never);
  cr_assert(wants("m", 4, 5, 1, { 0 }) == load_time::never);
}
