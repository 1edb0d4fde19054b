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
