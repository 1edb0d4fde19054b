#include "cactusford/edge/second_attempt.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::edge;

namespace {

// Calls whose times are spread evenly around the mean.
second_attempts
after_calls(int count, std::uint64_t mean_ms)
{
  second_attempts s;
  for (int i = 0; i < count; ++i) {
    note_first_attempt(s);
    note_answer(s,
                mean_ms / 2 + mean_ms * static_cast<std::uint64_t>(i % 8) / 8);
  }
  return s;
}

} // namespace

Test(second_attempt, comes_when_a_call_takes_longer_than_its_kind)
{
  cr_assert_eq(second_attempt_after_ms({}), 130, "nothing is known yet");
  const auto quick = second_attempt_after_ms(after_calls(100, 25));
  cr_assert(quick >= 40 && quick < 60);
  const auto slow = second_attempt_after_ms(after_calls(100, 200));
  cr_assert(slow > 300 && slow < 500);
  SECTION("a service that is busy is not asked twice as often")
  {
    auto s = after_calls(100, 25);
    for (int i = 0; i < 64; ++i) {
      note_answer(s, 400);
    }
    cr_assert_eq(second_attempt_after_ms(s), 600);
  }
}

// Two hundred scorer's calls at once on 36 places: each waits for a second.
// With a second attempt for each of them the servers had twice the work, and
// refused callers.
Test(second_attempt, is_made_for_three_calls_in_ten)
{
  second_attempts s;
  int made = 0;
  for (int i = 0; i < 200; ++i) {
    note_first_attempt(s);
    made += take_second_attempt(s) ? 1 : 0;
  }
  cr_assert_geq(made, 60);
  cr_assert_leq(made, 80);
}
