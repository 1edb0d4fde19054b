#include "cactusford/edge/credentials.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

caller_identity
identify_by_key(const workspaces::directory& d, const http::headers& fields)
{
  const auto header = http::find(fields, workspaces::authorization_header);
  const auto key = workspaces::bearer_key(header.value_or(""));
  if (!key) {
    return { access::no_key, "", "" };
  }
  const auto* owner = workspaces::find_workspace(d, *key);
  if (owner == nullptr) {
    return { access::unknown_key, "", workspaces::short_digest(*key) };
  }
  return { access::granted, owner->name,   "",
           owner->priority, owner->weight, owner->max_running };
}

bool
has_public_batches(const routes::table& t, std::string_view host)
{
  return std::any_of(t.routes.begin(), t.routes.end(), [&](const auto& r) {
    return r.is_public && r.kind == routes::call_kind::rollout &&
           r.host == host;
  });
}

} // namespace

std::string_view
name_of(access a) noexcept
{
  switch (a) {
    case access::open:
      return "open";
    case access::granted:
      return "granted";
    case access::no_key:
      return "no_key";
    case access::unknown_key:
      return "unknown_key";
  }
  return "unknown";
}

caller_identity
identify(const routes::table& t,
         const routes::route& r,
         const http::headers& fields)
{
  if (!t.workspaces || r.is_public) {
    return {};
  }
  return identify_by_key(*t.workspaces, fields);
}

caller_identity
identify_batch_caller(const routes::table& t, const http::headers& fields)
{
  if (!t.workspaces) {
    return {};
  }
  auto c = identify_by_key(*t.workspaces, fields);
  const auto host = http::find(fields, "Host").value_or("");
  if (c.decision == access::no_key && has_public_batches(t, host)) {
    c.decision = access::open;
  }
  return c;
}

bool
is_refused(const caller_identity& c) noexcept
{
  return c.decision == access::no_key || c.decision == access::unknown_key;
}

void
replace_credentials(http::headers& fields,
                    bool has_workspaces,
                    std::string_view workspace_header,
                    std::string_view workspace)
{
  if (!has_workspaces) {
    return;
  }
  http::remove(fields, workspaces::authorization_header);
  http::remove(fields, workspace_header);
  if (!workspace.empty()) {
    http::set(fields, workspace_header, workspace);
  }
}

} // namespace cactusford::edge
