// Tests of what requests say about data centres, and of the choices that
// follow.
#include "cactusford/backends/reach_evidence.h"

#include "cactusford/backends/eligibility.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace cactusford;
using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;

announcement
server(const std::string& id, const std::string& data_centre)
{
  announcement a;
  a.id = id;
  a.service = "s";
  a.address = id;
  a.data_centre = data_centre;
  a.slots = 6;
  a.versions["m"] = 1;
  return a;
}

// Three servers in each of three data centres; the instance is in "a".
registry
make(bool is_enabled = true)
{
  registry r;
  r.topology.own = "a";
  r.topology.reach.own = "a";
  r.topology.reach.is_enabled = is_enabled;
  for (const std::string data_centre : { "a", "b", "c" }) {
    for (const char* number : { "1", "2", "3" }) {
      announce(r, server(data_centre + number, data_centre));
    }
  }
  return r;
}

void
lose(registry& r, const std::string& data_centre, std::uint64_t now)
{
  note_silent(r, r.all.at(data_centre + "1"), now - 250, now);
  note_silent(r, r.all.at(data_centre + "2"), now - 250, now);
}

call_needs
call()
{
  call_needs n;
  n.service = "s";
  n.data_centre = "a";
  return n;
}

std::set<std::string>
chosen_data_centres(registry& r, const call_needs& n, std::uint64_t now)
{
  std::set<std::string> all;
  for (double random = 0; random < 1; random += 0.05) {
    if (const auto* b = choose_for_call(r, n, now, random)) {
      all.insert(b->info.data_centre);
    }
  }
  return all;
}

} // namespace

// Guards against taking a process that ended, or this process's own delay, for
// a silence.
Test(reachability, failed_connections_are_told_apart)
{
  auto r = make();
  const auto fail = [&](const char* id, std::uint64_t took_ms) {
    return note_not_connected(
      r, r.all.at(id), { start_ms - took_ms, 250 }, start_ms);
  };
  SECTION("a refused connection is no silence")
  {
    cr_assert_not(fail("b1", 1));
    cr_assert_not(fail("b2", 1));
  }
  SECTION("nor is a time-out that this process noticed late")
  {
    cr_assert_not(fail("b1", 451));
    cr_assert_not(fail("b2", 451));
  }
  SECTION("nor anything of a server that leaves")
  {
    r.all.at("c1").info.leaving = true;
    cr_assert_not(fail("c1", 250));
    cr_assert_not(fail("c2", 250));
  }
  cr_assert_eq(data_centres::count_unreachable(r.topology.reach), 0);
  SECTION("time-outs of two servers are")
  {
    cr_assert_not(fail("b1", 250));
    cr_assert(fail("b2", 251));
    cr_assert_eq(data_centres::count_unreachable(r.topology.reach), 1);
  }
}

// Guards against new work for servers that are known not to answer, and against
// counting their slots.
Test(reachability, unreachable_servers_are_the_last_resort)
{
  auto r = make();
  lose(r, "b", start_ms);
  const auto& lost = r.all.at("b3");
  cr_assert(eligibility_of(r, lost, {}, start_ms) == eligibility::unreachable);
  cr_assert_not(counts_as_capacity(r, lost, start_ms));
  cr_assert(chosen_data_centres(r, call(), start_ms) ==
            std::set<std::string>{ "a" });
  SECTION("servers that are avoided after a failure come first")
  {
    auto failing = r;
    for (auto& [id, b] : failing.all) {
      if (b.info.data_centre != "b") {
        note_failure(b, start_ms);
      }
    }
    const auto chosen = chosen_data_centres(failing, call(), start_ms);
    cr_assert_not(chosen.empty());
    cr_assert_not(chosen.contains("b"));
  }
  SECTION("and without any other, the caller decides")
  {
    auto only = r;
    std::erase_if(only.all, [](const auto& e) { return e.first[0] != 'b'; });
    auto n = call();
    cr_assert_neq(choose_for_call(only, n, start_ms, 0), nullptr);
    n.may_use_unreachable = false;
    cr_assert_eq(choose_for_call(only, n, start_ms, 0), nullptr);
    cr_assert(is_beyond_reach(only, "s", {}, start_ms));
    cr_assert_not(is_beyond_reach(only, "other", {}, start_ms));
    cr_assert_not(is_beyond_reach(r, "s", {}, start_ms));
  }
  SECTION("items never go there")
  {
    item_needs n;
    n.service = "s";
    n.model = "m";
    n.data_centre = "b";
    cr_assert_neq(choose_for_item(r, n, start_ms)->info.data_centre, "b");
  }
  SECTION("for the first second after the return each gets one run")
  {
    auto& b = r.all.at("b1");
    note_reached(r, b, start_ms + 500);
    b.in_flight = 1;
    cr_assert(eligibility_of(r, b, {}, start_ms + 600) ==
              eligibility::returning);
    cr_assert(eligibility_of(r, lost, {}, start_ms + 600) ==
              eligibility::eligible);
    cr_assert(counts_as_capacity(r, b, start_ms + 600));
    cr_assert(eligibility_of(r, b, {}, start_ms + 1500) ==
              eligibility::eligible);
  }
}

