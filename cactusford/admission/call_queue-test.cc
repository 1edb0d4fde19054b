#include "cactusford/admission/call_queue.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace cactusford;
using namespace cactusford::admission;

namespace {

constexpr std::uint64_t start_ms = 1'000'000;
constexpr backends::reported_load free_load{ 1, 0, 6 };
constexpr backends::reported_load full_load{ 6, 2, 6 };

// A service with room for exactly `limit` calls of `usual_ms` each.
call_queue
queue_of(std::size_t limit, double usual_ms)
{
  call_queue q;
  set_slots(q, limit, start_ms);
  q.limit = static_cast<double>(limit);
  q.usual_ms = { usual_ms, usual_ms };
  return q;
}

queued_call
call_of(std::uint64_t id,
        const std::string& workspace,
        std::uint64_t now,
        std::uint64_t wait_ms = 800)
{
  queued_call c;
  c.id = id;
  c.demand.workspace = workspace;
  c.arrived_ms = now;
  c.deadline_ms = now + wait_ms;
  return c;
}

// Plays calls of fixed duration against the queue in steps of one millisecond.
struct player
{
  call_queue q;
  std::uint64_t call_ms;
  std::uint64_t now = start_ms;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, std::uint64_t> ends_at = {};
  std::map<std::string, int> started = {};
  std::set<std::uint64_t> ran = {};
  std::set<std::uint64_t> refused = {};
  std::uint64_t longest_wait_ms = 0;

  void step()
  {
    ++now;
    std::erase_if(ends_at, [&](const auto& e) {
      if (e.second <= now) {
        on_end(q, e.first, call_ms, free_load, now);
      }
      return e.second <= now;
    });
    start();
    for (const auto& r : take_refused(q, now)) {
      refused.insert(r.id);
    }
  }

  void start()
  {
    while (const auto id = next_start(q, now)) {
      const auto& c = q.running.at(*id).call;
      ++started[c.demand.workspace];
      longest_wait_ms = std::max(longest_wait_ms, now - c.arrived_ms);
      ran.insert(*id);
      ends_at[*id] = now + call_ms;
    }
  }

  std::optional<refused_call> add(queued_call c)
  {
    const auto result = enqueue(q, std::move(c), now);
    if (result.refused) {
      refused.insert(result.refused->id);
    }
    start();
    return result.refused;
  }
};

} // namespace

// Guards against a queue that costs time where there is none to gain: 22 small
// entries with two calls each, at servers with free slots.
Test(call_queue, two_calls_of_an_entry_never_wait)
{
  for (const std::size_t slots : { 1, 2, 6, 42 }) {
    call_queue q;
    set_slots(q, slots, start_ms);
    enqueue(q, call_of(1, "a", start_ms), start_ms);
    enqueue(q, call_of(2, "a", start_ms), start_ms);
    cr_assert(next_start(q, start_ms));
    cr_assert(next_start(q, start_ms));
  }
  SECTION("nor after refusals")
  {
    call_queue q;
    set_slots(q, 42, start_ms);
    for (std::uint64_t i = 0; i < 50; ++i) {
      on_refusal(q, start_ms + 1000 * i);
    }
    cr_assert_geq(q.limit, 2);
  }
}

// Guards against a limit that stays low after a burst of refusals although the
// servers report free slots.
Test(call_queue, limit_follows_what_servers_report)
{
  auto q = queue_of(42, 20);
  on_refusal(q, start_ms);
  on_refusal(q, start_ms + 1);
  cr_assert_float_eq(q.limit, 42 * 0.67, 0.01, "a burst counts once");
  q.limit = 2;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    enqueue(q, call_of(id, "a", start_ms), start_ms);
    next_start(q, start_ms);
    on_end(q, id, 20, free_load, start_ms);
  }
  cr_assert_geq(q.limit, 10);
  SECTION("it does not rise while requests wait at the servers")
  {
    const auto before = q.limit;
    enqueue(q, call_of(9, "a", start_ms), start_ms);
    next_start(q, start_ms);
    on_end(q, 9, 20, full_load, start_ms);
    cr_assert_eq(q.limit, before);
  }
}

