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
    const auto first = delay_ms(load_time::when_idle, 1, { 0 });
    cr_assert_geq(first, 1000, "not in the beginning");
    cr_assert_eq(delay_ms(load_time::when_idle, 1, { 1 }), first);
    cr_assert_gt(delay_ms(load_time::when_idle, 1, { 2 }), first);
  }
}

// Four trainers share 38 engines, and 8 engines load at the same time, 0.95 s
// each: 34 loads in the four seconds of a step. Were every engine to keep up
// with all four, 76 would be due; all fall behind, and items of a step wait up
// to ten seconds for an engine with weights that it accepts.
Test(load_plan, keeps_the_loads_of_many_trainers_within_the_rate)
{
  constexpr std::size_t models = 4;
  constexpr std::size_t engines = 38;
  constexpr double loads_in_a_step = 8 / 0.95 * 4;
  std::size_t due = 0;
  std::vector<std::size_t> kept(models, 0);
  std::vector<std::set<std::uint32_t>> kept_in(models);
  for (std::uint32_t i = 0; i < engines; ++i) {
    const auto centre = centres[i % centres.size()];
    const auto row = i / centres.size() + 1;
    const auto p =
      place_of("side-" + centre + "-" + std::to_string(row), centre, centres);
    for (std::size_t at = 0; at < models; ++at) {
      if (!keeps_up_with(at, models, p)) {
        continue;
      }
      ++kept[at];
      kept_in[at].insert(static_cast<std::uint32_t>(i % centres.size()));
      const auto model = "m" + std::to_string(at);
      due += wants(model, 4, 3, models, p) == load_time::now ? 1 : 0;
    }
  }
  cr_assert_leq(due, loads_in_a_step * 1.2);
  for (std::size_t at = 0; at < models; ++at) {
    cr_assert_geq(kept[at], engines / 2 - 1, "each model has its share");
    cr_assert_eq(kept_in[at].size(), centres.size(), "in every data centre");
  }
  SECTION("an engine of one or two trainers keeps up with them all")
  {
    cr_assert(keeps_up_with(0, 1, { 7, 7 }));
    cr_assert(keeps_up_with(0, 2, { 7, 7 }) && keeps_up_with(1, 2, { 7, 7 }));
  }
}

Test(load_plan, never_goes_back)
{
  cr_assert(wants("m", 4, 4, 1, { 0 }) == load_time::never);
  cr_assert(wants("m", 4, 5, 1, { 0 }) == load_time::never);
}
