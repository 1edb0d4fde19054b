#include "cactusford/batches/run_health.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cactusford::batches;

namespace {

// A run that had events and is silent for 300 ms on an engine with 8 runs on 6
// slots.
run_view
run_without_a_slot()
{
  return { true, 300, 288, 8, 6, false, true };
}

} // namespace

// Three owners put 7.8 runs on engines of six slots. Those without a slot were
// taken for hanging, their engines avoided, and their texts started again on
// new connections: 140 of them on a quiet day.
Test(run_health, a_run_without_a_slot_is_not_taken_for_hanging)
{
  auto r = run_without_a_slot();
  cr_assert_eq(health_of(r), run_health::waiting);
  cr_assert_not(must_move(r));
  cr_assert_not(may_move_to_free_slot(r));
  SECTION("it may move to a free slot after half a second")
  {
    r.silent_ms = 500;
    cr_assert(may_move_to_free_slot(r));
    cr_assert_not(must_move(r));
  }
  SECTION("a preempted run is recognized by the events of the others")
  {
    r.engine_runs = 6;
    r.has_active_sibling = true;
    cr_assert_eq(health_of(r), run_health::waiting);
  }
  SECTION("a run within its limit is active")
  {
    r.silent_ms = 288;
    cr_assert_eq(health_of(r), run_health::active);
  }
}

// Guards against a run that is stopped at once, and a healthy engine that is
// marked as failed: a check that moves one run starts others, at a later time
// than its own. Their unsigned silence was taken for an endless one.
Test(run_health, a_run_started_during_the_check_is_active)
{
  auto r = run_without_a_slot();
  r.has_events = false;
  r.silent_ms = silent_time_ms(20'003, 20'000);
  cr_assert_eq(health_of(r), run_health::active);
  cr_assert_not(must_move(r));
  cr_assert_eq(silent_time_ms(20'000, 20'300), 300);
}

// Guards against an engine that hangs and is never marked as failed: it states
// no slots, so that each of its runs seemed to be one too many.
Test(run_health, a_lone_run_on_an_engine_of_unknown_size_is_stalled)
{
  auto r = run_without_a_slot();
  r.engine_slots = 0;
  r.engine_runs = 1;
  cr_assert_eq(health_of(r), run_health::stalled);
  r.engine_runs = 2;
  cr_assert_eq(health_of(r), run_health::waiting);
}

// Guards against a text that never ends because its stream alone hangs while
// the others of the engine go on and no slot is free elsewhere.
Test(run_health, a_waiting_run_moves_in_the_end)
{
  auto r = run_without_a_slot();
  r.silent_ms = first_event_limit_ms + 1;
  cr_assert_eq(health_of(r), run_health::waiting);
  cr_assert(must_move(r));
  SECTION("so does one that waits for its first event")
  {
    r.has_events = false;
    cr_assert(must_move(r));
    r.silent_ms = first_event_limit_ms;
    cr_assert_not(must_move(r));
    cr_assert_not(may_move_to_free_slot(r));
  }
}

// Guards against runs that stay on an engine that hangs.
Test(run_health, a_run_that_hangs_moves_at_once)
{
  auto r = run_without_a_slot();
  r.engine_runs = 6;
  cr_assert_eq(health_of(r), run_health::stalled);
  cr_assert(must_move(r));
}

// Guards against a change where owners do not compete: with one owner, a run is
// moved just when the code before moved it, and its engine is marked as failed.
Test(run_health, a_single_owner_handles_all_silent_runs_as_stalled)
{
  const bool ok = rc::check([] {
    run_view r;
    r.is_shared = false;
    r.has_events = *rc::gen::arbitrary<bool>();
    r.silent_ms = *rc::gen::inRange<std::uint64_t>(0, 2000);
    r.silence_limit_ms = *rc::gen::inRange<std::uint64_t>(250, 701);
    r.engine_runs = *rc::gen::inRange<std::uint32_t>(0, 12);
    r.engine_slots = 6;
    r.has_active_sibling = *rc::gen::arbitrary<bool>();
    const auto limit = r.has_events ? r.silence_limit_ms : 1500;
    RC_ASSERT(must_move(r) == (r.silent_ms > limit));
    RC_ASSERT(!may_move_to_free_slot(r));
    RC_ASSERT(health_of(r) ==
              (must_move(r) ? run_health::stalled : run_health::active));
  });
  cr_assert(ok);
}

// Guards against runs that leave a cold engine because it is slow, and against
// runs that stay for ever on one that has crashed while it was cold.
Test(warm_up,
     silence_on_a_cold_engine_is_no_trouble_until_all_its_runs_are_silent)
{
  run_view r{ true, 1000, 288, 4, 6, false, false };
  cr_assert(must_move(r), "warm");
  r.is_cold = true;
  cr_assert_eq(health_of(r), run_health::active);
  cr_assert_not(must_move(r));
  cr_assert_not(may_move_to_free_slot(r));
  SECTION("a dead connection is found")
  {
    r.silent_ms = first_event_limit_ms + 1;
    cr_assert_eq(health_of(r), run_health::stalled);
    cr_assert(must_move(r));
  }
  SECTION("while other runs have events the run waits")
  {
    r.has_active_sibling = true;
    cr_assert_eq(health_of(r), run_health::waiting);
    cr_assert_not(must_move(r));
    cr_assert_not(may_move_to_free_slot(r));
  }
  SECTION("but a single stream that hangs is found too")
  {
    r.silent_ms = 2 * first_event_limit_ms + 1;
    cr_assert(must_move(r));
  }
}
