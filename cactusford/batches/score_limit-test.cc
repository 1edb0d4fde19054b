#include "cactusford/batches/score_limit.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace cactusford::batches;

namespace {

constexpr std::size_t slots = 36;

} // namespace

// Two owners have 160 texts each to score on 36 slots that they share with
// callers. Calls without a free slot are refused.
Test(score_limit, owners_settle_within_the_places)
{
  std::array<score_limit, 2> owners{};
  std::size_t refused = 0;
  std::size_t scored = 0;
  for (std::uint64_t round = 0; round < 50; ++round) {
    const auto now = round * 80;
    std::size_t running = 0;
    for (auto& l : owners) {
      while (can_start(l)) {
        on_call_start(l);
      }
      running += l.in_flight;
    }
    const auto full = running > slots ? running - slots : 0;
    refused += full;
    scored += running - full;
    std::size_t left_to_refuse = full;
    for (auto& l : owners) {
      while (l.in_flight > 0) {
        const bool is_refused = left_to_refuse > 0;
        left_to_refuse -= is_refused ? 1 : 0;
        on_call_end(
          l, is_refused ? score_end::refused : score_end::answered, slots, now);
      }
    }
  }
  cr_assert_leq(refused, scored / 10);
  cr_assert_geq(scored, 50 * slots / 2, "at least half of the slots are used");
}

Test(score_limit, leaves_places_to_callers)
{
  score_limit l;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    on_call_start(l);
    on_call_end(l, score_end::answered, slots, i);
  }
  cr_assert_leq(l.limit, 0.75 * slots);
  SECTION("a burst of refusals counts once")
  {
    const auto before = l.limit;
    for (int i = 0; i < 10; ++i) {
      on_call_end(l, score_end::refused, slots, 20'000);
    }
    cr_assert_geq(l.limit, before / 2);
  }
  SECTION("the limit never drops to zero")
  {
    for (std::uint64_t i = 0; i < 100; ++i) {
      on_call_end(l, score_end::refused, slots, 20'000 + 1000 * i);
    }
    cr_assert(can_start(l));
  }
  SECTION("a cancelled call frees its slot and does not change the limit")
  {
    auto given_up = l;
    on_call_start(given_up);
    on_call_end(given_up, score_end::cancelled, slots, 20'000);
    cr_assert_eq(given_up.limit, l.limit);
  }
}

// Guards against callers that wait behind scorer calls at servers which do not
// refuse yet: three owners score 352 texts on 42 slots, and a server accepts
// six waiting requests beside its six slots. Without yielding, the limits grow
// until servers refuse, that is until every server's queue is full.
Test(score_limit, yields_when_servers_report_waiting_requests)
{
  constexpr std::size_t all_slots = 42;
  std::array<score_limit, 3> owners{};
  for (auto& l : owners) {
    l.limit = 0.75 * all_slots;
  }
  std::size_t rounds_with_queue = 0;
  std::size_t scored = 0;
  constexpr std::size_t rounds = 60;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    std::size_t running = 0;
    for (auto& l : owners) {
      while (can_start(l)) {
        on_call_start(l);
      }
      running += l.in_flight;
    }
    const auto waiting = running > all_slots ? running - all_slots : 0;
    const cactusford::backends::reported_load load{
      static_cast<std::uint32_t>(running - waiting),
      static_cast<std::uint32_t>(waiting),
      all_slots
    };
    rounds_with_queue += waiting > 0 && round >= 10 ? 1 : 0;
    scored += running - waiting;
    for (auto& l : owners) {
      while (l.in_flight > 0) {
        on_call_end(l, yielding_end(l, load), all_slots, round * 80);
      }
    }
  }
  cr_assert_eq(rounds_with_queue, 0);
  cr_assert_geq(scored, rounds * all_slots / 2, "half of the slots are used");
}

// Guards against scores that take seconds when nobody else needs the servers:
// every answer reports waiting requests, which are other owners' scorer calls.
Test(score_limit, keeps_a_share_while_requests_wait)
{
  constexpr std::size_t all_slots = 42;
  score_limit l;
  for (std::uint64_t i = 0; i < 100; ++i) {
    on_call_start(l);
    on_call_end(
      l, score_end::answered_while_queueing, all_slots, 1000 * (i + 1));
  }
  cr_assert_geq(l.limit, all_slots / 8.0);
}

// Guards against a change of behaviour where yielding is not required: the
// limit then follows refusals and answers alone.
Test(score_limit, yields_only_by_reported_load)
{
  score_limit l;
  l.in_flight = 8;
  cr_assert(yielding_end(l, { 0, 0, 0 }) == score_end::answered);
  cr_assert(yielding_end(l, { 4, 0, 6 }) == score_end::answered);
  cr_assert(yielding_end(l, { 5, 0, 6 }) == score_end::answered_without_growth);
  cr_assert(yielding_end(l, { 6, 1, 6 }) == score_end::answered_while_queueing);
}

// Guards against a burst that starts with the limit of the step before, or with
// one that single calls have raised: three owners would start 93 calls on 42
// slots at once.
Test(score_limit, starts_each_step_from_its_initial_value)
{
  score_limit l;
  for (std::uint64_t i = 0; i < 100; ++i) {
    on_call_start(l);
    on_call_end(l, yielding_end(l, { 0, 0, 6 }), 42, 100 * i);
  }
  cr_assert_leq(l.limit, score_limit{}.limit);
  l.limit = 31;
  on_call_start(l);
  restart_after_idle(l, 100'000);
  cr_assert_eq(l.limit, 31, "calls are in flight");
  on_call_end(l, score_end::cancelled, 42, 100'000);
  restart_after_idle(l, 100'100);
  cr_assert_eq(l.limit, 31, "the step goes on");
  restart_after_idle(l, 101'000);
  cr_assert_eq(l.limit, score_limit{}.limit);
}

// Guards against a change of the limit where scorers need not yield. The
// values were recorded with the code before yielding was added.
Test(score_limit, follows_the_recorded_sequence_without_yielding)
{
  constexpr std::array recorded{
    5.230260697, 5.207947240, 6.212193186, 5.269813835, 5.285306853
  };
  score_limit l;
  std::uint64_t random = 1;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto draw = (random >> 33U) % 100;
    if (draw < 50 && can_start(l)) {
      on_call_start(l);
    } else {
      const auto end = draw < 90   ? score_end::answered
                       : draw < 96 ? score_end::refused
                                   : score_end::cancelled;
      on_call_end(l, end, 42, 20 * i);
    }
    if (i % 400 == 399) {
      cr_assert_float_eq(l.limit, recorded[i / 400], 1e-8);
    }
  }
}
