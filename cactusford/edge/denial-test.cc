#include "cactusford/edge/denial.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::edge;

// Guards against 404 for a route that had to be in force already: the table was
// older than the time within which changes must take effect.
Test(denial, needs_a_table_with_every_change_in_force)
{
  constexpr std::uint64_t in_force_ms = 2000;
  cr_assert(may_deny(0, in_force_ms));
  cr_assert(may_deny(in_force_ms, in_force_ms));
  cr_assert_not(may_deny(in_force_ms + 1, in_force_ms));
  SECTION("the limit is a setting of the deployment")
  {
    cr_assert(may_deny(in_force_ms + 1, 3000));
    cr_assert_not(may_deny(in_force_ms, 1000));
  }
}
