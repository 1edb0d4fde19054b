#include "cactusford/batches/schedule.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace cactusford::batches;

Test(schedule, starts_first_what_has_the_least_time_to_spare)
{
  std::vector<waiting_item> items{ { 0, 0, 7500, 1000 },
                                   { 0, 1, 7500, 7000 },
                                   { 1, 0, 8000, 7400 },
                                   { 1, 1, 8000, 300 } };
  sort_by_slack(items);
  cr_assert_eq(items[0].item, 1, "the longest item of the older batch");
  cr_assert_eq(items[1].batch, 1, "a long item of the newer batch");
  cr_assert_eq(items[3].expected_ms, 300);
}

Test(schedule, learns_the_pace_from_runs)
{
  token_pace p;
  for (int i = 0; i < 500; ++i) {
    record_run(p, 1000, 1300);
  }
  cr_assert_float_eq(p.ms, 1.3, 0.05);
  SECTION("a single outlier hardly changes the pace")
  {
    const auto before = p.ms;
    record_run(p, 10, 100000);
    cr_assert_lt(p.ms, before * 1.05);
  }
  SECTION("a run without an estimate does not change the pace")
  {
    const auto before = p;
    record_run(p, 0, 5000);
    cr_assert(p == before);
  }
}

// The owner of a run was killed and the text so far was saved. The instance
// that continues the run must not schedule it after short ones because most of
// its estimate is used up.
Test(schedule, expects_more_time_for_runs_beyond_their_estimate)
{
  const token_pace p{ 1.0 };
  cr_assert_eq(expected_run_ms(p, 1000), 1000);
  cr_assert_eq(expected_run_ms(p, 1000, 300), 700);
  cr_assert_eq(expected_run_ms(p, 1000, 4000), 2000);
}

namespace {

struct load
{
  std::vector<std::uint64_t> length_ms;
  std::vector<std::uint64_t> hint_ms;
};

// Generates 92 items with log-normally distributed lengths, of which one in
// twelve is five times as long, and with estimates that are off by half. The
// parameters are those of a step of a cutting plan job.
load
heavy_step(std::uint64_t seed)
{
  std::mt19937_64 random{ seed };
  std::lognormal_distribution<> length{ 6.5, 0.8 };
  std::lognormal_distribution<> error{ 0, 0.5 };
  std::bernoulli_distribution tail{ 0.08 };
  load l;
  for (int i = 0; i < 92; ++i) {
    const double ms = std::min(length(random) * (tail(random) ? 5 : 1), 7600.0);
    l.length_ms.push_back(static_cast<std::uint64_t>(ms));
    l.hint_ms.push_back(static_cast<std::uint64_t>(ms * error(random)));
  }
  return l;
}

// Returns the time at which the last item ends on the given number of slots.
std::uint64_t
makespan(const load& l, bool by_slack, std::size_t slots)
{
  std::vector<waiting_item> items;
  for (std::size_t i = 0; i < l.length_ms.size(); ++i) {
    items.push_back({ 0, i, 7500, by_slack ? l.hint_ms[i] : 0 });
  }
  sort_by_slack(items);
  std::vector<std::uint64_t> free_at(slots, 0);
  for (const auto& i : items) {
    auto next = std::min_element(free_at.begin(), free_at.end());
    *next += l.length_ms[i.item];
  }
  return *std::max_element(free_at.begin(), free_at.end());
}

} // namespace

// Half of the engines are loading weights when the step starts, which leaves 32
// slots for 92 items. In submission order, a straggler that starts last makes
// the step end late.
Test(schedule, shortens_a_step_with_a_long_tail)
{
  std::uint64_t as_they_come = 0;
  std::uint64_t least_slack = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const auto l = heavy_step(seed);
    as_they_come += makespan(l, false, 32);
    least_slack += makespan(l, true, 32);
  }
  cr_assert_lt(least_slack * 100,
               as_they_come * 92,
               "by 8%% or more: %lu against %lu",
               least_slack,
               as_they_come);
}

// An engine that loads weights stalls its runs for 950 ms. An item of maximum
// length, 157 events at 48 ms each, would then end 8.5 s after its step
// started, but its group counts in full only until 8.2 s. The run has to be
// moved early enough to end in time, and must not be moved because of the
// pauses of a healthy engine.
Test(schedule, moves_long_runs_off_an_engine_that_loads)
{
  constexpr std::uint64_t longest_text_ms = 157 * 48;
  constexpr std::uint64_t read_again_ms = 40;
  constexpr std::uint64_t counts_until_ms = 8200;
  cr_assert_leq(longest_text_ms + silence_limit_ms(48) + read_again_ms,
                counts_until_ms);
  cr_assert_geq(silence_limit_ms(48), 5 * 48);
  SECTION("slower engines are given more time")
  {
    cr_assert_gt(silence_limit_ms(90), silence_limit_ms(48));
  }
  SECTION("the limit is largest while the pace is unknown")
  {
    cr_assert_geq(silence_limit_ms(0), silence_limit_ms(1000));
  }
}

// Four owners start their steps on the same engines. Runs that an engine cannot
// execute at once wait there, and the longest text of a step has half a second
// of slack.
Test(schedule, what_has_least_to_spare_is_most_urgent)
{
  constexpr std::uint64_t now = 10'000;
  constexpr std::uint64_t due = now + 7500;
  const auto longest = urgency_of(due, 7000, now);
  const auto usual = urgency_of(due, 900, now);
  cr_assert_lt(longest, usual);
  cr_assert_leq(usual, 5, "never less urgent than runs without an urgency");
  SECTION("a late step is most urgent")
  {
    cr_assert_eq(urgency_of(now - 2000, 900, now), longest);
  }
  SECTION("a short text gains urgency as its step runs out")
  {
    cr_assert_lt(urgency_of(due, 900, due - 2000), usual);
  }
}
