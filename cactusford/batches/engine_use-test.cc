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

// Reserves slots until none is left, as an owner does at the start of a step.
// Returns the number of placed items.
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

// One owner has sixty running items when another starts a step. Without the
// first one's report, the second sends eighty items to engines that have 24
// free slots.
Test(engine_use, owners_respect_each_others_slots)
{
  constexpr std::uint64_t now = 10'000;
  auto first = fourteen_engines();
  cr_assert_eq(place_items(first, 60, now), 60);
  auto second = fourteen_engines();
  peer_engine_usage usage;
  record_report(usage, { "first", runs_of(first) }, now);
  backends::set_peer_runs(second, total_runs(usage, now), now);
  cr_assert_eq(place_items(second, 80, now), engines * slots - 60);
  SECTION("no engine has more runs than slots")
  {
    for (const auto& [id, b] : second.all) {
      cr_assert_leq(b.in_flight + first.all.at(id).in_flight, slots);
    }
  }
  SECTION("an instance without a recent report holds no slots")
  {
    constexpr std::uint64_t later = now + 2000;
    auto third = fourteen_engines();
    cr_assert(total_runs(usage, later).empty());
    backends::set_peer_runs(third, total_runs(usage, later), later);
    cr_assert_eq(place_items(third, 100, later), engines * slots);
  }
}

// Some callers do not send usage reports but run on the same engines. An
// engine's own load report includes their runs, and runs that were reported by
// other owners are not counted twice.
Test(engine_use, adds_runs_that_only_the_engine_reports)
{
  constexpr std::uint64_t now = 10'000;
  auto r = fourteen_engines();
  backends::set_peer_runs(r, { { "e0", 2 } }, now);
  backends::note_load(*backends::find(r, "e0"), { 3, 0, slots }, now);
  cr_assert_eq(backends::find(r, "e0")->peer_runs, 2);
  cr_assert_eq(backends::find(r, "e0")->other_load, 1);
  cr_assert_eq(place_items(r, 100, now), engines * slots - 3);
}

Test(engine_use, rejects_malformed_reports)
{
  const engine_usage_report report{ "a", { { "e1", 3 } } };
  cr_assert(*decode_engine_usage_report(encode(report)) == report);
  using nlohmann::json;
  cr_assert_not(
    decode_engine_usage_report(json{ { "instance", "a" } }).has_value());
  cr_assert_not(decode_engine_usage_report(
                  json{ { "instance", "a" }, { "runs", { { "e", -1 } } } })
                  .has_value());
}
