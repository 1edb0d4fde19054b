#include "cactusford/backends/registry.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace cactusford;
using namespace cactusford::backends;

namespace {

announcement
engine(const std::string& id, std::uint64_t version)
{
  announcement a;
  a.id = id;
  a.service = "drafter";
  a.slots = 8;
  a.versions["m"] = version;
  return a;
}

registry
two_engines()
{
  registry r;
  announce(r, engine("a", 5));
  announce(r, engine("b", 6));
  return r;
}

item_needs
needs(std::uint64_t min_version)
{
  item_needs n;
  n.service = "drafter";
  n.model = "m";
  n.min_version = min_version;
  return n;
}

} // namespace

Test(registry, gives_items_to_engines_whose_weights_are_new_enough)
{
  auto r = two_engines();
  cr_assert(choose_for_item(r, needs(6), 0)->info.id == "b");
  cr_assert_null(choose_for_item(r, needs(7), 0));
  SECTION("a leaving engine gets no new work")
  {
    find(r, "b")->info.leaving = true;
    cr_assert_null(choose_for_item(r, needs(6), 0));
    cr_assert(choose_for_item(r, needs(5), 0)->info.id == "a");
  }
  SECTION("a full engine gets no new work")
  {
    find(r, "a")->in_flight = 8;
    cr_assert_null(choose_for_item(r, needs(5), 0));
  }
}

Test(registry, keeps_the_newest_version_it_has_seen)
{
  auto r = two_engines();
  find(r, "a")->info.versions["m"] = 9;
  announce(r, engine("a", 5));
  cr_assert_eq(find(r, "a")->info.versions["m"],
               9,
               "an announcement may be older than an engine's answer");
}

// Entries expire during a store outage of a few seconds, so the first list
// afterwards lacks engines that are alive. Dropping them at once would make
// calls fail with "no backend server". Live engines announce themselves again
// within two seconds; the ones still missing after that are removed.
Test(registry, keeps_lapsed_entries_for_a_moment_after_an_outage)
{
  auto r = two_engines();
  r.keep_missing_until_ms = 12000;
  replace_all(r, { engine("b", 6) }, 10000);
  cr_assert_not_null(find(r, "a"));
  SECTION("an engine that announces itself again is kept")
  {
    auto announced_again = r;
    announce(announced_again, engine("a", 5));
    expire(announced_again, 12001);
    cr_assert_not_null(find(announced_again, "a"));
  }
  SECTION("an engine that does not is removed")
  {
    cr_assert(expire(r, 12001));
    cr_assert_null(find(r, "a"));
  }
  SECTION("without an outage a withdrawn engine is removed at once")
  {
    auto no_outage = two_engines();
    withdraw(no_outage, "a", 100);
    cr_assert_null(find(no_outage, "a"));
  }
}

// At peak load a fifth of the engines become three to four times slower for
// eight seconds. The time between their stream events shows it within a few
// events.
Test(registry, sees_a_slow_engine_from_the_pace_of_its_streams)
{
  auto r = two_engines();
  std::uint64_t now = 0;
  for (int i = 0; i < 10; ++i) {
    now += 40;
    note_pace(*find(r, "a"), 40, now);
    note_pace(*find(r, "b"), 40, now);
  }
  const auto typical_ms = typical_pace_ms(r, "drafter", now);
  cr_assert_not(is_slow(*find(r, "b"), typical_ms, now));
  for (int i = 0; i < 4; ++i) {
    now += 140;
    note_pace(*find(r, "b"), 140, now);
    note_pace(*find(r, "a"), 40, now);
  }
  cr_assert(is_slow(*find(r, "b"), typical_pace_ms(r, "drafter", now), now));
  SECTION("a slow engine gets work only when the others are full")
  {
    cr_assert(choose_for_item(r, needs(5), now)->info.id == "a");
    find(r, "a")->in_flight = 8;
    cr_assert(choose_for_item(r, needs(5), now)->info.id == "b");
  }
  SECTION("the measurement expires, so that a recovered engine is tried again")
  {
    cr_assert_not(is_slow(*find(r, "b"), typical_ms, now + 5000));
  }
}

