// Routes and services that are in force: one immutable table a version.
#pragma once

#include "cactusford/http/server.h"
#include "cactusford/workspaces/directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
  // The answer is a stream of events; runs at most once unless resumable.
  streaming,
  // Takes batches of items for a trainer.
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
  // Longest time that a caller is kept waiting.
  std::uint64_t timeout_ms = 10000;
  // Time within which an answer has its full value.
  std::uint64_t objective_ms = 0;
  // Backend servers that one request may be sent to.
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;
  bool resumable = false;
  // Callers need no key.
  bool is_public = false;
  // Batches: all text of a result under one weight version.
  bool single_version = false;
  // Batches: results are due this long after acceptance; an item may be given
  // up after the second.
  std::uint64_t due_ms = 0;
  std::uint64_t give_up_ms = 0;

  friend bool operator==(const route&, const route&) = default;
};

struct service
{
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  // Requests that an engine runs at once; 0 for a plain service.
  std::uint32_t engine_slots = 0;

  friend bool operator==(const service&, const service&) = default;
};

struct table
{
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service> services;
  http::server_limits limits;
  // Absent: none are declared, and no call needs a key.
  std::optional<workspaces::directory> workspaces;

  friend bool operator==(const table&, const table&) = default;
};

using table_ptr = std::shared_ptr<const table>;

// The route of that host with the longest prefix of the path; null if none.
const route*
match(const table& t, std::string_view host, std::string_view path);

// One of the route's services by weight; `random` is uniform in 0 to 1. Empty
// without services.
std::string
pick_service(const route& r, double random);

} // namespace cactusford::routes
