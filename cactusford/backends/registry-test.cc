#include "cactusford/backends/registry.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

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
  SECTION("a full one waits for a free slot")
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

// The store is down for some seconds and entries lapse meanwhile. When it is
// back, its list lacks engines that are alive: dropping them would leave the
// callers with "no backend server". They announce themselves within two
// seconds; what is missing after that is gone.
Test(registry, keeps_lapsed_entries_for_a_moment_after_an_outage)
{
  auto r = two_engines();
  r.keep_missing_until_ms = 12000;
  replace_all(r, { engine("b", 6) }, 10000);
  cr_assert_not_null(find(r, "a"));
  SECTION("it comes back")
  {
    auto back = r;
    announce(back, engine("a", 5));
    expire(back, 12001);
    cr_assert_not_null(find(back, "a"));
  }
  SECTION("it does not")
  {
    cr_assert(expire(r, 12001));
    cr_assert_null(find(r, "a"));
  }
  SECTION("without an outage it is gone at once")
  {
    auto calm = two_engines();
    withdraw(calm, "a", 100);
    cr_assert_null(find(calm, "a"));
  }
}

// Heaviest days: a fifth of the engines turn three to four times slower for
// eight seconds. The pace of their streams shows it within a few events.
Test(registry, sees_a_slow_engine_from_the_pace_of_its_streams)
{
  auto r = two_engines();
  std::uint64_t now = 0;
  for (int i = 0; i < 10; ++i) {
    now += 40;
    note_pace(*find(r, "a"), 40, now);
    note_pace(*find(r, "b"), 40, now);
  }
  const auto usual = typical_pace_ms(r, "drafter", now);
  cr_assert_not(is_slow(*find(r, "b"), usual, now));
  for (int i = 0; i < 4; ++i) {
    now += 140;
    note_pace(*find(r, "b"), 140, now);
    note_pace(*find(r, "a"), 40, now);
  }
  cr_assert(is_slow(*find(r, "b"), typical_pace_ms(r, "drafter", now), now));
  SECTION("it gets work only when the others have no room")
  {
    cr_assert(choose_for_item(r, needs(5), now)->info.id == "a");
    find(r, "a")->in_flight = 8;
    cr_assert(choose_for_item(r, needs(5), now)->info.id == "b");
  }
  SECTION("the mark fades, so that a recovered engine is tried again")
  {
    cr_assert_not(is_slow(*find(r, "b"), usual, now + 5000));
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
  SECTION("one that failed is avoided for a while")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(choose_for_call(r, { "quotes", "", {} }, 1001, 0.5)->info.id ==
              "x");
    cr_assert(choose_for_call(r, { "quotes", "", {} }, 1300, 0.5)->info.id ==
              "y");
  }
  SECTION("and used all the same when there is no other")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(
      choose_for_call(r, { "quotes", "", { "x" } }, 1001, 0.5)->info.id == "y");
  }
}

// Each entry has a call every few seconds, and six servers to send it to.
// Spread over all of them, each call opens a connection of its own.
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
  SECTION("unless it has more to do than the others")
  {
    find(r, "y")->in_flight = 2;
    cr_assert(choose_for_call(r, needs, 0, 0)->info.id != "y");
  }
  SECTION("or has failed")
  {
    note_failure(*find(r, "y"), 1000);
    cr_assert(choose_for_call(r, needs, 1001, 0)->info.id != "y");
  }
}

// An engine pauses and its six streams fail within some milliseconds. That is
// one failure: counted as six, the pause of each further one doubled, the
// engine would stand idle for two seconds after it is well again.
Test(registry, counts_failures_that_come_together_once)
{
  auto r = two_engines();
  auto& b = *find(r, "b");
  for (std::uint64_t i = 0; i < 6; ++i) {
    note_failure(b, 1000 + i);
  }
  cr_assert_leq(b.avoided_until_ms, 1300);
  SECTION("a later one counts and doubles the pause")
  {
    const auto now = b.avoided_until_ms + 1;
    note_failure(b, now);
    cr_assert_gt(b.avoided_until_ms, now + 300);
  }
}

namespace {

announcement
engine_of_life(std::uint64_t started_ms, std::uint64_t version)
{
  auto a = engine("a", version);
  a.started_ms = started_ms;
  return a;
}

} // namespace

// An engine crashes with eight runs on it and starts again under its id. It
// runs nothing and holds what its new life says. Believed to be full, or to
// have the weights of before, it would stand idle or refuse what it is sent.
Test(registry, believes_nothing_of_the_life_before)
{
  registry r;
  announce(r, engine_of_life(1000, 7));
  auto* b = find(r, "a");
  const auto before = incarnation_of(*b);
  b->in_flight = 8;
  note_failure(*b, 50);
  note_refusal(*b, "m", 50);
  note_pace(*b, 400, 50);
  cr_assert(announce(r, engine_of_life(2000, 6)) ==
            announce_result::new_incarnation);
  cr_assert_eq(b->in_flight, 0);
  cr_assert_eq(b->info.versions["m"], 6, "its versions begin anew");
  cr_assert_eq(b->pace_ms, 0);
  cr_assert_not_null(choose_for_item(r, needs(6), 60));
  SECTION("ends of the old runs are not counted into the new life")
  {
    cr_assert_null(find(r, before));
    cr_assert_not_null(find(r, incarnation_of(*b)));
  }
  SECTION("an entry that tells of no life is another writer's here")
  {
    auto told = r;
    cr_assert(announce(told, engine("x", 9)) ==
              announce_result::no_incarnation);
    cr_assert_null(find(told, "x"));
    cr_assert(announce(told, engine("a", 9)) ==
              announce_result::no_incarnation);
    cr_assert_null(find(told, "a"), "it was written over");
  }
  SECTION("late word of the old life is left out, from a watch or a list")
  {
    const auto known = *b;
    cr_assert(announce(r, engine_of_life(1000, 9)) ==
              announce_result::past_incarnation);
    cr_assert(*find(r, "a") == known);
    const auto changes = replace_all(r, { engine_of_life(1000, 9) }, 70);
    cr_assert(*find(r, "a") == known);
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().what == announce_result::past_incarnation);
  }
}

// Somebody writes over the entry of a backend server, just after an outage,
// when lapsed entries are kept for a while. This one did not lapse.
Test(registry, drops_what_names_nobody_at_once)
{
  auto r = two_engines();
  r.keep_missing_until_ms = 12000;
  drop(r, "a");
  cr_assert_null(find(r, "a"));
}

// Nobody tells of a life in this deployment, but an entry of another writer
// does. Taken for the rule, it would take every backend server away.
Test(registry, keeps_its_backend_servers_beside_one_odd_entry)
{
  auto r = two_engines();
  auto odd = engine("x", 5);
  odd.started_ms = 1000;
  announce(r, odd);
  cr_assert(announce(r, engine("a", 6)) == announce_result::same_incarnation);
  replace_all(r, { odd, engine("a", 6), engine("b", 6) }, 10);
  cr_assert_not_null(find(r, "a"));
  cr_assert_not_null(find(r, "b"));
}