Test(registry, spreads_plain_calls_over_the_least_loaded)
{
  registry r;
  for (const auto* id : { "x", "y" }) {
    announcement a;
    a.id = id;
    a.service = "quotes";
    a.slots = 6;
    announce(r, a);
  }
  note_success(*find(r, "x"), 25);
  note_success(*find(r, "y"), 25);
  find(r, "x")->in_flight = 3;
  cr_assert(choose_for_call(r, { "quotes", "", {} }, 0, 0.5)->info.id == "y");
  SECTION("a server that failed is avoided for a while")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(choose_for_call(r, { "quotes", "", {} }, 1001, 0.5)->info.id ==
              "x");
    cr_assert(choose_for_call(r, { "quotes", "", {} }, 1300, 0.5)->info.id ==
              "y");
  }
  SECTION("an avoided server is used when there is no other")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(
      choose_for_call(r, { "quotes", "", { "x" } }, 1001, 0.5)->info.id == "y");
  }
}

// Each entry makes a call every few seconds and has six servers to choose from.
// If the calls were spread evenly, nearly each would open a new connection.
Test(registry, keeps_to_the_server_that_it_is_connected_to)
{
  registry r;
  for (const auto* id : { "x", "y", "z" }) {
    announcement a;
    a.id = id;
    a.address = std::string{ id } + ":1";
    a.service = "quotes";
    a.slots = 6;
    announce(r, a);
    note_success(*find(r, id), 25);
  }
  const call_needs needs{ "quotes", "", {}, [](const auto& address) {
                           return address == "y:1";
                         } };
  for (const double random : { 0.0, 0.4, 0.9 }) {
    cr_assert(choose_for_call(r, needs, 0, random)->info.id == "y");
  }
  SECTION("a connected server with more load is not preferred")
  {
    find(r, "y")->in_flight = 2;
    cr_assert(choose_for_call(r, needs, 0, 0)->info.id != "y");
  }
  SECTION("a connected server that failed is not preferred")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(choose_for_call(r, needs, 1001, 0)->info.id != "y");
  }
}

// An engine pauses and its six streams fail within a few milliseconds. If they
// counted as six failures, each doubling the backoff, the engine would be idle
// for two seconds after it has recovered.
Test(registry, counts_failures_that_come_together_once)
{
  auto r = two_engines();
  auto& b = *find(r, "b");
  for (std::uint64_t i = 0; i < 6; ++i) {
    note_failure(b, 1000 + i);
  }
  cr_assert_leq(b.avoided_until_ms, 1300);
  SECTION("a later failure counts and doubles the backoff")
  {
    const auto now = b.avoided_until_ms + 1;
    note_failure(b, now);
    cr_assert_gt(b.avoided_until_ms, now + 300);
  }
}

namespace {

announcement
engine_started_at(std::uint64_t started_ms, std::uint64_t version)
{
  auto a = engine("a", version);
  a.started_ms = started_ms;
  return a;
}

} // namespace

