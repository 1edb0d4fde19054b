#include "cactusford/batches/home_placement.h"

#include "cactusford/backends/registry.h"
#include "cactusford/edge/home_regions.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace cactusford;
using namespace cactusford::batches;
using data_centres::homes_from;
using data_centres::is_home;
using data_centres::region_map;
using data_centres::region_of;

namespace {

const region_map regions{ { "a1", "a" },
                          { "a2", "a" },
                          { "b1", "b" },
                          { "b2", "b" },
                          { "c1", "c" } };

const data_centres::home_regions no_region{ true, {} };

// The data centres of the deployment, and one that no settings know.
const std::vector<std::string> places{ "a1", "a2", "b1", "b2", "c1", "new" };

// The region in which a data centre really is.
std::string_view
true_region_of(const std::string& place)
{
  return place == "new" ? "d" : region_of(regions, place);
}

std::string
any_place()
{
  return *rc::gen::elementOf(places);
}

std::vector<std::string>
any_regions()
{
  std::vector<std::string> some;
  for (const auto* r : { "a", "b", "c" }) {
    if (*rc::gen::arbitrary<bool>()) {
      some.emplace_back(r);
    }
  }
  return some;
}

// One version of the configuration. Some declare no restriction.
routes::table
any_table()
{
  routes::table t;
  routes::route r;
  r.host = "h";
  r.path_prefix = "/";
  r.services = { { "s", 1 }, { "other", 1 } };
  r.homes = homes_from(any_regions());
  t.routes = { r };
  workspaces::directory::builder b;
  b.workspace("w", std::nullopt).homes(homes_from(any_regions()));
  t.workspaces = b.build();
  return t;
}

backends::registry
any_registry()
{
  backends::registry r;
  r.topology.regions = regions;
  r.topology.own = any_place();
  r.topology.distance.is_enabled = *rc::gen::arbitrary<bool>();
  const auto servers = *rc::gen::inRange(0, 12);
  for (int i = 0; i < servers; ++i) {
    backends::announcement a;
    a.id = std::to_string(i);
    a.service = *rc::gen::element(std::string{ "s" }, std::string{ "other" });
    a.address = a.id;
    a.data_centre = any_place();
    a.versions["m"] = 1;
    a.leaving = *rc::gen::inRange(0, 6) == 0;
    backends::announce(r, a);
    auto& b = *backends::find(r, a.id);
    b.in_flight = *rc::gen::inRange(0, 2);
    b.avoided_until_ms = *rc::gen::element(0, 100);
  }
  return r;
}

// True if a body may be at this place, by a table and the place at which the
// caller connected.
bool
may_be_at(const data_centres::home_regions& homes,
          const std::string& accepted_in,
          const std::string& place)
{
  const auto region = true_region_of(place);
  return !homes.is_restricted || region == true_region_of(accepted_in) ||
         std::find(homes.allowed.begin(), homes.allowed.end(), region) !=
           homes.allowed.end();
}

} // namespace

// The rule for owners, by the regions of the homes, of the accepting entry and
// of the candidate.
Test(home_placement, owners_are_in_a_home_or_where_the_caller_connected)
{
  const ownership_rule rule{ homes_from({ "b" }), "a1" };
  cr_assert(may_own(rule, regions, "b1"));
  cr_assert(may_own(rule, regions, "a2"), "the region of the caller's entry");
  cr_assert_not(may_own(rule, regions, "c1"));
  cr_assert_not(may_own(rule, regions, "new"), "its region is unknown");
  SECTION("an unknown accepting entry permits nothing more")
  {
    const ownership_rule old{ homes_from({ "b" }), "" };
    cr_assert(may_own(old, regions, "b1"));
    cr_assert_not(may_own(old, regions, ""));
    cr_assert_not(may_own(old, regions, "a1"));
  }
  SECTION("without homes any entry may, known or not")
  {
    cr_assert(may_own({ {}, "" }, regions, "new"));
    cr_assert(may_own({ {}, "" }, {}, ""));
  }
}

