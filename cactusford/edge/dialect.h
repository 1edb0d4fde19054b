// What differs between the systems that this product serves: names and shapes
// on the wire. Plain functions that translate; nothing here decides.
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

// Names of the headers that the product reads or sets.
struct header_names
{
  std::string request_id;
  // Milliseconds that the caller still waits.
  std::string deadline_ms;
  // Proof that a backend server made the answer.
  std::string signature;
  // Names the backend server that may run the request, and the one that
  // answered.
  std::string expected_backend;
  std::string backend;
  std::string load;
  // The backend server has not run the request.
  std::string not_run;
  std::string last_event;
  std::string weight_version;
  std::string expected_version;
  // How long a reader of results waits for more.
  std::string wait_ms;
  std::string retry_after;
  // Tells a backend server on whose behalf it runs a request.
  std::string workspace;
  // How urgent a run is to its engine: 0 to 9, 0 is the first.
  std::string urgency;
};

// Names of the kinds that others write to the store.
struct kind_names
{
  std::string configuration;
  std::string configuration_name;
  std::string backends;
  std::string versions;
  std::string removals;
};

enum class batch_operation
{
  none,
  read_results,
  read_item,
  end,
};

// A call about a batch that exists.
struct batch_request
{
  batch_operation what = batch_operation::none;
  std::string id;
  std::string item;
  // The caller's; empty where no key is asked for.
  std::string workspace;
  std::uint64_t after = 0;
  std::uint64_t wait_ms = 0;
};

// The weight version that a trainer has named.
struct published_version
{
  std::string model;
  std::uint64_t version = 0;
};

// An engine's own report to the sidecar beside it.
struct engine_report
{
  // When the engine's present life started, by its own clock. Versions and
  // orders below are of this life alone.
  std::uint64_t started_ms = 0;
  std::map<std::string, std::uint64_t> versions;
  // An order is in progress.
  bool busy = false;
  // Runs of all models.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Orders accepted since its start.
  std::uint64_t orders = 0;
  std::string backend;

  friend bool operator==(const engine_report&, const engine_report&) = default;
};

// How runs of the old version end when a new one is loaded.
enum class load_mode
{
  // Go on under the new version.
  keep_runs,
  // Finish first.
  wait_for_runs,
};

struct load_order
{
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::keep_runs;
  std::string holder;
  std::uint64_t fence = 0;
  // The order counts only after this many orders.
  std::uint64_t expected_orders = 0;
  std::string backend;
};

enum class order_answer
{
  accepted,
  // The weights are loaded already.
  already_loaded,
  // Another order is in progress, or came in between.
  conflict,
  fenced,
  wrong_backend,
  invalid,
};

// The requests of each workspace in one window of time, for the platform.
struct usage_report
{
  std::uint64_t window = 0;
  usage::counts requests;
  // Who holds the duty, and its fencing number.
  std::string holder;
  std::uint64_t fence = 0;
};

// What the platform says to a call of a duty.
enum class duty_answer
{
  accepted,
  // A higher fencing number was seen.
  fenced,
  // Not now, or it cannot be read: the same may be sent again.
  refused,
};

struct dialect
{
  header_names headers;
  kind_names kinds;
  store::dialect store;
  std::string ready_path;

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
  // The key of the line inside an event that names a new weight version.
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
