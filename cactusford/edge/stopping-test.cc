#include "cactusford/edge/stopping.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::edge;

namespace {

constexpr std::uint64_t start_ms = 100'000;

stop_state
stopping(std::uint64_t grace_ms)
{
  return { start_ms, grace_ms, true };
}

} // namespace

// Guards against requests that were taken late in the grace and cut at its end.
Test(stopping, takes_only_requests_that_end_before_the_process)
{
  SECTION("a process that does not stop takes everything")
  {
    cr_assert(takes_request({}, start_ms, start_ms + 1'000'000));
    cr_assert_eq(allowed_wait_ms({}, start_ms, 60'000, 500), 60'000);
  }
  const auto s = stopping(8000);
  SECTION("callers still arrive in the first three seconds, and are served")
  {
    cr_assert(takes_request(s, start_ms, start_ms + 60'000));
    cr_assert(takes_request(s, start_ms + 2999, start_ms + 60'000));
    cr_assert_not(takes_request(s, start_ms + 3000, start_ms + 60'000));
  }
  SECTION("later ones must end before the last answers, with a margin")
  {
    cr_assert_eq(last_answers_ms(s), start_ms + 7300);
    cr_assert(takes_request(s, start_ms + 5800, start_ms + 7000));
    cr_assert_not(takes_request(s, start_ms + 5800, start_ms + 7001));
    cr_assert_not(takes_request(s, start_ms + 7300, start_ms + 7300));
  }
  SECTION("half of a short grace is left for requests to end")
  {
    const auto brief = stopping(4000);
    cr_assert(takes_request(brief, start_ms + 1649, start_ms + 9000));
    cr_assert_not(takes_request(brief, start_ms + 1650, start_ms + 9000));
  }
  SECTION("reads wait no longer than until the last answers")
  {
    cr_assert_eq(allowed_wait_ms(s, start_ms, 1000, 500), 1000);
    cr_assert_eq(allowed_wait_ms(s, start_ms + 6000, 1000, 500), 500);
    cr_assert_eq(allowed_wait_ms(s, start_ms + 7200, 1000, 500), 0);
  }
  SECTION("a read that waits as long as allowed is taken")
  {
    constexpr std::uint64_t call_ms = 1500;
    const auto late_ms = start_ms + 4500;
    const auto wait_ms = allowed_wait_ms(s, late_ms, 60'000, call_ms);
    cr_assert_gt(wait_ms, 0U);
    cr_assert(takes_request(s, late_ms, late_ms + wait_ms + call_ms));
  }
}

// Guards against a process that is killed before its last answers have left.
Test(stopping, leaves_time_for_the_last_answers)
{
  for (const std::uint64_t grace_ms : { 1000, 2000, 8000, 60'000 }) {
    const auto s = stopping(grace_ms);
    cr_assert_gt(last_answers_ms(s), start_ms);
    cr_assert_lt(last_answers_ms(s), forced_exit_ms(s));
    cr_assert_lt(forced_exit_ms(s), start_ms + grace_ms);
  }
  SECTION("a grace that is shorter than the margins ends at once")
  {
    cr_assert_eq(last_answers_ms(stopping(100)), start_ms);
    cr_assert_eq(forced_exit_ms(stopping(100)), start_ms);
  }
}
