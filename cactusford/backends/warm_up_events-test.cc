#include "cactusford/backends/warm_up_events.h"

#include "cactusford/backends/eligibility.h"
#include "cactusford/backends/run_moves.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <random>

using namespace cactusford;
using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;

announcement
engine(const std::string& id, std::uint64_t cold_left_ms = 0)
{
  announcement a;
  a.id = id;
  a.started_ms = 1000;
  a.service = "drafter";
  a.address = id;
  a.data_centre = "east";
  a.slots = 6;
  a.cold_left_ms = cold_left_ms;
  a.versions["m"] = 1;
  return a;
}

registry
two_engines()
{
  registry r;
  r.warm_up.limits["drafter"] = { 3000, 14 };
  r.warm_up.other_owners["drafter"] = 0;
  replace_all(r, { engine("a"), engine("b") }, start_ms);
  return r;
}

item_needs
needs()
{
  item_needs n;
  n.service = "drafter";
  n.model = "m";
  return n;
}

bool
is_cold_at(registry& r, const std::string& id, std::uint64_t after_ms)
{
  return is_cold(r, *find(r, id), start_ms + after_ms);
}

void
send_to(registry& r, backend& b, std::uint64_t now_ms)
{
  ++b.in_flight;
  note_sent(r, b, now_ms);
}

} // namespace

// Guards against an entry that starts and takes all servers for cold: each step
// would wait for budgets for three seconds after each restart of an entry.
Test(warm_up, the_first_list_makes_no_server_cold)
{
  auto r = two_engines();
  cr_assert_not(is_cold_at(r, "a", 0));
  cr_assert_not(is_cold_at(r, "b", 0));
  cr_assert(r.cold_changes.empty());
  SECTION("except for servers that announce it")
  {
    registry other;
    other.warm_up = r.warm_up;
    replace_all(other, { engine("a", 700), engine("b") }, start_ms);
    cr_assert(is_cold_at(other, "a", 699));
    cr_assert_not(is_cold_at(other, "a", 700));
    cr_assert_not(is_cold_at(other, "b", 0));
  }
}

// Guards against work in full strength for an engine that has just started,
// one test for each way by which an instance learns of it.
Test(warm_up, servers_count_as_cold_after_a_start)
{
  auto r = two_engines();
  SECTION("announced")
  {
    announce(r, engine("a", 2000), start_ms + 10);
    cr_assert(is_cold_at(r, "a", 2009));
    cr_assert_not(is_cold_at(r, "a", 2010));
    cr_assert_not(is_cold_at(r, "b", 10));
    const auto changes = take_cold_changes(r);
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().cause == cold_cause::announced);
    cr_assert(take_cold_changes(r).empty());
  }
  SECTION("first seen after the first list")
  {
    announce(r, engine("c"), start_ms + 10);
    cr_assert(is_cold_at(r, "c", 3009));
    cr_assert_not(is_cold_at(r, "c", 3010));
  }
  SECTION("listed again after it was missing")
  {
    r.keep_missing_until_ms = start_ms + 5000;
    withdraw(r, "b", start_ms + 100);
    announce(r, engine("b"), start_ms + 200);
    cr_assert(is_cold_at(r, "b", 3199));
  }
  SECTION("a new incarnation")
  {
    auto restarted = two_engines();
    auto later = engine("a");
    later.started_ms = 2000;
    announce(restarted, later, start_ms + 10);
    cr_assert(is_cold_at(restarted, "a", 3009));
    cr_assert(take_cold_changes(restarted).front().cause ==
              cold_cause::restarted);
  }
  SECTION("a refused connection")
  {
    auto refused = two_engines();
    note_connection_refused(refused, *find(refused, "a"), start_ms + 10);
    cr_assert(is_cold_at(refused, "a", 3009));
    cr_assert_not(is_cold_at(refused, "a", 3010));
  }
  SECTION("a header of an answer")
  {
    auto stated = two_engines();
    note_cold_header(stated, *find(stated, "a"), 1500, start_ms + 10);
    note_cold_header(stated, *find(stated, "a"), 0, start_ms + 20);
    cr_assert(is_cold_at(stated, "a", 1509));
    cr_assert_not(is_cold_at(stated, "a", 1510));
  }
  SECTION("a drain order removed")
  {
    auto drained = two_engines();
    find(drained, "b")->info.data_centre = "west";
    note_undrained(drained, "west", start_ms + 10);
    cr_assert(is_cold_at(drained, "b", 3009));
    cr_assert_not(is_cold_at(drained, "a", 10));
  }
}

