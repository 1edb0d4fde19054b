#include "cactusford/edge/second_attempt.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::edge;

namespace {

// State after `count` calls whose latencies are spread evenly around the mean.
second_attempts
after_calls(int count, std::uint64_t mean_ms)
{
  second_attempts s;
  for (int i = 0; i < count; ++i) {
    record_first_attempt(s);
    record_answer(
      s, mean_ms / 2 + mean_ms * static_cast<std::uint64_t>(i % 8) / 8);
  }
  return s;
}

} // namespace

Test(second_attempt, delay_follows_the_latency_of_the_service)
{
  cr_assert_eq(second_attempt_delay_ms({}), 130, "no latency is known yet");
  const auto fast_delay = second_attempt_delay_ms(after_calls(100, 25));
  cr_assert(fast_delay >= 40 && fast_delay < 60);
  const auto slow_delay = second_attempt_delay_ms(after_calls(100, 200));
  cr_assert(slow_delay > 300 && slow_delay < 500);
  SECTION("the delay grows when the service is busy")
  {
    auto s = after_calls(100, 25);
    for (int i = 0; i < 64; ++i) {
      record_answer(s, 400);
    }
    cr_assert_eq(second_attempt_delay_ms(s), 600);
  }
}

// Guards against overload by second attempts: 200 scorer calls arrive at once
// for 36 slots, and each waits for a second. With a second attempt for every
// call the servers had twice the work and refused callers.
Test(second_attempt, is_limited_to_three_calls_in_ten)
{
  second_attempts s;
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    record_first_attempt(s);
    granted += try_take_second_attempt(s) ? 1 : 0;
  }
  cr_assert_geq(granted, 60);
  cr_assert_leq(granted, 80);
}
