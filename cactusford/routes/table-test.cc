#include "cactusford/routes/table.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::routes;

namespace {

route
route_of(const std::string& name, const std::string& prefix)
{
  route r;
  r.name = name;
  r.host = "h";
  r.path_prefix = prefix;
  return r;
}

} // namespace

Test(routes, matches_the_longest_prefix_of_the_host)
{
  table t;
  t.routes = { route_of("short", "/a/"), route_of("long", "/a/b/") };
  cr_assert(match(t, "h", "/a/b/c")->name == "long");
  cr_assert(match(t, "h", "/a/x")->name == "short");
  cr_assert_null(match(t, "h", "/ab"));
  cr_assert_null(match(t, "other", "/a/x"));
}

Test(routes, splits_calls_by_weight)
{
  auto r = route_of("r", "/");
  r.services = { { "x", 90 }, { "y", 10 } };
  cr_assert(pick_service(r, 0.0) == "x");
  cr_assert(pick_service(r, 0.89) == "x");
  cr_assert(pick_service(r, 0.91) == "y");
  cr_assert(pick_service(r, 1.0) == "y");
  cr_assert(pick_service({}, 0.5).empty());
}

// Guards against scores that are slowed down for nobody, and against callers
// that wait behind scores: only a shorter objective on the same service counts.
Test(routes, scorers_yield_to_callers_with_a_shorter_objective)
{
  table t;
  auto scorer = route_of("score", "/score/");
  scorer.services = { { "plain", 1 } };
  scorer.objective_ms = 400;
  auto caller = route_of("call", "/call/");
  caller.services = { { "plain", 1 } };
  caller.objective_ms = 150;
  t.routes = { scorer, caller };
  cr_assert(yields_to_callers(t, scorer));
  cr_assert_not(yields_to_callers(t, caller));
  t.routes[1].objective_ms = 400;
  cr_assert_not(yields_to_callers(t, scorer));
  t.routes[1] = caller;
  t.routes[1].services = { { "other", 1 } };
  cr_assert_not(yields_to_callers(t, scorer));
}

// Guards against a scan of all routes for each scorer call, and against an
// answer that outlives the table it was found in.
Test(routes, yielding_is_determined_once_for_each_table)
{
  const auto table_with = [](std::uint64_t objective_ms) {
    auto t = std::make_shared<table>();
    for (const auto* name : { "score", "call" }) {
      auto r = route_of(name, std::string{ "/" } + name + "/");
      r.services = { { "plain", 1 } };
      r.objective_ms = 400;
      t->routes.push_back(r);
    }
    t->routes[1].objective_ms = objective_ms;
    return t;
  };
  yielding_routes cache;
  const auto t = table_with(150);
  cr_assert(yields_to_callers(cache, t, t->routes[0]));
  t->routes[1].objective_ms = 400;
  cr_assert(yields_to_callers(cache, t, t->routes[0]), "not scanned again");
  const auto next = table_with(400);
  cr_assert_not(yields_to_callers(cache, next, next->routes[0]));
  cr_assert_eq(cache.known.size(), 1);
}

namespace {

// Two routes of one plain service, without any difference in demand.
table
equal_demands()
{
  table t;
  for (const auto* name : { "one", "two" }) {
    auto r = route_of(name, std::string{ "/" } + name + "/");
    r.services = { { "plain", 1 } };
    r.objective_ms = 150;
    t.routes.push_back(r);
  }
  t.services["plain"] = { "plain", "", 0, 0 };
  workspaces::directory::builder b;
  b.workspace("a", std::nullopt).key("ka").workspace("b", 0).key("kb");
  t.workspaces = b.build();
  return t;
}

} // namespace

// Guards against calls that wait in deployments which declare nothing that
// would order them.
Test(routes, only_different_demands_make_a_service_contended)
{
  auto t = equal_demands();
  cr_assert(contended_services(t).empty());
  cr_assert(contended_services({}).empty());
  SECTION("different priorities of routes alone do not")
  {
    auto other = equal_demands();
    other.workspaces.reset();
    other.routes[0].priority = 2;
    cr_assert(contended_services(other).empty());
  }
  SECTION("different latency objectives do")
  {
    auto other = equal_demands();
    other.routes[0].objective_ms = 400;
    cr_assert(contended_services(other) == std::set<std::string>{ "plain" });
    other.services["plain"].engine_slots = 6;
    cr_assert(contended_services(other).empty(), "but not before engines");
  }
  SECTION("different weights, a limit, or different priorities do")
  {
    for (int kind = 0; kind < 3; ++kind) {
      auto other = equal_demands();
      auto& w = other.workspaces->all[1];
      w.weight = kind == 0 ? 2 : 1;
      w.max_running = kind == 1 ? 3 : 0;
      w.priority = kind == 2 ? 1 : 0;
      cr_assert(contended_services(other) == std::set<std::string>{ "plain" });
      for (auto& r : other.routes) {
        r.is_public = true;
      }
      cr_assert(contended_services(other).empty(),
                "public routes have no workspaces");
    }
  }
}
