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

Test(engine_use, demand_is_an_optional_field)
{
  using nlohmann::json;
  const engine_usage_report report{ "a",
                                    { { "e1", 3 } },
                                    demand_by_service{ { "s", { 104, 4 } } } };
  cr_assert(*decode_engine_usage_report(encode(report)) == report);
  SECTION("reports of earlier builds have none")
  {
    const auto old = decode_engine_usage_report(
      json{ { "instance", "a" }, { "runs", { { "e1", 3 } } } });
    cr_assert(old.has_value());
    cr_assert_not(old->demand.has_value());
  }
  SECTION("malformed values are refused")
  {
    for (const char* demand : { "[]",
                                "7",
                                R"({"s":7})",
                                R"({"s":{"items":1}})",
                                R"({"s":{"weight":1}})",
                                R"({"s":{"items":-1,"weight":1}})",
                                R"({"s":{"items":1.5,"weight":1}})",
                                R"({"s":{"items":1,"weight":0}})",
                                R"({"s":{"items":1,"weight":1000001}})",
                                R"({"s":{"items":99000000,"weight":1}})" }) {
      auto j = encode(report);
      j["demand"] = json::parse(demand);
      cr_assert_not(decode_engine_usage_report(j).has_value(), "%s", demand);
    }
  }
}

// A step that starts is divided by the demand of the steps before, as those of
// the other owners are not known yet.
Test(engine_use, remembers_the_largest_demand_of_two_steps)
{
  constexpr std::uint64_t now = 20'000;
  demand_history h;
  cr_assert_not(peak_demand(h, now).has_value());
  record_demand(h, 104, now);
  cr_assert_eq(h.rose_at_ms, now);
  for (std::uint32_t items = 103; items > 0; --items) {
    record_demand(h, items, now + 10 * (104 - items));
  }
  cr_assert_eq(h.rose_at_ms, now);
  cr_assert_eq(peak_demand(h, now + 8000).value_or(0), 104);
  cr_assert_lt(peak_demand(h, now + 8100).value_or(0), 104);
  cr_assert_not(peak_demand(h, now + 10'000).has_value());
  SECTION("a service that is no longer listed has no demand")
  {
    peer_engine_usage usage;
    const demand_by_service demand{ { "s", { 50, 1 } } };
    record_report(usage, { "a", {}, demand }, now);
    record_report(usage, { "a", {}, demand_by_service{} }, now + 100);
    cr_assert_eq(find_demand(usage, "a", "s")->items, 0);
    cr_assert(had_demand(usage, "a", now + 7900));
    cr_assert_not(had_demand(usage, "a", now + 8100));
    record_report(usage, { "a", {}, demand_by_service{} }, now + 9000);
    cr_assert_null(find_demand(usage, "a", "s"));
    cr_assert_null(find_report(usage, "a", now + 9801));
  }
}

// Guards against a relay that forgets the runs of one owner when it hears from
// another, or goes on with those of an owner that has stopped.
Test(engine_use, keeps_the_oldest_pinned_run_of_each_model)
{
  using nlohmann::json;
  constexpr std::uint64_t now = 10'000;
  peer_engine_usage usage;
  engine_usage_report first{ "a", {} };
  first.pinned = { { "e1", { { "m", 700 } } }, { "e2", { { "m", 10 } } } };
  cr_assert(*decode_engine_usage_report(encode(first)) == first);
  engine_usage_report second{ "b", {} };
  second.pinned = { { "e1", { { "m", 200 }, { "n", 5 } } } };
  record_report(usage, first, now);
  record_report(usage, second, now + 100);
  cr_assert(reported_pins(usage, "e1", now + 100) ==
            pinned_models({ { "m", 800 }, { "n", 5 } }));
  cr_assert(reported_pins(usage, "e3", now + 100).empty());
  cr_assert(reported_pins(usage, "e2", now + 2000).empty());
  SECTION("malformed pins are rejected")
  {
    for (const auto& bad :
         { json(3), json{ { "e", 1 } }, json{ { "e", { { "m", -1 } } } } }) {
      json j{ { "instance", "a" }, { "runs", json::object() } };
      j["pinned"] = bad;
      cr_assert_not(decode_engine_usage_report(j).has_value());
    }
  }
}