// Guards against calls that are held until they are useless: a burst of five
// times the rate. What is accepted is answered in time, the rest is refused
// when it arrives.
Test(call_queue, refuses_the_excess_of_a_burst_at_once)
{
  player p{ queue_of(4, 20), 20 };
  std::size_t refused_on_arrival = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    p.add(call_of(++p.last_id, "a", p.now, 150)) ? ++refused_on_arrival : 0;
    p.step();
  }
  const auto capacity = std::size_t{ 4 * 1000 / 20 };
  cr_assert_geq(p.ran.size(), capacity * 9 / 10);
  cr_assert_eq(refused_on_arrival, p.refused.size());
  cr_assert_leq(p.longest_wait_ms, 130);
}

// Guards against a workspace that takes all capacity: it makes nine tenths of
// the calls, and one other the rest.
Test(call_queue, a_large_workspace_leaves_the_others_their_share)
{
  player p{ queue_of(2, 20), 20 };
  for (int ms = 0; ms < 2000; ++ms) {
    if (ms % 2 == 0) {
      p.add(call_of(++p.last_id, ms % 20 == 0 ? "small" : "large", p.now));
    }
    p.step();
  }
  cr_assert_geq(p.started["small"], 45, "half of its 100 calls");
  SECTION("weights hold although the limit is lower than a weight")
  {
    player w{ queue_of(2, 20), 20 };
    for (int ms = 0; ms < 2000; ++ms) {
      for (const auto* name : { "heavy", "light" }) {
        auto c = call_of(++w.last_id, name, w.now);
        c.demand.weight = name[0] == 'h' ? 4 : 1;
        w.add(c);
      }
      w.step();
    }
    const auto light = w.started["light"];
    cr_assert_geq(light, 30);
    cr_assert_geq(w.started["heavy"], 3 * light);
  }
}

// Guards against a declared limit that blocks others: calls of a workspace at
// its maximum wait, and the room goes to the next workspace.
Test(call_queue, a_workspace_at_its_maximum_does_not_block_others)
{
  auto q = queue_of(4, 20);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    auto c = call_of(id, "limited", start_ms);
    c.demand.max_running = 1;
    enqueue(q, c, start_ms);
  }
  enqueue(q, call_of(4, "other", start_ms), start_ms);
  cr_assert_eq(*next_start(q, start_ms), 1);
  cr_assert_eq(*next_start(q, start_ms), 4);
  cr_assert_not(next_start(q, start_ms).has_value());
}

