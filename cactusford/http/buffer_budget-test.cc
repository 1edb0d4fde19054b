#include "cactusford/http/buffer_budget.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::http;

// Guards against an entry of 120 MB that takes calls while answers of callers
// that do not read fill its memory.
Test(buffer_budget, refuses_calls_above_a_quarter_of_the_memory)
{
  buffer_budget b;
  b.limit_bytes = buffer_limit_for(120);
  cr_assert_eq(b.limit_bytes, 30U << 20);
  add_bytes(b, b.limit_bytes);
  cr_assert(may_take_call(b));
  add_bytes(b, 1);
  cr_assert_not(may_take_call(b));
  release_bytes(b, 1);
  cr_assert(may_take_call(b));
  cr_assert_eq(b.peak_bytes, b.limit_bytes + 1);
}

// Guards against a changed decision where the memory is not configured.
Test(buffer_budget, refuses_nothing_without_a_bound)
{
  buffer_budget b;
  b.limit_bytes = buffer_limit_for(0);
  add_bytes(b, 1ULL << 40U);
  cr_assert(may_take_call(b));
  cr_assert(update_full(b) == buffer_change::none);
}

// Guards against a pair of log lines for each answer while the total is near
// the bound.
Test(buffer_budget, reports_recovery_well_below_the_bound)
{
  buffer_budget b;
  b.limit_bytes = 1000;
  add_bytes(b, 1001);
  cr_assert(update_full(b) == buffer_change::became_full);
  cr_assert(update_full(b) == buffer_change::none);
  release_bytes(b, 250);
  cr_assert(update_full(b) == buffer_change::none);
  release_bytes(b, 1);
  cr_assert(update_full(b) == buffer_change::recovered);
  SECTION("also when a reload of the settings removes the bound")
  {
    add_bytes(b, 1001);
    cr_assert(update_full(b) == buffer_change::became_full);
    b.limit_bytes = 0;
    cr_assert(update_full(b) == buffer_change::recovered);
  }
}

// Guards against a total that wraps around when bytes are released twice, after
// which every call would be refused.
Test(buffer_budget, never_falls_below_zero)
{
  buffer_budget b;
  add_bytes(b, 10);
  release_bytes(b, 20);
  cr_assert_eq(b.bytes, 0);
}