// Guards against engines that stay restricted although they have said that they
// are warm, and against an old announcement that hides a restart.
Test(warm_up, a_newer_announcement_ends_an_assumption)
{
  auto r = two_engines();
  SECTION("that rests on an announcement, at once")
  {
    announce(r, engine("c"), start_ms + 10);
    announce(r, engine("c"), start_ms + 500);
    cr_assert_not(is_cold_at(r, "c", 500));
  }
  SECTION("and states a shorter time")
  {
    announce(r, engine("d"), start_ms + 10);
    announce(r, engine("d", 400), start_ms + 500);
    cr_assert(is_cold_at(r, "d", 899));
    cr_assert_not(is_cold_at(r, "d", 900));
  }
  SECTION("but not one that may be older than a refused connection")
  {
    note_connection_refused(r, *find(r, "a"), start_ms + 10);
    announce(r, engine("a"), start_ms + 1500);
    cr_assert(is_cold_at(r, "a", 1500));
    announce(r, engine("a"), start_ms + 2000);
    cr_assert_not(is_cold_at(r, "a", 2000));
  }
  SECTION("but not after a drain order was removed")
  {
    note_undrained(r, "east", start_ms + 5000);
    announce(r, engine("a"), start_ms + 7500);
    cr_assert(is_cold_at(r, "a", 7999));
    cr_assert_not(is_cold_at(r, "a", 8000));
  }
  SECTION("and a repeated one says nothing")
  {
    auto listed = engine("e", 2000);
    listed.revision = 7;
    announce(r, listed, start_ms + 10);
    announce(r, listed, start_ms + 1500);
    cr_assert(is_cold_at(r, "e", 3009));
    cr_assert_not(is_cold_at(r, "e", 3010));
  }
}

