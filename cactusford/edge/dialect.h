// Interface to the wire formats of a platform: names of headers and stored
// kinds, and functions that translate between messages and types. Contains no
// logic beyond the translation.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/batches/batch.h"
#include "cactusford/routes/table.h"
#include "cactusford/store/store.h"
#include "cactusford/usage/counts.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::edge {

// Names of the HTTP headers that are read or set.
struct header_names
{
  std::string request_id;
  // How long the caller will still wait, in milliseconds.
  std::string deadline_ms;
  // Signature that proves that the response is from a backend server.
  std::string signature;
  // Id of the backend server that may run the request, and id of the one that
  // answered.
  std::string expected_backend;
  std::string backend;
  std::string load;
  // Set if the backend server has not run the request.
  std::string not_run;
  std::string last_event;
  std::string weight_version;
  std::string expected_version;
  // How long a reader of results is willing to wait for further results.
  std::string wait_ms;
  std::string retry_after;
  // Workspace on whose behalf a backend server runs the request.
  std::string workspace;
  // Scheduling priority of a run at its engine: 0 (highest) to 9.
  std::string urgency;
  // How much longer the backend server is cold, in milliseconds.
  std::string cold_ms;
};

// Names of the object kinds that other systems write to the store.
struct kind_names
{
  std::string configuration;
  std::string configuration_name;
  std::string backends;
  std::string versions;
  std::string removals;
  // Orders to send nothing more to a data centre, named by the data centre.
  std::string drains;
};

enum class batch_operation
{
  none,
  read_results,
  read_item,
  end,
};

// A request about an existing batch.
struct batch_request
{
  batch_operation what = batch_operation::none;
  std::string id;
  std::string item;
  // Workspace of the caller; empty if no key is required.
  std::string workspace;
  std::uint64_t after = 0;
  std::uint64_t wait_ms = 0;
};

// A weight version that a trainer has published.
struct published_version
{
  std::string model;
  std::uint64_t version = 0;
};

// Status report of an engine to its sidecar.
struct engine_report
{
  // Start time of the engine's current incarnation, by the engine's clock. The
  // versions and orders below belong to this incarnation only.
  std::uint64_t started_ms = 0;
  std::map<std::string, std::uint64_t> versions;
  // True while an order is in progress.
  bool busy = false;
  // Runs of all models together.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Number of orders accepted by this incarnation.
  std::uint64_t orders = 0;
  std::string backend;

  friend bool operator==(const engine_report&, const engine_report&) = default;
};

// What happens to runs of the old version when a new one is loaded.
enum class load_mode
{
  // They continue under the new version.
  keep_runs,
  // They finish before the new version is loaded.
  wait_for_runs,
};

struct load_order
{
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::keep_runs;
  std::string holder;
  std::uint64_t fence = 0;
  // The engine accepts the order only if it has accepted exactly this many
  // before (optimistic concurrency control).
  std::uint64_t expected_orders = 0;
  std::string backend;
};

enum class order_answer
{
  accepted,
  // The engine has already loaded these weights.
  already_loaded,
  // Another order is in progress or was accepted in the meantime.
  conflict,
  fenced,
  wrong_backend,
  invalid,
};

// Usage report to the platform: the requests of each workspace in one time
// window.
struct usage_report
{
  std::uint64_t window = 0;
  usage::counts requests;
  // Instance that holds the reporting duty, and its fencing token.
  std::string holder;
  std::uint64_t fence = 0;
};

// Answer of the platform to a call made under a duty.
enum class duty_answer
{
  accepted,
  // The platform has seen a higher fencing token.
  fenced,
  // Refused for now, or the answer is unreadable: the same call may be retried.
  refused,
};

struct dialect
{
  header_names headers;
  kind_names kinds;
  store::dialect store;
  std::string ready_path;
  // Environment variable with the path of the settings file.
  std::string settings_variable;

  std::function<store::decoded<routes::table>(const store::object&)> table_from;
  std::function<store::decoded<backends::announcement>(const store::object&)>
    announcement_from;
  std::function<store::decoded<published_version>(const store::object&)>
    version_from;
  std::function<store::decoded<batches::submission>(std::string_view body)>
    submission_from;
  std::function<std::string(const batches::result_page&)> encode_page;
  std::function<batch_request(const http::request&)> batch_request_from;
  std::function<std::optional<backends::reported_load>(std::string_view)>
    load_from;
  // Key of the line inside an event that announces a new weight version.
  std::string version_line;

  std::function<http::request()> report_request;
  std::function<store::decoded<engine_report>(const http::response&)>
    report_from;
  std::function<http::request(const load_order&)> order_request;
  std::function<order_answer(const http::response&)> order_answer_from;
  std::function<nlohmann::json(bool emptied)> removal_status;
  std::function<http::request(const usage_report&)> usage_request;
  std::function<duty_answer(const http::response&)> duty_answer_from;
};

} // namespace cactusford::edge
