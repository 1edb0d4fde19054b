#include "cactusford/orders/load_plan.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace cactusford::orders;

namespace {

constexpr std::uint64_t step_ms = 4000;

// Simulated engines that load weights for several trainers, which publish their
// versions one after the other.
struct fleet
{
  std::vector<std::vector<std::uint64_t>> loaded;
  std::size_t models;
  load_pacing pacing;

  fleet(std::size_t engines, std::size_t model_count)
    : loaded(engines, std::vector<std::uint64_t>(model_count, 1))
    , models{ model_count }
  {
  }

  // Number of engines that can serve the step of the version as soon as it is
  // published.
  std::size_t count_serving(std::size_t model, std::uint64_t version) const
  {
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < loaded.size(); ++i) {
      const bool loads_model = is_assigned(model, models, { i });
      count +=
        loads_model && loaded[i][model] + accepted_lag >= version ? 1 : 0;
    }
    return count;
  }

  // Publishes the version and returns the number of loads that start.
  std::size_t publish(std::size_t model, std::uint64_t version)
  {
    const auto model_name = "m" + std::to_string(model);
    std::size_t loads = 0;
    for (std::uint32_t i = 0; i < loaded.size(); ++i) {
      auto& loaded_version = loaded[i][model];
      const model_versions m{ model_name, version, loaded_version };
      if (is_assigned(model, models, { i }) &&
          choose_timing(m, models, { i }, pacing) == load_timing::now) {
        loaded_version = version;
        ++loads;
      }
    }
    return loads;
  }
};

} // namespace

// Guards against more loads than the deployment can complete. Two trainers
// share 39 engines, of which 8 can load in parallel without slowing each other
// down, 0.9 s each: 35 loads in the four seconds of a step. If each engine
// loaded every second version of both models, 39 loads would be due; all would
// end late, and a step would start with only the few engines that are done.
Test(load_plan, limits_loads_to_the_capacity_of_the_deployment)
{
  constexpr double loads_in_a_step = 8 / 0.9 * 4;
  for (const std::size_t models : { 2U, 4U, 8U }) {
    fleet f{ 39, models };
    const auto stride = load_stride(models, f.pacing);
    for (std::uint64_t version = 2; version < 20; ++version) {
      std::size_t loads = 0;
      for (std::size_t m = 0; m < models; ++m) {
        const auto engines_per_model =
          39 * std::min(models, models_per_engine) / models;
        if (version > 4) {
          cr_assert_geq(f.count_serving(m, version),
                        engines_per_model / stride - 1);
        }
        loads += f.publish(m, version);
      }
      cr_assert_leq(loads, loads_in_a_step * 0.85);
    }
  }
}

// Guards against synchronized engines. While the store is unavailable, three
// versions are published; all engines learn of the last one at the same time
// and load it. If they stayed in lockstep, no engine could serve the start of
// every third step.
Test(load_plan, desynchronizes_engines_after_an_outage)
{
  fleet f{ 30, 2 };
  cr_assert_eq(f.publish(0, 5), 30, "all engines are behind");
  f.publish(0, 6);
  f.publish(0, 7);
  for (std::uint64_t version = 8; version < 16; ++version) {
    cr_assert_geq(f.count_serving(0, version), 9, "at version %lu", version);
    cr_assert_leq(f.publish(0, version), 11);
  }
}

Test(load_plan, adapts_to_how_long_loads_take)
{
  for (const std::uint64_t undisturbed_ms : { 300U, 900U, 5000U }) {
    load_pacing pacing;
    record_load(pacing, undisturbed_ms);
    SECTION("the stride grows while loads slow each other down")
    {
      for (int i = 0; i < 20; ++i) {
        record_load(pacing, 3 * undisturbed_ms);
      }
      cr_assert_eq(load_stride(2, pacing), 4);
    }
    SECTION("the stride shrinks while loads are not slowed down")
    {
      for (int i = 0; i < 20; ++i) {
        record_load(pacing, undisturbed_ms);
      }
      cr_assert_eq(load_stride(2, pacing), 2);
    }
    SECTION("a single slow load, as in an outage, changes nothing")
    {
      record_load(pacing, 10 * undisturbed_ms);
      record_load(pacing, undisturbed_ms);
      cr_assert_eq(load_stride(2, pacing), 2);
    }
  }
}

// Guards against simultaneous loads. Forty-two engines load for four trainers
// that publish at the same time, and eight can load in parallel without slowing
// each other down. If all started together, all would finish late. The spread
// grows while loads are slowed down until few overlap, so that each load ends
// soon after its start.
Test(load_plan, engines_take_turns_after_a_publication)
{
  constexpr std::uint32_t engines = 30;
  constexpr std::uint64_t undisturbed_ms = 900;
  constexpr std::size_t parallel_loads = 8;
  publication history;
  record_publication(history, 1, 1000);
  record_publication(history, 2, 1000 + step_ms);
  load_pacing pacing;
  record_load(pacing, undisturbed_ms);
  std::size_t max_overlapping = engines;
  for (int step = 0; step < 8; ++step) {
    std::vector<std::uint64_t> start_times;
    for (std::uint32_t i = 0; i < engines; ++i) {
      start_times.push_back(
        load_delay_ms(load_timing::now, history, { i }, pacing));
    }
    max_overlapping = 0;
    for (const auto start : start_times) {
      const auto overlapping = std::count_if(
        start_times.begin(), start_times.end(), [start](std::uint64_t other) {
          return other <= start && start < other + undisturbed_ms;
        });
      max_overlapping =
        std::max(max_overlapping, static_cast<std::size_t>(overlapping));
    }
    record_load(pacing,
                undisturbed_ms * std::max(max_overlapping, parallel_loads) /
                  parallel_loads);
    cr_assert_lt(*std::max_element(start_times.begin(), start_times.end()),
                 step_ms);
  }
  cr_assert_leq(max_overlapping, 2 * parallel_loads);
  SECTION("engines start at once again when loads are not slowed down")
  {
    for (int i = 0; i < 100; ++i) {
      record_load(pacing, undisturbed_ms);
    }
    cr_assert_lt(load_delay_ms(load_timing::now, history, { 1 }, pacing),
                 undisturbed_ms / 4);
  }
  SECTION("an engine that can serve the step that starts skips its turn")
  {
    load_pacing slow_pacing;
    record_load(slow_pacing, undisturbed_ms);
    record_load(slow_pacing, 3 * undisturbed_ms);
    for (std::uint32_t i = 0; i < engines; ++i) {
      cr_assert(choose_timing({ "m", 5, 4 }, 4, { i }, slow_pacing) ==
                load_timing::never);
    }
  }
}

