#include "cactusford/edge/caller_limits.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::edge;

namespace {

constexpr std::uint64_t mib = 1U << 20;

std::shared_ptr<http::buffer_budget>
budget_of(std::uint64_t memory_mb)
{
  auto b = std::make_shared<http::buffer_budget>();
  b->limit_bytes = http::buffer_limit_for(memory_mb);
  return b;
}

} // namespace

// Guards against callers of short answers who are refused because others do
// not read long ones.
Test(caller_limits, short_answers_have_room_beside_long_ones)
{
  const auto b = budget_of(160);
  answer_lengths lengths;
  note_answer(lengths, "/short/", 800);
  note_answer(lengths, "/long/", mib);
  http::add_bytes(*b, b->limit_bytes + mib);
  cr_assert(has_short_answers(lengths, "/short/"));
  cr_assert(http::may_take_short_call(*b));
  cr_assert_not(has_short_answers(lengths, "/long/"));
  cr_assert_not(http::may_take_call(*b, expected_answer(lengths, "/long/")));
  SECTION("a route without answers so far may have long ones")
  {
    cr_assert_not(has_short_answers(lengths, "/new/"));
  }
  SECTION("a long answer is remembered for a while")
  {
    for (int i = 0; i < 10; ++i) {
      note_answer(lengths, "/long/", 800);
    }
    cr_assert_not(has_short_answers(lengths, "/long/"));
    for (int i = 0; i < 20; ++i) {
      note_answer(lengths, "/long/", 800);
    }
    cr_assert(has_short_answers(lengths, "/long/"));
  }
}

// Guards against calls that are all taken while there is room, and whose
// answers then need it many times over.
Test(caller_limits, calls_keep_room_for_their_answers)
{
  const auto b = budget_of(160);
  answer_lengths lengths;
  note_answer(lengths, "/long/", mib);
  const auto expected = expected_answer(lengths, "/long/");
  std::vector<std::unique_ptr<answer_reservation>> calls;
  while (http::may_take_call(*b, expected)) {
    calls.push_back(std::make_unique<answer_reservation>(b, expected));
  }
  cr_assert_eq(calls.size(), 40);
  SECTION("a call that has ended leaves its room")
  {
    calls.front()->release();
    calls.front().reset();
    cr_assert(http::may_take_call(*b, expected));
  }
  SECTION("without a bound all are taken")
  {
    cr_assert(http::may_take_call(*budget_of(0), 1024 * mib));
  }
}

Test(caller_limits, follow_from_the_memory_of_the_instance)
{
  hosted_settings s;
  s.memory_mb = 160;
  const auto memory = std::make_shared<http::request_memory>();
  set_bounds(memory->budget, s);
  cr_assert_eq(memory->budget.limits.request_bytes, 40 * mib);
  cr_assert_eq(memory->budget.limits.total_bytes, 100 * mib);
  cr_assert_eq(options_for(port_kind::callers, s, memory).connections, 1280);
  SECTION("unless they are set")
  {
    s.request_memory_mb = 50;
    s.max_connections = 3000;
    set_bounds(memory->budget, s);
    cr_assert_eq(memory->budget.limits.request_bytes, 50 * mib);
    cr_assert_eq(options_for(port_kind::callers, s, memory).connections, 3000);
  }
  SECTION("ports for monitoring keep no bodies")
  {
    cr_assert_not(options_for(port_kind::monitoring, s, memory).keeps_bodies);
  }
}
