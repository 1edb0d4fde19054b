#include "cactusford/edge/credentials.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::edge;

namespace {

constexpr const char* workspace_header = "Workspace";

routes::table
keyed_table()
{
  workspaces::directory::builder b;
  b.workspace("planning", std::nullopt).key("k1").key("k2");
  routes::table t;
  t.workspaces = b.build();
  return t;
}

routes::route
route_of(bool is_public, routes::call_kind kind = routes::call_kind::idempotent)
{
  routes::route r;
  r.host = "h";
  r.path_prefix = "/a/";
  r.is_public = is_public;
  r.kind = kind;
  return r;
}

http::headers
with_key(const char* key)
{
  return { { "Host", "h" },
           { "Authorization", std::string{ "Bearer " } + key } };
}

} // namespace

Test(credentials, a_call_needs_a_key_of_some_workspace)
{
  const auto t = keyed_table();
  const auto r = route_of(false);
  cr_assert(identify(t, r, with_key("k2")).decision == access::granted);
  cr_assert_eq(identify(t, r, with_key("k2")).workspace, "planning");
  cr_assert(identify(t, r, { { "Host", "h" } }).decision == access::no_key);
  const auto unknown = identify(t, r, with_key("k3"));
  cr_assert(unknown.decision == access::unknown_key);
  cr_assert_eq(unknown.key_digest.find("k3"), std::string::npos);
  cr_assert(is_refused(unknown));
  SECTION("no key is needed on a public route or without declared workspaces")
  {
    cr_assert(identify(t, route_of(true), with_key("k3")).decision ==
              access::open);
    cr_assert(identify({}, r, {}).decision == access::open);
  }
  SECTION("an empty list of workspaces grants access to nobody")
  {
    routes::table without_keys;
    without_keys.workspaces.emplace();
    cr_assert(is_refused(identify(without_keys, r, with_key("k1"))));
  }
}

// A request names a batch only by its id. The route of the batch decides
// whether a key is needed, and is unknown until the batch has been looked up.
Test(credentials, a_batch_without_a_key_is_of_a_public_route)
{
  auto t = keyed_table();
  t.routes = { route_of(false, routes::call_kind::rollout), route_of(true) };
  cr_assert(is_refused(identify_batch_caller(t, { { "Host", "h" } })));
  t.routes.push_back(route_of(true, routes::call_kind::rollout));
  cr_assert_not(is_refused(identify_batch_caller(t, { { "Host", "h" } })));
  cr_assert(is_refused(identify_batch_caller(t, { { "Host", "other" } })));
  cr_assert(is_refused(identify_batch_caller(t, with_key("k3"))));
}

// Guards against impersonation: a caller sends the name of another workspace
// along with its own key. If that header were forwarded, the request would run
// on behalf of the other workspace.
Test(credentials, a_backend_server_receives_the_workspace_but_never_the_key)
{
  auto fields = with_key("k1");
  fields.push_back({ workspace_header, "billing" });
  replace_credentials(fields, true, workspace_header, "planning");
  cr_assert_not(http::find(fields, "Authorization").has_value());
  cr_assert_eq(*http::find(fields, workspace_header), "planning");
  SECTION("on a public route neither header is forwarded")
  {
    auto open = with_key("k1");
    open.push_back({ workspace_header, "billing" });
    replace_credentials(open, true, workspace_header, "");
    cr_assert_eq(open.size(), 1);
  }
  SECTION("headers stay unchanged if no workspaces are declared")
  {
    const auto own = with_key("k1");
    auto unchanged = own;
    replace_credentials(unchanged, false, workspace_header, "");
    cr_assert(unchanged == own);
  }
}