// Guards against callers that wait behind the scorers' calls of a finished
// step: a hundred of 80 ms each.
Test(call_queue, callers_do_not_wait_behind_scorers)
{
  auto q = queue_of(10, 20);
  q.usual_ms = { 20, 80 };
  for (std::uint64_t id = 1; id <= 100; ++id) {
    auto c = call_of(id, "", start_ms, 10'000);
    c.demand.is_scorer = true;
    enqueue(q, c, start_ms);
  }
  std::size_t scorers = 0;
  while (next_start(q, start_ms)) {
    ++scorers;
  }
  cr_assert_eq(scorers, 10);
  auto c = call_of(101, "a", start_ms, 150);
  c.demand.urgency = 9;
  cr_assert_not(enqueue(q, c, start_ms).refused.has_value());
  cr_assert_eq(*next_start(q, start_ms), 101);
}

// Guards against calls that wait for servers which have slowed down to a third:
// the accepted ones shrink with the measured duration.
Test(call_queue, accepts_less_from_slowed_servers)
{
  player p{ queue_of(4, 20), 60 };
  for (int ms = 0; ms < 1000; ++ms) {
    if (ms % 5 == 0) {
      p.add(call_of(++p.last_id, "a", p.now, 150));
    }
    p.step();
  }
  cr_assert_leq(p.longest_wait_ms, 130);
  cr_assert_geq(p.ran.size(), 4 * 1000 / 60 * 9 / 10);
  cr_assert_leq(p.q.waiting.size(), 10);
}

// Guards against a second wave: every server is gone for 5 s, then all refused
// callers return at once on top of the new calls. Callers make 100 calls a
// second at 4 slots of 20 ms, that is room for 20 calls in 100 ms.
Test(call_queue, refused_callers_return_spread_over_time)
{
  player p{ queue_of(4, 20), 20 };
  struct caller
  {
    std::uint64_t gives_up_ms;
    std::uint64_t returns_ms;
  };
  std::map<std::uint64_t, caller> waiting;
  std::vector<caller> returning;
  std::map<std::uint64_t, int> returns;
  std::size_t seen = 0;
  const auto arrive = [&](std::uint64_t gives_up_ms) {
    const auto id = ++p.last_id;
    waiting[id] = { gives_up_ms, 0 };
    p.add(call_of(id, "a", p.now, gives_up_ms - p.now));
  };
  for (int ms = 0; ms < 9000; ++ms) {
    if (ms == 2000) {
      set_slots(p.q, 0, p.now);
    } else if (ms == 7000) {
      set_slots(p.q, 4, p.now);
    }
    if (ms % 10 == 0) {
      arrive(p.now + 800);
    }
    for (const auto& r : std::exchange(returning, {})) {
      if (r.returns_ms <= p.now) {
        ++returns[ms / 100];
        arrive(r.gives_up_ms);
      } else {
        returning.push_back(r);
      }
    }
    p.step();
    for (const auto id : std::exchange(p.refused, {})) {
      const auto c = waiting.at(id);
      const auto left = c.gives_up_ms > p.now ? c.gives_up_ms - p.now : 0;
      const auto wait = retry_after_ms(p.q, left, p.now);
      if (wait < left) {
        returning.push_back({ c.gives_up_ms, p.now + wait });
        ++seen;
      }
    }
  }
  cr_assert_gt(seen, 100);
  for (const auto& [at, count] : returns) {
    cr_assert_leq(count, 30, "%d returns in one interval", count);
  }
  cr_assert(p.q.waiting.empty(), "the backlog is served");
}

// Guards against callers who are told the same time: those refused first
// return first, and the times have the measured rate.
Test(call_queue, callers_refused_together_return_one_after_the_other)
{
  auto q = queue_of(4, 20);
  q.answered_before = 50;
  std::uint64_t last = 0;
  for (int i = 0; i < 8; ++i) {
    const auto wait = retry_after_ms(q, 2000, start_ms);
    cr_assert_geq(wait, 100);
    cr_assert_gt(wait, last);
    cr_assert_eq(wait % 10, 0);
    last = wait;
  }
  cr_assert_leq(last, 300);
  SECTION("but within a third of what a caller has left")
  {
    cr_assert_leq(retry_after_ms(q, 400, start_ms), 133);
  }
  SECTION("reservations expire")
  {
    cr_assert_eq(retry_after_ms(q, 2000, start_ms + 5000), 100);
  }
}

// Guards against callers who are told to return late because of scorers' calls,
// which start after theirs.
Test(call_queue, waiting_scorers_do_not_delay_the_return_of_callers)
{
  auto q = queue_of(2, 20);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    auto c = call_of(id, "", start_ms, 10'000);
    c.demand.is_scorer = true;
    enqueue(q, c, start_ms);
  }
  cr_assert_eq(retry_after_ms(q, 2000, start_ms), 100);
}

// Guards against calls that wait for servers which do not come back.
Test(call_queue, waits_briefly_for_a_server)
{
  auto q = queue_of(4, 20);
  set_slots(q, 0, start_ms);
  enqueue(q, call_of(1, "a", start_ms), start_ms);
  cr_assert_not(next_start(q, start_ms).has_value());
  cr_assert(take_refused(q, start_ms + 300).empty());
  SECTION("it starts when a server appears")
  {
    auto back = q;
    set_slots(back, 6, start_ms + 200);
    cr_assert(next_start(back, start_ms + 200).has_value());
  }
  const auto refused = take_refused(q, start_ms + 301);
  cr_assert_eq(refused.size(), 1);
  cr_assert(refused[0].why == refusal::no_server);
}

// Guards against a full queue that shuts out an urgent caller, and against one
// that grows without bound.
Test(call_queue, full_queue_drops_the_least_urgent_call)
{
  auto q = queue_of(2, 0);
  q.max_waiting = 3;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    auto c = call_of(id, "a", start_ms);
    c.demand.urgency = 2;
    enqueue(q, c, start_ms);
    next_start(q, start_ms);
  }
  auto same = call_of(6, "a", start_ms);
  same.demand.urgency = 2;
  const auto full = enqueue(q, same, start_ms).refused;
  cr_assert(full == (refused_call{ 6, refusal::no_room }));
  const auto displaced = enqueue(q, call_of(7, "a", start_ms), start_ms);
  cr_assert(displaced.refused == (refused_call{ 5, refusal::no_room }));
  on_cancel(q, 1);
  cr_assert_eq(*next_start(q, start_ms), 7, "the urgent call is next");
}

