#include "cactusford/orders/load_plan.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace cactusford::orders;

namespace {

constexpr std::uint64_t step_ms = 4000;

// Engines that load for several trainers, whose versions are named one after
// the other.
struct fleet
{
  std::vector<std::vector<std::uint64_t>> loaded;
  std::size_t models;
  load_pace pace;

  fleet(std::size_t engines, std::size_t models_of_it)
    : loaded(engines, std::vector<std::uint64_t>(models_of_it, 1))
    , models{ models_of_it }
  {
  }

  // Engines that begin a step of the version when it is named.
  std::size_t serving(std::size_t model, std::uint64_t version) const
  {
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < loaded.size(); ++i) {
      const bool kept = keeps_up_with(model, models, { i });
      count += kept && loaded[i][model] + accepted_lag >= version ? 1 : 0;
    }
    return count;
  }

  // Names the version; the number of loads that begin.
  std::size_t name(std::size_t model, std::uint64_t version)
  {
    const auto model_name = "m" + std::to_string(model);
    std::size_t loads = 0;
    for (std::uint32_t i = 0; i < loaded.size(); ++i) {
      auto& held = loaded[i][model];
      const held_model m{ model_name, version, held };
      if (keeps_up_with(model, models, { i }) &&
          wants(m, models, { i }, pace) == load_time::now) {
        held = version;
        ++loads;
      }
    }
    return loads;
  }
};

} // namespace

// Two trainers share 39 engines, and 8 engines load at the same time without
// slowing each other, 0.9 s each: 35 loads in the four seconds of a step. Were
// each engine to load every second version of both, 39 would be due; all loads
// end late, and a step begins with the few engines that are done.
Test(load_plan, keeps_the_loads_within_what_the_deployment_carries_out)
{
  constexpr double loads_in_a_step = 8 / 0.9 * 4;
  for (const std::size_t models : { 2U, 4U, 8U }) {
    fleet f{ 39, models };
    const auto stride = stride_of(models, f.pace);
    for (std::uint64_t version = 2; version < 20; ++version) {
      std::size_t loads = 0;
      for (std::size_t m = 0; m < models; ++m) {
        const auto kept = 39 * std::min(models, models_kept) / models;
        if (version > 4) {
          cr_assert_geq(f.serving(m, version), kept / stride - 1);
        }
        loads += f.name(m, version);
      }
      cr_assert_leq(loads, loads_in_a_step * 0.85);
    }
  }
}

// The store is away while three versions are named. All engines hear of the
// last one together and load it. Did they stay together, every third step would
// find no engine that can begin it.
Test(load_plan, sets_engines_apart_again_after_an_outage)
{
  fleet f{ 30, 2 };
  cr_assert_eq(f.name(0, 5), 30, "all are behind");
  f.name(0, 6);
  f.name(0, 7);
  for (std::uint64_t version = 8; version < 16; ++version) {
    cr_assert_geq(f.serving(0, version), 9, "at version %lu", version);
    cr_assert_leq(f.name(0, version), 11);
  }
}

Test(load_plan, adapts_to_how_long_loads_take)
{
  for (const std::uint64_t alone_ms : { 300U, 900U, 5000U }) {
    load_pace p;
    note_load(p, alone_ms);
    SECTION("loads that slow each other become fewer")
    {
      for (int i = 0; i < 20; ++i) {
        note_load(p, 3 * alone_ms);
      }
      cr_assert_eq(stride_of(2, p), 4);
    }
    SECTION("and more again when they do not")
    {
      for (int i = 0; i < 20; ++i) {
        note_load(p, alone_ms);
      }
      cr_assert_eq(stride_of(2, p), 2);
    }
    SECTION("one that met an outage changes nothing")
    {
      note_load(p, 10 * alone_ms);
      note_load(p, alone_ms);
      cr_assert_eq(stride_of(2, p), 2);
    }
  }
}

