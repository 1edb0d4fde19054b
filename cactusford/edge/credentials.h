// Identifies the caller of a request by its API key, and replaces the key by
// the name of the workspace before the request goes to a backend server. Pure.
#pragma once

#include "cactusford/http/message.h"
#include "cactusford/routes/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::edge {

enum class access
{
  // No key is required.
  open,
  granted,
  // A key is required, but the request has none that can be parsed.
  no_key,
  unknown_key,
};

std::string_view
name_of(access a) noexcept;

struct caller_identity
{
  access decision = access::open;
  // Empty unless access is granted.
  std::string workspace;
  // Short digest of an unknown key, for log lines.
  std::string key_digest;
  // What is declared about the workspace's calls.
  std::optional<std::uint32_t> priority = std::nullopt;
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0;

  friend bool operator==(const caller_identity&,
                         const caller_identity&) = default;
};

// Identifies the caller of a request to the route.
caller_identity
identify(const routes::table& t,
         const routes::route& r,
         const http::headers& fields);

// Identifies the caller of a request about an existing batch, whose route is
// not known yet. Without a key a caller may only read batches of public routes,
// so it is refused if the host has no public batch route.
caller_identity
identify_batch_caller(const routes::table& t, const http::headers& fields);

bool
is_refused(const caller_identity& c) noexcept;

// If workspaces are declared, removes the key, which no backend server may see,
// and sets the workspace header. A value that the caller has set in that header
// is never forwarded.
void
replace_credentials(http::headers& fields,
                    bool has_workspaces,
                    std::string_view workspace_header,
                    std::string_view workspace);

} // namespace cactusford::edge
