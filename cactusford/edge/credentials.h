// Who a request is from, by the key that it carries, and what a backend server
// is told of that. Pure.
#pragma once

#include "cactusford/http/message.h"
#include "cactusford/routes/table.h"

#include <string>
#include <string_view>

namespace cactusford::edge {

enum class access
{
  // No key is asked for.
  open,
  granted,
  // A key is asked for, and there is none that can be read.
  no_key,
  unknown_key,
};

std::string_view
name_of(access a) noexcept;

struct caller_identity
{
  access what = access::open;
  // Empty unless granted.
  std::string workspace;
  // Of an unknown key, for log lines.
  std::string key_digest;

  friend bool operator==(const caller_identity&,
                         const caller_identity&) = default;
};

// The caller of a route.
caller_identity
identify(const routes::table& t,
         const routes::route& r,
         const http::headers& fields);

// The caller of a batch, whose route is not known yet. Without a key only
// batches of public routes may be asked for, if the host has any.
caller_identity
identify_batch_caller(const routes::table& t, const http::headers& fields);

bool
is_refused(const caller_identity& c) noexcept;

// A key goes to no backend server. Where workspaces are declared it is told the
// workspace in its place, and never what the caller has set there.
void
replace_credentials(http::headers& fields,
                    bool has_workspaces,
                    std::string_view workspace_header,
                    std::string_view workspace);

} // namespace cactusford::edge
