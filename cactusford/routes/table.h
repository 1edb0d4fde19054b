// Routing table: the routes, services and workspaces in force. Each version of
// the configuration gives one immutable table.
#pragma once

#include "cactusford/data_centres/homes.h"
#include "cactusford/http/server.h"
#include "cactusford/workspaces/directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::routes {

enum class call_kind
{
  // May run more than once.
  idempotent,
  // Runs at most once.
  non_idempotent,
  // The response is an event stream; runs at most once unless the route is
  // resumable.
  streaming,
  // Accepts batches of items from a trainer.
  rollout,
};

struct weighted_service
{
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

struct route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  call_kind kind = call_kind::non_idempotent;
  std::vector<weighted_service> services;
  // Upper bound on the time to answer a caller.
  std::uint64_t timeout_ms = 10000;
  // Latency objective of an answer.
  std::uint64_t objective_ms = 0;
  // Maximum number of backend servers that may run one request.
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;
  bool resumable = false;
  // Callers need no API key.
  bool is_public = false;
  // Batches: the whole text of a result must come from one weight version.
  bool single_version = false;
  // Batches: results are due `due_ms` after acceptance; after `give_up_ms` an
  // item may be given up.
  std::uint64_t due_ms = 0;
  std::uint64_t give_up_ms = 0;
  // Regions in which requests may be served.
  data_centres::home_regions homes;

  friend bool operator==(const route&, const route&) = default;
};

struct service
{
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  // Number of requests that an engine runs concurrently; 0 for a plain service.
  std::uint32_t engine_slots = 0;
  // How long a server is cold after its start, and how many requests a second
  // it bears while it is cold; 0: never cold.
  std::uint64_t cold_ms = 0;
  double cold_per_second = 0;

  friend bool operator==(const service&, const service&) = default;
};

struct table
{
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service> services;
  http::server_limits limits;
  // Absent if no workspaces are declared; then no call needs a key.
  std::optional<workspaces::directory> workspaces;

  friend bool operator==(const table&, const table&) = default;
};

using table_ptr = std::shared_ptr<const table>;

// The route of the host whose prefix is the longest that matches the path; null
// if none matches.
const route*
match(const table& t, std::string_view host, std::string_view path);

// Picks one of the route's services in proportion to the weights; `random` is
// uniformly distributed in [0, 1]. Empty if the route has no services.
std::string
pick_service(const route& r, double random);

// Returns the regions in which requests to the route may be served for the
// workspace: those that both allow. A null route, or a name that is not
// declared, may have had a restriction: no region is allowed then, if the table
// declares any restriction.
data_centres::home_regions
homes_of(const table& t, const route* r, std::string_view workspace);

// Plain services whose callers have different demands: routes with different
// latency objectives, or workspaces with different weights or priorities or
// with a limit of their running calls. Only there can the order of waiting
// calls matter.
std::set<std::string>
contended_services(const table& t);

// Returns true if calls of this route must leave the service's capacity to
// others: another route with a shorter latency objective uses a service of it.
bool
yields_to_callers(const table& t, const route& r);

// Results of `yields_to_callers` for the routes of one table.
struct yielding_routes
{
  table_ptr of;
  std::map<const route*, bool> known;
};

// As above, for a route of `t`. Scans the routes of a table once for each route
// asked for: a table may have 1,400, and each scorer call asks.
bool
yields_to_callers(yielding_routes& cache, const table_ptr& t, const route& r);

} // namespace cactusford::routes