// Guards against an instance that is cut off and does not notice, or that takes
// the loss of one data centre for its own.
Test(reachability, an_instance_is_cut_off_if_it_reaches_no_other_data_centre)
{
  auto r = make();
  cr_assert_not(is_cut_off(r, start_ms));
  lose(r, "b", start_ms);
  cr_assert_not(is_cut_off(r, start_ms));
  lose(r, "c", start_ms);
  cr_assert(is_cut_off(r, start_ms));
  cr_assert(chosen_data_centres(r, call(), start_ms) ==
            std::set<std::string>{ "a" });
  note_reached(r, r.all.at("c2"), start_ms + 10);
  cr_assert_not(is_cut_off(r, start_ms + 10));
}

// Guards against probes to the servers of a drained data centre.
Test(reachability, probes_go_to_all_servers_of_the_data_centre)
{
  auto r = make();
  std::set<std::string> chosen;
  for (double random = 0; random < 1; random += 0.1) {
    chosen.insert(choose_for_probe(r, "b", random)->info.id);
  }
  const std::set<std::string> expected{ "b1", "b2", "b3" };
  cr_assert(chosen == expected);
  cr_assert_eq(choose_for_probe(r, "d", 0), nullptr);
  r.topology.drains.all["b"] = {};
  cr_assert_eq(choose_for_probe(r, "b", 0), nullptr);
}

// Guards against a change of choices where the part is off: with one data
// centre, or where the settings disable it. The same recorded sequence of
// requests and failures is played with and without the evidence.
Test(reachability, without_it_choices_are_as_before)
{
  auto with = make(false);
  auto without = make(false);
  std::mt19937_64 random{ 7 };
  std::uniform_real_distribution<> uniform{ 0, 1 };
  item_needs item;
  item.service = "s";
  item.model = "m";
  item.data_centre = "a";
  std::size_t failures = 0;
  for (std::uint64_t now = start_ms; now < start_ms + 20'000; now += 20) {
    const auto draw = uniform(random);
    auto* b = now % 40 == 0 ? choose_for_call(with, call(), now, draw)
                            : choose_for_item(with, item, now);
    auto* before = now % 40 == 0 ? choose_for_call(without, call(), now, draw)
                                 : choose_for_item(without, item, now);
    cr_assert_eq(b == nullptr, before == nullptr);
    if (b == nullptr) {
      continue;
    }
    cr_assert_eq(b->info.id, before->info.id);
    const bool fails = b->info.data_centre == "b" || uniform(random) < 0.1;
    failures += fails ? 1 : 0;
    if (fails) {
      cr_assert_not(note_silent(with, *b, now - 250, now));
      cr_assert_not(note_not_connected(with, *b, { now - 250, 250 }, now));
      note_failure(*b, now);
      note_failure(*before, now);
    } else {
      cr_assert_not(note_reached(with, *b, now));
      note_success(*b, 25);
      note_success(*before, 25);
    }
  }
  cr_assert_gt(failures, 50U);
  cr_assert(with == without);
}
