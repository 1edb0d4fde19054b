#include "cactusford/batches/engine_use.h"

#include "cactusford/backends/registry.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cactusford;
using namespace cactusford::batches;

namespace {

constexpr std::uint32_t slots = 6;
constexpr std::size_t engines = 14;

backends::registry
fourteen_engines()
{
  backends::registry r;
  for (std::size_t i = 0; i < engines; ++i) {
    backends::announcement a;
    a.id = "e" + std::to_string(i);
    a.service = "s";
    a.slots = slots;
    a.versions["m"] = 1;
    backends::announce(r, a);
  }
  return r;
}

// Takes places until none is left, as an owner at the beginning of a step.
std::size_t
place_items(backends::registry& r, std::size_t items, std::uint64_t now)
{
  std::size_t placed = 0;
  backends::item_needs needs;
  needs.service = "s";
  needs.model = "m";
  for (; placed < items; ++placed) {
    auto* b = backends::choose_for_item(r, needs, now);
    if (b == nullptr) {
      break;
    }
    ++b->in_flight;
  }
  return placed;
}

engine_runs
runs_of(const backends::registry& r)
{
  engine_runs runs;
  for (const auto& [id, b] : r.all) {
    if (b.in_flight > 0) {
      runs[id] = b.in_flight;
    }
  }
  return runs;
}

} // namespace

// One owner has sixty items running when another begins a step. Without its
// word the other sends eighty to engines that have places for twenty-four.
Test(engine_use, owners_leave_each_others_places_alone)
{
  constexpr std::uint64_t now = 10'000;
  auto first = fourteen_engines();
  cr_assert_eq(place_items(first, 60, now), 60);
  auto second = fourteen_engines();
  use_of_others told;
  note(told, { "first", runs_of(first) }, now);
  backends::set_peer_runs(second, sum(told, now), now);
  cr_assert_eq(place_items(second, 80, now), engines * slots - 60);
  SECTION("no engine has more than it can run")
  {
    for (const auto& [id, b] : second.all) {
      cr_assert_leq(b.in_flight + first.all.at(id).in_flight, slots);
    }
  }
  SECTION("one that has not been heard of for a while holds nothing")
  {
    constexpr std::uint64_t later = now + 2000;
    auto third = fourteen_engines();
    cr_assert(sum(told, later).empty());
    backends::set_peer_runs(third, sum(told, later), later);
    cr_assert_eq(place_items(third, 100, later), engines * slots);
  }
}

// Callers that nobody tells of run on the same engines: an engine's own word
// counts them, and those that were told are not counted twice.
Test(engine_use, an_engines_own_word_counts_beside_it)
{
  constexpr std::uint64_t now = 10'000;
  auto r = fourteen_engines();
  backends::set_peer_runs(r, { { "e0", 2 } }, now);
  backends::note_load(*backends::find(r, "e0"), { 3, 0, slots }, now);
  cr_assert_eq(backends::find(r, "e0")->peer_runs, 2);
  cr_assert_eq(backends::find(r, "e0")->others, 1);
  cr_assert_eq(place_items(r, 100, now), engines * slots - 3);
}

Test(engine_use, messages_are_read_or_left_out)
{
  const told_use t{ "a", { { "e1", 3 } } };
  cr_assert(*told_use_from(encode(t)) == t);
  using nlohmann::json;
  cr_assert_not(told_use_from(json{ { "instance", "a" } }).has_value());
  cr_assert_not(
    told_use_from(json{ { "instance", "a" }, { "runs", { { "e", -1 } } } })
      .has_value());
}