// Guards against a second full budget for a server that has left the list for a
// moment or has restarted: both are within the same second for the server.
Test(warm_up, requests_count_beyond_a_restart)
{
  auto r = two_engines();
  r.warm_up.other_owners["drafter"] = 1;
  auto* a = find(r, "a");
  for (int i = 0; i < 5; ++i) {
    note_sent(r, *a, start_ms);
  }
  SECTION("a new incarnation")
  {
    auto copy = r;
    auto later = engine("a");
    later.started_ms = 2000;
    announce(copy, later, start_ms + 300);
    cr_assert(eligibility_of(copy, *find(copy, "a"), {}, start_ms + 300) ==
              eligibility::warming_up);
  }
  SECTION("a server that was removed")
  {
    withdraw(r, "a", start_ms + 200);
    cr_assert_null(find(r, "a"));
    announce(r, engine("a"), start_ms + 300);
    cr_assert(eligibility_of(r, *find(r, "a"), {}, start_ms + 300) ==
              eligibility::warming_up);
    withdraw(r, "b", start_ms + 20'000);
    cr_assert(r.past_warm_ups.empty(), "what counts no more is forgotten");
  }
}

// Guards against cold engines that take items while warm ones are free, and
// against idle cold engines while items wait.
Test(warm_up, items_prefer_warm_engines_and_use_cold_ones_before_they_wait)
{
  auto r = two_engines();
  r.warm_up.other_owners["drafter"] = 2;
  announce(r, engine("a", 3000), start_ms);
  for (int i = 0; i < 4; ++i) {
    auto* b = choose_for_item(r, needs(), start_ms);
    cr_assert_eq(b->info.id, "b");
    send_to(r, *b, start_ms);
  }
  SECTION("a warm engine whose budget is used up leaves the cold one")
  {
    for (int i = 0; i < 4; ++i) {
      auto* b = choose_for_item(r, needs(), start_ms);
      cr_assert_eq(b->info.id, "a");
      send_to(r, *b, start_ms);
    }
  }
  SECTION("an item that finds no budget waits until the earliest returns")
  {
    cr_assert_null(choose_for_item(r, needs(), start_ms));
    cr_assert_eq(*next_item_budget_ms(r, needs(), start_ms), start_ms + 1120);
    cr_assert_eq(choose_for_item(r, needs(), start_ms + 1120)->info.id, "b");
    cr_assert(can_serve(r, needs(), start_ms));
  }
}

// Guards against calls that queue at a full server while a cold one has slots,
// and calls that fill a cold one while others are free.
Test(warm_up, calls_prefer_warm_servers_and_use_cold_ones_before_full_ones)
{
  auto r = two_engines();
  r.warm_up.call_services.insert("drafter");
  r.warm_up.other_entries = 12;
  announce(r, engine("a", 3000), start_ms);
  call_needs call{ "drafter", "east", {} };
  find(r, "b")->in_flight = 5;
  cr_assert_eq(choose_for_call(r, call, start_ms, 0)->info.id, "b");
  find(r, "b")->in_flight = 6;
  auto* cold = choose_for_call(r, call, start_ms, 0);
  cr_assert_eq(cold->info.id, "a");
  SECTION("a call that finds no budget goes to another server")
  {
    send_to(r, *cold, start_ms);
    cr_assert_eq(choose_for_call(r, call, start_ms, 0)->info.id, "b");
  }
  SECTION("without another one it learns when the budget returns")
  {
    call.tried = { "b" };
    cr_assert_null(choose_for_call(r, call, start_ms, 0));
    cr_assert_eq(*next_call_budget_ms(r, call, start_ms), start_ms + 1120);
    call.tried = { "a", "b" };
    cr_assert_not(next_call_budget_ms(r, call, start_ms));
  }
}

// Guards against a cold engine that counts as slow or in trouble: its runs were
// moved and its factor was wrong for minutes.
Test(warm_up, the_pace_of_a_cold_engine_says_nothing)
{
  auto r = two_engines();
  announce(r, engine("a", 3000), start_ms);
  auto& a = *find(r, "a");
  gap_window window;
  for (std::uint64_t at = start_ms; at < start_ms + 2700; at += 300) {
    note_events(r, a, window, 2, at, at + 300);
  }
  cr_assert_eq(a.pace_ms, 0);
  cr_assert_eq(a.speed.samples, 0);
  cr_assert(window == gap_window{});
  SECTION("until it is warm")
  {
    note_events(r, a, window, 2, start_ms + 3100, start_ms + 3200);
    cr_assert_eq(a.pace_ms, 50);
  }
  SECTION("no run leaves it for trouble found before")
  {
    auto& pace = r.paces["drafter"];
    pace.base_ms = 20;
    pace.is_uneven = true;
    auto& speed = a.speed;
    speed.samples = 6;
    speed.trouble = 4;
    speed.in_trouble = true;
    speed.sampled_at_ms = { start_ms, start_ms };
    speed.trouble_since_ms = start_ms;
    const run_outlook run{ 100, start_ms + 500 };
    cr_assert(cause_to_move(r, a, run, {}, start_ms + 100) == move_cause::none);
    cr_assert_not(is_in_trouble(r, a, start_ms + 100));
    a.warm_up = {};
    cr_assert(cause_to_move(r, a, run, {}, start_ms + 100) ==
              move_cause::trouble);
  }
}

namespace {

// A recorded sequence of choices, with sends, announcements and refusals.
std::vector<std::string>
choices(registry r)
{
  std::mt19937_64 random{ 7 };
  std::vector<std::string> chosen;
  for (std::uint64_t step = 0; step < 2000; ++step) {
    const auto now = start_ms + step * 5;
    const auto id = "e" + std::to_string(random() % 12);
    if (step % 17 == 0) {
      announce(r, engine(id, random() % 3000), now);
    } else if (step % 29 == 0) {
      note_connection_refused(r, *find(r, id), now);
    } else if (step % 31 == 0) {
      note_undrained(r, "east", now);
    }
    const call_needs call{ "drafter", "east", {} };
    const auto at = static_cast<double>(random() % 1000) / 1000;
    auto* b = step % 2 == 0 ? choose_for_item(r, needs(), now)
                            : choose_for_call(r, call, now, at);
    chosen.push_back(b == nullptr ? "" : b->info.id);
    if (b != nullptr) {
      send_to(r, *b, now);
    }
    auto& done = *find(r, id);
    done.in_flight -= std::min<std::uint32_t>(done.in_flight, 2);
  }
  return chosen;
}

registry
twelve_engines()
{
  registry r;
  std::vector<announcement> list;
  for (int i = 0; i < 12; ++i) {
    list.push_back(engine("e" + std::to_string(i)));
  }
  replace_all(r, list, start_ms);
  return r;
}

} // namespace

// Guards against other choices in deployments without cold servers. The digest
// was computed with the build before warm-up (c28baac) for the same sequence.
Test(warm_up, choices_are_as_before_where_it_is_off)
{
  const auto none = choices(twelve_engines());
  std::uint64_t digest = 0;
  for (const auto& id : none) {
    for (const auto c : id + ";") {
      digest = digest * 1'099'511'628'211ULL + static_cast<unsigned char>(c);
    }
  }
  cr_assert_eq(digest, 1'482'463'770'133'565'951ULL);
  auto disabled = twelve_engines();
  disabled.warm_up.limits["drafter"] = { 3000, 14 };
  disabled.warm_up.is_enabled = false;
  cr_assert(choices(disabled) == none);
  auto other = twelve_engines();
  other.warm_up.limits["embedder"] = { 3000, 14 };
  cr_assert(choices(other) == none);
  auto limited = twelve_engines();
  limited.warm_up.limits["drafter"] = { 3000, 14 };
  cr_assert(choices(limited) != none, "the sequence tells the two apart");
}
