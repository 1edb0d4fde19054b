#include "cactusford/weights/machine.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::weights;
using engine::order_kind;

namespace {

weight_state
idle_state_at(std::uint64_t version)
{
  weight_state m;
  m.model = "m";
  next_action(m, 0);
  on_read(m, { { version, 0 }, {} }, 0);
  return m;
}

} // namespace

Test(weights, stages_ahead_and_then_swaps)
{
  auto m = idle_state_at(3);
  set_target(m, 4, 100, 50);
  cr_assert(next_action(m, 10) == action::stage);
  cr_assert_eq(serving_version(m), 3, "the old version serves while staging");
  on_order(m, order_kind::stage, 4, {}, 20);
  cr_assert(next_action(m, 20) == action::none, "its wave has not started");
  cr_assert(next_action(m, 50) == action::swap);
  cr_assert_eq(serving_version(m), 0, "no version is known during a swap");
  on_order(m, order_kind::swap, 4, {}, 60);
  cr_assert_eq(serving_version(m), 4);
  cr_assert(next_action(m, 60) == action::none);
}

// Guards against misattributed tokens: the answer to a swap is lost, and the
// engine may run the old or the new weights. The sidecar reports no version
// until it has read the versions back.
Test(weights, reads_back_after_a_lost_answer)
{
  auto m = idle_state_at(3);
  set_target(m, 4, 100, 0);
  next_action(m, 0);
  on_order(m, order_kind::stage, 4, {}, 0);
  const auto epoch = m.swap_epoch;
  next_action(m, 0);
  on_order(m, order_kind::swap, 4, { error_kind::outcome_unknown, "" }, 10);
  cr_assert_eq(serving_version(m), 0);
  cr_assert_gt(m.swap_epoch, epoch);
  cr_assert(next_action(m, 11) == action::none, "a backoff comes first");
  cr_assert(next_action(m, 200) == action::read_back);
  SECTION("the swap had taken effect")
  {
    auto done = m;
    on_read(done, { { 4, 0 }, {} }, 210);
    cr_assert_eq(serving_version(done), 4);
    cr_assert(next_action(done, 210) == action::none);
  }
  SECTION("the swap had not taken effect and is ordered again")
  {
    auto undone = m;
    on_read(undone, { { 3, 4 }, {} }, 210);
    cr_assert_eq(serving_version(undone), 3);
    cr_assert(next_action(undone, 210) == action::swap);
  }
}

Test(weights, ignores_an_older_target)
{
  auto m = idle_state_at(3);
  set_target(m, 5, 200, 0);
  set_target(m, 4, 100, 0);
  cr_assert_eq(m.target_version, 5);
  SECTION("a rollback is a newer order for an older version")
  {
    set_target(m, 3, 300, 0);
    cr_assert_eq(m.target_version, 3);
  }
}

Test(weights, waves_keep_the_stated_share_serving)
{
  cr_assert_eq(wave_delay_ms(0, 8, 0.5, 100), 0);
  cr_assert_eq(wave_delay_ms(3, 8, 0.5, 100), 0);
  cr_assert_eq(wave_delay_ms(4, 8, 0.5, 100), 100);
  cr_assert_eq(wave_delay_ms(2, 3, 0.01, 100), 200, "at least one at a time");
}
