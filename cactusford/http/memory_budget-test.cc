#include "cactusford/http/memory_budget.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cactusford;
using namespace cactusford::http;

namespace {

constexpr std::uint64_t mib = 1U << 20;
constexpr std::uint64_t kib = 1U << 10;

memory_budget
budget_of(std::uint64_t memory_mb)
{
  memory_budget b;
  b.limits = memory_limits_for(memory_mb, 0);
  return b;
}

} // namespace

// Guards against bounds that refuse the longest body of the smallest instance.
Test(memory_budget, holds_the_longest_body_on_the_smallest_instance)
{
  auto b = budget_of(160);
  request_hold longest;
  cr_assert(resize(b, longest, 32 * mib + 512 * kib));
  SECTION("and ordinary requests beside it")
  {
    for (int i = 0; i < 50; ++i) {
      request_hold ordinary;
      cr_assert(resize(b, ordinary, 64 * kib));
    }
  }
}

// Guards against long bodies that leave no memory for ordinary requests.
Test(memory_budget, keeps_room_for_small_requests)
{
  auto b = budget_of(160);
  std::vector<request_hold> large(100);
  std::size_t taken = 0;
  while (resize(b, large[taken], mib)) {
    ++taken;
  }
  cr_assert_eq(taken, 35);
  request_hold small;
  cr_assert(resize(b, small, 64 * kib));
  cr_assert_not(resize(b, small, 64 * kib + 1), "it would become large");
  cr_assert_eq(small.bytes, 64 * kib, "a refusal changes nothing");
  SECTION("what is released can be taken again")
  {
    cr_assert(resize(b, large[0], 0));
    cr_assert(resize(b, small, mib));
  }
}

// Guards against parts that each stay within a bound of their own and fill the
// memory together.
Test(memory_budget, bounds_the_sum_of_all_parts)
{
  auto b = budget_of(160);
  add_bytes(b.answers, 60 * mib);
  cr_assert(take_submission(b, 20 * mib));
  cr_assert_not(take_submission(b, 20 * mib));
  request_hold large;
  cr_assert_not(resize(b, large, 10 * mib));
  cr_assert(resize(b, large, 7 * mib));
  cr_assert_not(has_room_for_moment(b, 20 * mib));
  release_submission(b, 20 * mib);
  cr_assert(has_room_for_moment(b, 20 * mib));
  cr_assert_eq(held_bytes(b), 67 * mib);
}

Test(memory_budget, counts_what_requests_hold)
{
  auto b = budget_of(160);
  request_hold h;
  cr_assert(resize(b, h, 10 * kib));
  cr_assert(resize(b, h, 2 * mib));
  cr_assert_eq(b.large_request_bytes, 2 * mib);
  cr_assert(resize(b, h, kib));
  cr_assert_eq(b.large_request_bytes, 0);
  cr_assert_eq(b.request_bytes, kib);
  cr_assert_eq(b.peak_request_bytes, 2 * mib);
  cr_assert(resize(b, h, 0));
  cr_assert_eq(b.request_bytes, 0);
}

// Guards against a changed decision where the memory is not configured.
Test(memory_budget, refuses_nothing_without_a_bound)
{
  auto b = budget_of(0);
  request_hold h;
  cr_assert(resize(b, h, 1024 * mib));
  cr_assert(take_submission(b, 1024 * mib));
  cr_assert(has_room_for_moment(b, 1024 * mib));
  cr_assert(can_ever_fit(b.limits, 1024 * mib));
}

// Guards against a caller that is told to come back with a request that never
// fits.
Test(memory_budget, knows_what_never_fits)
{
  const auto limits = memory_limits_for(160, 0);
  cr_assert(can_ever_fit(limits, 35 * mib));
  cr_assert_not(can_ever_fit(limits, 36 * mib));
  cr_assert(can_ever_fit(memory_limits_for(160, 60), 36 * mib));
}

Test(memory_budget, bounds_connections_by_what_they_may_hold_unread)
{
  cr_assert_eq(connection_limit_for(160, 16 * kib), 1280);
  cr_assert_eq(connection_limit_for(260, 16 * kib), 2080);
}