// A restricted submission went to the largest entry, whatever its region.
Test(home_placement, other_entries_are_filtered_by_their_data_centre)
{
  placement_view view;
  view.self = { "self", "", 1 };
  view.largest_entries = { { "c1", "", 9 }, { "b1", "", 8 }, { "?", "", 7 } };
  view.trainer_runners = { { { "c1", "", 9 }, 1, 0 } };
  const auto before = view.largest_entries;
  const auto lookup = [](const membership::member& m) {
    return m.instance == "?" ? std::string{} : m.instance;
  };
  SECTION("without homes nobody is")
  {
    keep_permitted(view, {}, regions, lookup);
    cr_assert(view.largest_entries == before);
    cr_assert_eq(choose_runner(view).instance, "c1");
  }
  SECTION("those in a home stay")
  {
    keep_permitted(view, { homes_from({ "b" }), "a1" }, regions, lookup);
    cr_assert_eq(view.largest_entries.size(), 1);
    cr_assert(view.trainer_runners.empty());
    cr_assert_eq(choose_runner(view).instance, "b1");
    cr_assert_eq(choose_successor(view)->instance, "b1");
  }
}

// Why a request is refused at once, instead of waiting for servers that it may
// not use.
Test(home_placement, requests_that_no_home_can_serve_are_refused)
{
  backends::registry r;
  r.topology.regions = regions;
  const auto add = [&](const char* id, const char* service, const char* at) {
    backends::announcement a;
    a.id = id;
    a.service = service;
    a.data_centre = at;
    backends::announce(r, a);
  };
  add("1", "s", "a1");
  add("2", "other", "b1");
  add("3", "s", "new");
  routes::route route;
  route.services = { { "s", 1 }, { "other", 1 } };
  const auto refusal = [&](const data_centres::home_regions& homes) {
    auto copy = route;
    return edge::restrict_to_homes(copy, r, homes);
  };
  cr_assert_eq(refusal({}), "");
  cr_assert_eq(refusal(homes_from({ "a" })), "");
  cr_assert_eq(refusal({ true, {} }), "no_home_region");
  cr_assert_eq(refusal(homes_from({ "c" })), "home_without_servers");
  cr_assert_eq(refusal(homes_from({ "d" })), "home_without_servers");
  SECTION("a service without servers in the home is not picked")
  {
    edge::restrict_to_homes(route, r, homes_from({ "b" }));
    cr_assert_eq(route.services.size(), 1);
    cr_assert_eq(route.services[0].service, "other");
  }
}

// A batch whose route or workspace has been removed: its homes are unknown, and
// it went anywhere. Where nothing is restricted, nothing changes.
Test(home_placement, unknown_homes_allow_no_region)
{
  routes::table t;
  routes::route r;
  t.routes = { r };
  cr_assert_not(routes::homes_of(t, nullptr, "w").is_restricted);
  cr_assert_not(routes::homes_of(t, &t.routes[0], "gone").is_restricted);
  t.routes[0].homes = homes_from({ "a" });
  cr_assert(routes::homes_of(t, &t.routes[0], "") == homes_from({ "a" }));
  cr_assert(routes::homes_of(t, nullptr, "") == no_region);
  cr_assert(routes::homes_of(t, &t.routes[0], "gone") == no_region);
  workspaces::directory::builder b;
  b.workspace("w", std::nullopt).homes(homes_from({ "b" }));
  t.workspaces = b.build();
  cr_assert(routes::homes_of(t, &t.routes[0], "w") == no_region,
            "the route and the workspace have no region in common");
}