// Guards against a waiting call that is never answered: a call that came too
// late displaced it from the full queue, and only the late one was reported.
Test(call_queue, a_call_that_is_too_late_displaces_no_other)
{
  auto q = queue_of(2, 100);
  q.max_waiting = 3;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    auto c = call_of(id, "", start_ms, 10'000);
    c.demand.is_scorer = id > 2;
    enqueue(q, c, start_ms);
    next_start(q, start_ms);
  }
  cr_assert_eq(q.waiting.size(), q.max_waiting);
  const auto late = enqueue(q, call_of(6, "a", start_ms, 150), start_ms);
  cr_assert(late.refused == (refused_call{ 6, refusal::too_late }));
  for (const auto id : { 3, 4, 5 }) {
    cr_assert(q.waiting.contains(static_cast<std::uint64_t>(id)));
  }
}

// Guards against a call that is refused although servers are free: it has less
// time left than calls usually take, and the clock advances between its arrival
// and its start.
Test(call_queue, a_call_that_arrives_when_there_is_room_starts)
{
  auto q = queue_of(2, 100);
  enqueue(q, call_of(1, "a", start_ms, 50), start_ms);
  auto later = q;
  cr_assert(next_start(later, start_ms + 1) == 1);
  SECTION("but not once it has waited")
  {
    take_refused(q, start_ms);
    cr_assert_not(next_start(q, start_ms + 1).has_value());
  }
}

// Guards against capacity that is lost to callers who have left: a call that
// is cancelled frees its place, whether it waits or runs.
Test(call_queue, cancelled_calls_free_their_places)
{
  auto q = queue_of(2, 20);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    enqueue(q, call_of(id, "a", start_ms), start_ms);
  }
  next_start(q, start_ms);
  next_start(q, start_ms);
  on_cancel(q, 3);
  on_cancel(q, 1);
  cr_assert_eq(*next_start(q, start_ms), 4);
  cr_assert(q.waiting.empty());
  SECTION("at shutdown all waiting calls are refused, none that runs")
  {
    enqueue(q, call_of(5, "a", start_ms), start_ms);
    const auto refused = refuse_all(q, refusal::leaving);
    cr_assert(refused ==
              (std::vector<refused_call>{ { 5, refusal::leaving } }));
    cr_assert_eq(q.running.size(), 2);
  }
}