// Forty-two engines load for four trainers that name their versions at the same
// moment, and eight at a time are not slowed. Were they to begin together all
// would be done last. The turns grow while loads are slowed, until those that
// load together are few; a load is done soon after its turn.
Test(load_plan, engines_take_turns_after_a_naming)
{
  constexpr std::uint32_t engines = 30;
  constexpr std::uint64_t alone_ms = 900;
  constexpr std::size_t unslowed = 8;
  naming n;
  note_naming(n, 1, 1000);
  note_naming(n, 2, 1000 + step_ms);
  load_pace pace;
  note_load(pace, alone_ms);
  std::size_t most_together = engines;
  for (int step = 0; step < 8; ++step) {
    std::vector<std::uint64_t> begins;
    for (std::uint32_t i = 0; i < engines; ++i) {
      begins.push_back(delay_ms(load_time::now, n, { i }, pace));
    }
    most_together = 0;
    for (const auto begin : begins) {
      const auto together = std::count_if(
        begins.begin(), begins.end(), [begin](std::uint64_t other) {
          return other <= begin && begin < other + alone_ms;
        });
      most_together =
        std::max(most_together, static_cast<std::size_t>(together));
    }
    note_load(pace, alone_ms * std::max(most_together, unslowed) / unslowed);
    cr_assert_lt(*std::max_element(begins.begin(), begins.end()), step_ms);
  }
  cr_assert_leq(most_together, 2 * unslowed);
  SECTION("and begin at once again when nothing slows them")
  {
    for (int i = 0; i < 100; ++i) {
      note_load(pace, alone_ms);
    }
    cr_assert_lt(delay_ms(load_time::now, n, { 1 }, pace), alone_ms / 4);
  }
  SECTION("one that serves the step that begins leaves its turn to others")
  {
    load_pace slowed;
    note_load(slowed, alone_ms);
    note_load(slowed, 3 * alone_ms);
    for (std::uint32_t i = 0; i < engines; ++i) {
      cr_assert(wants({ "m", 5, 4 }, 4, { i }, slowed) == load_time::never);
    }
  }
}

Test(load_plan, loads_in_the_quiet_end_of_a_step_for_one_trainer)
{
  const load_pace pace;
  cr_assert(wants({ "m", 5, 4 }, 1, { 3 }, pace) == load_time::when_idle);
  SECTION("but sooner when it is of no use otherwise")
  {
    std::size_t at_once = 0;
    for (std::uint32_t i = 0; i < 8; ++i) {
      const auto t = wants({ "m", 5, 3 }, 1, { i }, pace);
      cr_assert(t == load_time::now || t == load_time::soon);
      at_once += t == load_time::now ? 1 : 0;
    }
    cr_assert_eq(at_once, 4, "half of them");
    naming n;
    note_naming(n, 4, 1000);
    note_naming(n, 5, 1000 + step_ms);
    cr_assert(waits_for_quiet(load_time::soon, n, n.since_ms + 100));
    cr_assert_not(
      waits_for_quiet(load_time::soon, n, n.since_ms + step_ms / 2));
    cr_assert_not(waits_for_quiet(load_time::now, n, n.since_ms));
  }
  SECTION("spread over the end of a step, however long it is")
  {
    for (const std::uint64_t period : { step_ms, 2 * step_ms }) {
      naming n;
      note_naming(n, 2, 1000);
      cr_assert_eq(
        delay_ms(load_time::when_idle, n, { 0 }), 0, "not known yet");
      note_naming(n, 3, 1000 + period);
      for (const std::uint32_t engines : { 3U, 300U }) {
        std::set<std::uint64_t> delays;
        for (std::uint32_t i = 0; i < engines; ++i) {
          delays.insert(delay_ms(load_time::when_idle, n, { i }));
        }
        cr_assert_geq(*delays.begin(), period / 3, "not in the beginning");
        cr_assert_leq(*delays.rbegin(), period, "before the next");
        cr_assert_geq(delays.size(), std::min(engines, 200U));
      }
    }
  }
  SECTION("versions that were passed over count as steps of their own")
  {
    naming n;
    note_naming(n, 2, 1000);
    note_naming(n, 4, 1000 + 2 * step_ms);
    cr_assert_eq(n.period_ms, step_ms);
  }
}

Test(load_plan, shares_the_engines_out_evenly)
{
  constexpr std::uint32_t engines = 38;
  for (const std::size_t models : { 1U, 2U, 4U, 8U }) {
    std::vector<std::size_t> kept(models, 0);
    for (std::uint32_t i = 0; i < engines; ++i) {
      for (std::size_t at = 0; at < models; ++at) {
        kept[at] += keeps_up_with(at, models, { i }) ? 1 : 0;
      }
    }
    for (const auto k : kept) {
      cr_assert_geq(k, engines * std::min(models, models_kept) / models - 1);
    }
  }
}

Test(load_plan, never_goes_back)
{
  const load_pace pace;
  cr_assert(wants({ "m", 4, 4 }, 1, { 0 }, pace) == load_time::never);
  cr_assert(wants({ "m", 4, 5 }, 2, { 0 }, pace) == load_time::never);
}

// Names need not end in a number, and nobody has counted the engines yet.
Test(load_plan, finds_a_place_by_any_name)
{
  std::set<std::uint32_t> ranks;
  for (const auto* name :
       { "anna", "bert", "carl", "dora", "emil", "side-1" }) {
    ranks.insert(place_by_name(name).rank);
  }
  cr_assert_geq(ranks.size(), 5);
}