// An engine crashes with eight runs and restarts under the same id. If the old
// state were kept, the engine would be taken for full and stay idle, or be sent
// items for weights that it no longer has and refuse them.
Test(registry, resets_state_when_a_server_restarts)
{
  registry r;
  announce(r, engine_started_at(1000, 7));
  auto* b = find(r, "a");
  const auto before = incarnation_of(*b);
  b->in_flight = 8;
  note_failure(*b, 50);
  note_refusal(*b, "m", 50);
  note_pace(*b, 400, 50);
  cr_assert(announce(r, engine_started_at(2000, 6)) ==
            announce_result::new_incarnation);
  cr_assert_eq(b->in_flight, 0);
  cr_assert_eq(b->info.versions["m"],
               6,
               "versions of the old incarnation must be dropped");
  cr_assert_eq(b->pace_ms, 0);
  cr_assert_not_null(choose_for_item(r, needs(6), 60));
  SECTION("results of old runs are not counted for the new incarnation")
  {
    cr_assert_null(find(r, before));
    cr_assert_not_null(find(r, incarnation_of(*b)));
  }
  SECTION("an entry without a start time is dropped as another writer's")
  {
    auto copy = r;
    cr_assert(announce(copy, engine("x", 9)) ==
              announce_result::no_incarnation);
    cr_assert_null(find(copy, "x"));
    cr_assert(announce(copy, engine("a", 9)) ==
              announce_result::no_incarnation);
    cr_assert_null(find(copy, "a"), "the overwritten entry must be dropped");
  }
  SECTION("a delayed announcement is ignored, from a watch or a list")
  {
    const auto known = *b;
    cr_assert(announce(r, engine_started_at(1000, 9)) ==
              announce_result::past_incarnation);
    cr_assert(*find(r, "a") == known);
    const auto changes = replace_all(r, { engine_started_at(1000, 9) }, 70);
    cr_assert(*find(r, "a") == known);
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().what == announce_result::past_incarnation);
  }
}

// Another writer overwrites the entry of a backend server just after an outage,
// while expired entries are kept. This entry did not expire, so it is dropped.
Test(registry, drops_an_overwritten_entry_at_once)
{
  auto r = two_engines();
  r.keep_missing_until_ms = 12000;
  drop(r, "a");
  cr_assert_null(find(r, "a"));
}

// No server in this deployment publishes a start time, but one entry of another
// writer does. If that entry set the rule, every backend server would be
// dropped.
Test(registry, keeps_servers_when_a_single_entry_has_a_start_time)
{
  auto r = two_engines();
  auto foreign = engine("x", 5);
  foreign.started_ms = 1000;
  announce(r, foreign);
  cr_assert(announce(r, engine("a", 6)) == announce_result::same_incarnation);
  replace_all(r, { foreign, engine("a", 6), engine("b", 6) }, 10);
  cr_assert_not_null(find(r, "a"));
  cr_assert_not_null(find(r, "b"));
}

// Guards against counting the end of a request for a server that does not count
// its start, or the other way round.
Test(registry, counts_requests_with_the_incarnation_that_runs_them)
{
  const bool ok = rc::check("each request ends where it began", [] {
    registry r;
    // The open requests by incarnation, as they were begun and ended.
    std::vector<incarnation> open;
    std::uint64_t started_ms = 1;
    std::uint64_t now = 1000;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    for (const auto step : steps) {
      now += 100;
      auto* b = find(r, "a");
      if (step < 3 && b != nullptr) {
        begin_run(*b);
        open.push_back(incarnation_of(*b));
      } else if (step < 5 && !open.empty()) {
        const auto at = open.begin() + *rc::gen::inRange<long>(
                                         0, static_cast<long>(open.size()));
        end_run(r, *at);
        open.erase(at);
      } else if (step == 5) {
        withdraw(r, "a", now);
      } else if (step == 6) {
        drop(r, "a");
      } else if (step == 7) {
        replace_all(r, { engine_started_at(started_ms, 1) }, now);
      } else if (step == 8) {
        started_ms += *rc::gen::inRange(0, 2);
        announce(r, engine_started_at(started_ms, 1), now);
      }
      if (const auto* listed = find(r, "a")) {
        const auto expected =
          std::count(open.begin(), open.end(), incarnation_of(*listed));
        RC_ASSERT(static_cast<long>(listed->in_flight) == expected);
      }
    }
    for (const auto& i : open) {
      end_run(r, i);
    }
    RC_ASSERT(r.unlisted_runs.empty());
    if (const auto* listed = find(r, "a")) {
      RC_ASSERT(listed->in_flight == 0U);
    }
  });
  cr_assert(ok);
}