// Whatever an instance knows, it sends no body to a server outside the homes of
// its own table, or to one whose region it does not know.
Test(home_placement, no_body_reaches_a_server_outside_its_homes)
{
  const bool ok = rc::check([] {
    const auto table = any_table();
    auto known = any_registry();
    const auto workspace =
      *rc::gen::element(std::string{ "w" }, std::string{}, std::string{ "?" });
    const auto homes = routes::homes_of(table, &table.routes[0], workspace);
    auto route = table.routes[0];
    const bool is_refused =
      !edge::restrict_to_homes(route, known, homes).empty();
    std::vector<std::string> tried;
    for (int attempt = 0; attempt < 6; ++attempt) {
      const backends::call_needs needs{
        "s", known.topology.own, tried, backends::is_never_connected, homes
      };
      const auto* b = backends::choose_for_call(known, needs, 50, 0.5);
      if (b == nullptr) {
        break;
      }
      RC_ASSERT(!is_refused);
      RC_ASSERT(may_be_at(homes, "nowhere", b->info.data_centre));
      tried.push_back(b->info.id);
    }
    backends::item_needs needs{ "s", "m", 1, 0, {}, known.topology.own };
    needs.homes = homes;
    for (const auto now : { 50, 200 }) {
      const auto* b = backends::choose_for_item(known, needs, now);
      const bool is_permitted =
        b == nullptr ||
        (!is_refused && is_home(homes, regions, b->info.data_centre));
      RC_ASSERT(is_permitted);
    }
  });
  cr_assert(ok);
}

// Entries with tables of different ages forward, accept, hand over and take
// over a batch. Each permits only what its own table permits, and a body only
// gets where the table of the entry that decided it allows that.
Test(home_placement, no_body_reaches_an_entry_outside_its_homes)
{
  const bool ok = rc::check([] {
    const std::vector<routes::table> versions{ any_table(), any_table() };
    struct entry
    {
      std::string place;
      // Some know the place of this one from its messages, others do not.
      bool is_place_known = true;
      std::size_t version = 0;
    };
    std::vector<entry> entries;
    placement_view everyone;
    const auto count = *rc::gen::inRange<std::size_t>(1, 7);
    for (std::size_t i = 0; i < count; ++i) {
      entries.push_back({ any_place(),
                          *rc::gen::arbitrary<bool>(),
                          *rc::gen::inRange<std::size_t>(0, 2) });
      everyone.largest_entries.push_back(
        { std::to_string(i), "", static_cast<double>(count - i) });
    }
    const auto lookup = [&](const membership::member& m) {
      const auto& e = entries[std::stoul(m.instance)];
      return e.is_place_known ? e.place : std::string{};
    };
    const auto homes_by = [&](const entry& e) {
      const auto& t = versions[e.version];
      return routes::homes_of(t, &t.routes[0], "w");
    };
    const auto view_of = [&](std::size_t at, const std::string& accepted_in) {
      auto view = everyone;
      view.self = everyone.largest_entries[at];
      keep_permitted(
        view, { homes_by(entries[at]), accepted_in }, regions, lookup);
      return view;
    };
    auto owner = *rc::gen::inRange<std::size_t>(0, count);
    const auto accepted_in = entries[owner].place;
    const auto move_to = [&](std::size_t next) {
      if (next == owner) {
        return;
      }
      RC_ASSERT(
        may_be_at(homes_by(entries[owner]), accepted_in, entries[next].place));
      // The next owner reads the bodies only if its own table permits it.
      if (may_own({ homes_by(entries[next]), accepted_in },
                  regions,
                  entries[next].place)) {
        RC_ASSERT(
          may_be_at(homes_by(entries[next]), accepted_in, entries[next].place));
        owner = next;
      }
    };
    move_to(std::stoul(choose_runner(view_of(owner, accepted_in)).instance));
    const auto steps = *rc::gen::inRange(0, 6);
    for (int i = 0; i < steps; ++i) {
      if (const auto to = choose_successor(view_of(owner, accepted_in))) {
        move_to(std::stoul(to->instance));
      }
      const auto taker = *rc::gen::inRange<std::size_t>(0, count);
      if (may_own({ homes_by(entries[taker]), accepted_in },
                  regions,
                  entries[taker].place)) {
        RC_ASSERT(may_be_at(
          homes_by(entries[taker]), accepted_in, entries[taker].place));
        owner = taker;
      }
    }
  });
  cr_assert(ok);
}