// Guards against second attempts that take the slots of waiting calls, and
// against their absence when a server is silent without any sign of load.
Test(call_queue, is_congested_only_by_evidence)
{
  auto q = queue_of(2, 20);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    enqueue(q, call_of(id, "a", start_ms), start_ms);
    next_start(q, start_ms);
  }
  cr_assert_not(is_congested(q, start_ms));
  on_refusal(q, start_ms);
  cr_assert(is_congested(q, start_ms + 100));
  cr_assert_not(is_congested(q, start_ms + 1000));
}

Test(call_queue, property_decisions_keep_their_promises)
{
  const bool ok = rc::check("invariants of the queue", [] {
    player p{ queue_of(*rc::gen::inRange(2, 8), 20), 20 };
    std::map<std::uint64_t, queued_call> all;
    const auto actions = *rc::gen::container<std::vector<int>>(
      static_cast<std::size_t>(*rc::gen::inRange(1, 400)),
      rc::gen::inRange(0, 12));
    for (const auto action : actions) {
      if (action < 9) {
        auto c = call_of(
          ++p.last_id, std::string(1, char('a' + action % 3)), p.now, 150);
        c.demand.urgency = action % 2;
        c.demand.max_running = action % 3 == 2 ? 1 : 0;
        c.demand.is_scorer = action == 8;
        all[c.id] = c;
        const auto before = p.q.waiting;
        p.add(c);
        // A call that started before a more urgent one could not have been
        // passed by it: that one was at its workspace's maximum.
        if (p.ran.contains(c.id)) {
          for (const auto& [id, w] : before) {
            RC_ASSERT(w.demand.is_scorer ||
                      w.demand.urgency >= c.demand.urgency ||
                      w.demand.max_running > 0);
          }
        }
      } else if (action == 9 && !p.q.running.empty()) {
        const auto id = p.q.running.begin()->first;
        on_cancel(p.q, id);
        p.ends_at.erase(id);
        p.start();
      } else {
        p.step();
      }
      // No room is idle while a call waits that may use it.
      auto probe = p.q;
      RC_ASSERT(!next_start(probe, p.now));
      // No call waits longer than it can still be answered in time.
      for (const auto& [id, w] : p.q.waiting) {
        RC_ASSERT(w.deadline_ms >= p.now + 20 || w.arrived_ms == p.now);
      }
      RC_ASSERT(p.q.waiting.size() <= p.q.max_waiting);
      RC_ASSERT(static_cast<double>(p.q.running.size() - p.q.running_scorers) <=
                p.q.slots);
    }
    // A refused call never ran.
    for (const auto id : p.refused) {
      RC_ASSERT(!p.ran.contains(id));
    }
  });
  cr_assert(ok);
}

Test(call_queue, property_no_workspace_starves)
{
  const bool ok = rc::check("a quarter of the fair share", [] {
    player p{ queue_of(*rc::gen::inRange(2, 6), 10), 10 };
    const auto count = *rc::gen::inRange(2, 6);
    std::vector<std::uint32_t> weights;
    double sum = 0;
    for (int i = 0; i < count; ++i) {
      weights.push_back(*rc::gen::inRange(1U, 10U));
      sum += weights.back();
    }
    const auto greedy = *rc::gen::inRange(0, count);
    const auto keep_waiting = [&](int w) {
      const auto name = std::to_string(w);
      const auto target = w == greedy ? 20U : 2U;
      while (p.q.workspaces[name].waiting < target) {
        auto c = call_of(++p.last_id, name, p.now, w == greedy ? 5000 : 10'000);
        c.demand.weight = weights[static_cast<std::size_t>(w)];
        p.add(c);
      }
    };
    for (int ms = 0; ms < 2000; ++ms) {
      for (int w = 0; w < count; ++w) {
        keep_waiting(w);
      }
      p.step();
    }
    const auto total = static_cast<double>(p.ran.size());
    for (int w = 0; w < count; ++w) {
      const auto fair = total * weights[static_cast<std::size_t>(w)] / sum;
      RC_ASSERT(p.started[std::to_string(w)] >= fair / 4);
    }
  });
  cr_assert(ok);
}