Test(load_plan, loads_late_in_a_step_when_idle_for_one_trainer)
{
  const load_pacing pacing;
  cr_assert(choose_timing({ "m", 5, 4 }, 1, { 3 }, pacing) ==
            load_timing::when_idle);
  SECTION("an engine too far behind to serve the step loads sooner")
  {
    std::size_t at_once = 0;
    for (std::uint32_t i = 0; i < 8; ++i) {
      const auto t = choose_timing({ "m", 5, 3 }, 1, { i }, pacing);
      cr_assert(t == load_timing::now || t == load_timing::soon);
      at_once += t == load_timing::now ? 1 : 0;
    }
    cr_assert_eq(at_once, 4, "half of the engines");
    publication history;
    record_publication(history, 4, 1000);
    record_publication(history, 5, 1000 + step_ms);
    cr_assert(
      waits_for_idle(load_timing::soon, history, history.since_ms + 100));
    cr_assert_not(waits_for_idle(
      load_timing::soon, history, history.since_ms + step_ms / 2));
    cr_assert_not(waits_for_idle(load_timing::now, history, history.since_ms));
  }
  SECTION("loads are spread over the end of a step of any length")
  {
    for (const std::uint64_t period : { step_ms, 2 * step_ms }) {
      publication history;
      record_publication(history, 2, 1000);
      cr_assert_eq(load_delay_ms(load_timing::when_idle, history, { 0 }),
                   0,
                   "the period is not known yet");
      record_publication(history, 3, 1000 + period);
      for (const std::uint32_t engines : { 3U, 300U }) {
        std::set<std::uint64_t> delays;
        for (std::uint32_t i = 0; i < engines; ++i) {
          delays.insert(load_delay_ms(load_timing::when_idle, history, { i }));
        }
        cr_assert_geq(
          *delays.begin(), period / 3, "not at the start of the step");
        cr_assert_leq(*delays.rbegin(), period, "before the next publication");
        cr_assert_geq(delays.size(), std::min(engines, 200U));
      }
    }
  }
  SECTION("skipped versions count as steps")
  {
    publication history;
    record_publication(history, 2, 1000);
    record_publication(history, 4, 1000 + 2 * step_ms);
    cr_assert_eq(history.period_ms, step_ms);
  }
}

Test(load_plan, distributes_the_engines_evenly)
{
  constexpr std::uint32_t engines = 38;
  for (const std::size_t models : { 1U, 2U, 4U, 8U }) {
    std::vector<std::size_t> engines_per_model(models, 0);
    for (std::uint32_t i = 0; i < engines; ++i) {
      for (std::size_t at = 0; at < models; ++at) {
        engines_per_model[at] += is_assigned(at, models, { i }) ? 1 : 0;
      }
    }
    for (const auto count : engines_per_model) {
      cr_assert_geq(count,
                    engines * std::min(models, models_per_engine) / models - 1);
    }
  }
}

Test(load_plan, never_loads_an_older_version)
{
  const load_pacing pacing;
  cr_assert(choose_timing({ "m", 4, 4 }, 1, { 0 }, pacing) ==
            load_timing::never);
  cr_assert(choose_timing({ "m", 4, 5 }, 2, { 0 }, pacing) ==
            load_timing::never);
}

// Positions must differ before a relay has assigned ranks, also for instance
// names that do not end in a number.
Test(load_plan, derives_a_position_from_any_name)
{
  std::set<std::uint32_t> ranks;
  for (const auto* name :
       { "anna", "bert", "carl", "dora", "emil", "side-1" }) {
    ranks.insert(position_from_name(name).rank);
  }
  cr_assert_geq(ranks.size(), 5);
}

// Guards against a load that cuts off runs which need the loaded version, and
// against runs that put off a load for ever.
Test(load_plan, waits_for_runs_that_started_before_the_load_was_due)
{
  constexpr std::uint64_t due_ms = 10'000;
  const due_load earlier{ due_ms, due_ms - 500, due_ms + 4000, false };
  cr_assert(is_held(earlier, due_ms + 5000));
  SECTION("but not for later ones")
  {
    const due_load later{ due_ms, due_ms + 500, due_ms + 4000, false };
    cr_assert_not(is_held(later, due_ms + 5000));
    cr_assert_not(is_held({ due_ms, 0, due_ms + 4000, false }, due_ms + 5000));
  }
  SECTION("not on the word of a relay that has become silent")
  {
    cr_assert_not(is_held(earlier, due_ms + 8000));
  }
  SECTION("and no longer than a run may last")
  {
    const due_load wrong{ due_ms, due_ms - 500, due_ms + 60'000, false };
    cr_assert_not(is_held(wrong, due_ms + 60'001));
  }
}
