#include "cactusford/usage/counts.h"

#include "cactusford/testing/section.h"
#include "cactusford/usage/corrected_clock.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace cactusford::usage;

namespace {

instance_counts
counts_of(const char* instance, std::uint64_t started_ms, windows open)
{
  return { instance, started_ms, std::move(open) };
}

} // namespace

// Entries send what they have counted so far, again and again. Messages may
// arrive twice or out of order, an entry may restart with empty counts, and a
// new holder receives everything again.
Test(usage, adds_up_the_counts_of_entries)
{
  received_counts c;
  merge(c, counts_of("a", 1, { { 7, { { "planning", 2 } } } }));
  merge(c,
        counts_of("b", 1, { { 7, { { "planning", 1 }, { "billing", 4 } } } }));
  cr_assert(sum(c, 7) == (counts{ { "planning", 3 }, { "billing", 4 } }));
  cr_assert(sum(c, 8).empty());
  SECTION("a repeated or late message adds nothing")
  {
    auto repeated = c;
    merge(repeated, counts_of("a", 1, { { 7, { { "planning", 5 } } } }));
    merge(repeated, counts_of("a", 1, { { 7, { { "planning", 2 } } } }));
    cr_assert_eq(sum(repeated, 7).at("planning"), 6);
  }
  SECTION("counts from before a restart are kept")
  {
    auto restarted = c;
    merge(restarted, counts_of("a", 2, { { 7, { { "planning", 1 } } } }));
    cr_assert_eq(sum(restarted, 7).at("planning"), 4);
  }
  SECTION("a closed window is dropped")
  {
    drop_through(c, 7);
    cr_assert(c == received_counts{});
  }
}

Test(usage, any_order_of_messages_gives_the_same_sum)
{
  const bool ok = rc::check([] {
    const auto incarnations = *rc::gen::inRange<std::uint64_t>(1, 4);
    std::vector<instance_counts> messages;
    counts expected;
    for (std::uint64_t incarnation = 0; incarnation < incarnations;
         ++incarnation) {
      const auto runs = *rc::gen::inRange<std::uint64_t>(1, 20);
      for (std::uint64_t total = 1; total <= runs; ++total) {
        messages.push_back(
          counts_of("a", incarnation, { { 3, { { "w", total } } } }));
      }
      expected["w"] += runs;
    }
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 random{ seed };
    std::shuffle(messages.begin(), messages.end(), random);
    received_counts c;
    for (const auto& m : messages) {
      merge(c, m);
      merge(c, *instance_counts_from(encode(m)));
    }
    RC_ASSERT(sum(c, 3) == expected);
  });
  cr_assert(ok);
}

Test(usage, keeps_a_bounded_number_of_windows)
{
  windows w;
  for (std::uint64_t k = 0; k < max_windows; ++k) {
    cr_assert_not(count_run(w, k, "w").has_value());
  }
  cr_assert_eq(*count_run(w, max_windows, "w"), 0);
  cr_assert_eq(w.size(), max_windows);
}

Test(usage, rejects_invalid_counts)
{
  using nlohmann::json;
  cr_assert_not(counts_from(json{ { "w", -1 } }).has_value());
  cr_assert_not(counts_from(json{ { "w", "1" } }).has_value());
  cr_assert_not(counts_from(json::array()).has_value());
  cr_assert_not(instance_counts_from(json{ { "instance", "a" } }).has_value());
}

// A clock jumps ahead by two seconds and back after twenty. Requests made
// meanwhile must be counted in the windows that the unchanged clock would give.
Test(usage, a_step_of_the_clock_moves_no_window)
{
  constexpr std::uint64_t day = 1'700'000'000'000;
  constexpr std::uint64_t step = 2000;
  corrected_clock t;
  for (std::uint64_t boot = 0; boot < 60'000; boot += 200) {
    const bool is_stepped = boot >= 10'000 && boot < 30'000;
    const auto seen =
      corrected_time(t, day + boot + (is_stepped ? step : 0), boot);
    cr_assert_eq(seen, day + boot);
  }
  SECTION("a lasting step is accepted")
  {
    std::uint64_t seen = 0;
    for (std::uint64_t boot = 60'000; boot < 130'000; boot += 200) {
      seen = corrected_time(t, day + boot + step, boot) - boot;
    }
    cr_assert_eq(seen, day + step);
  }
  SECTION("a drift is followed")
  {
    std::uint64_t seen = 0;
    for (std::uint64_t boot = 60'000; boot < 160'000; boot += 200) {
      seen =
        corrected_time(t, day + boot + (boot - 60'000) / 1000, boot) - boot;
    }
    cr_assert_geq(seen, day + 99);
  }
}
