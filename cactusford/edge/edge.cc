#include "cactusford/backends/run_moves.h"
#include "cactusford/backends/warm_up_events.h"
#include "cactusford/batches/manager.h"
#include "cactusford/batches/submission_memory.h"
#include "cactusford/edge/caller_limits.h"
#include "cactusford/edge/cold_servers.h"
#include "cactusford/edge/credentials.h"
#include "cactusford/edge/denial.h"
#include "cactusford/edge/drain_watch.h"
#include "cactusford/edge/forward.h"
#include "cactusford/edge/home_regions.h"
#include "cactusford/edge/hosted.h"
#include "cactusford/edge/piggyback.h"
#include "cactusford/edge/reachability_probes.h"
#include "cactusford/edge/stopping.h"
#include "cactusford/http/port_wait.h"
#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"
#include "cactusford/membership/directory.h"
#include "cactusford/process/line_log.h"
#include "cactusford/process/metrics.h"
#include "cactusford/store/watcher.h"
#include "cactusford/timeline/clock.h"
#include "cactusford/usage/meter.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace cactusford::edge {

namespace {

// The load balancer checks readiness once a second and stops sending callers
// after two failed checks. Callers that arrive before are still served.
constexpr std::uint64_t min_drain_ms = 2800;

constexpr std::uint64_t drain_poll_interval_ms = 50;

// Between the last write to a caller and the end of the process, which resets
// connections with unread bytes.
constexpr std::uint64_t delivery_ms = 100;

// Retry-After for calls that this instance no longer takes: another one can
// take them at once.
constexpr std::string_view stopping_retry_after_s = "0.05";

// Calls about batches read or write a few objects of the store.
constexpr std::uint64_t batch_call_ms = 1500;

// Changes of backend servers are coalesced for this long: weight versions
// change one by one after each load, and each answer of the watch counts as a
// paid call. It is far below the seconds within which a draining backend server
// must stop getting new work.
constexpr std::uint64_t backend_coalescing_ms = 600;

// Minimum time between refreshes of the backend list after misdirected calls.
// Each refresh is a call to the store, shared by concurrent refreshes.
constexpr std::uint64_t min_refresh_interval_ms = 100;

// How long the store may hold a shared watch. A relay that becomes silent is
// detected only after this time, so it is short; as watches are shared, the
// number of calls stays low.
constexpr std::uint64_t shared_watch_wait_ms = 1000;

// Retry-After for refused callers: a backend server is avoided for a quarter of
// a second after a failure, and a plain call takes less.
constexpr std::string_view default_retry_after_s = "0.2";

// Retry-After for calls that no home region can serve: only a change of the
// configuration or of the home's servers helps, which takes longer.
constexpr std::string_view homes_retry_after_s = "1";

// Announcements of backend servers expire after three missed heartbeats, also
// while the store is unavailable; they are renewed within about two seconds
// after it returns, so missing servers are retained for that long. After a
// shorter outage than `min_outage_ms` none can have expired: a missing server
// has left, and work sent to it would reach a server that is about to exit.
constexpr std::uint64_t missing_grace_ms = 2300;
constexpr std::uint64_t min_outage_ms = 1000;

// An entry announces itself to its relay at this interval and counts as alive
// for four intervals.
constexpr std::uint64_t announce_interval_ms = 500;

// Number of entries that a relay reports. There are few trainers, and each
// needs one large entry.
constexpr std::size_t max_entries_in_reply = 6;

// A relay that has just started has not heard from all entries yet and states
// no number of them.
constexpr std::uint64_t min_relay_age_ms = 3000;

// More entries than any deployment has.
constexpr std::size_t max_entries = 100'000;

void
log_incarnation_change(const backends::incarnation_change& c)
{
  if (c.what != backends::announce_result::same_incarnation) {
    process::log_line(timeline::event{ "backend_life" }
                        .with("backend", c.of.id)
                        .with("started_ms", c.of.started_ms)
                        .with("verdict", backends::name_of(c.what)));
  }
}

// Requests continue on a server that is not listed.
void
log_running_requests(std::string_view event, const backends::backend* b)
{
  if (b != nullptr && b->in_flight > 0) {
    process::log_line(timeline::event{ event }
                        .with("backend", b->info.id)
                        .with("started_ms", b->info.started_ms)
                        .with("in_flight", b->in_flight));
  }
}

// Rounds up, as a caller that retries too early would be refused again.
std::string
round_up_to_seconds(std::uint64_t ms)
{
  constexpr std::uint64_t ms_per_second = 1000;
  return std::to_string((ms + ms_per_second - 1) / ms_per_second);
}

// The queue gives multiples of ten milliseconds.
std::string
in_seconds(std::uint64_t ms)
{
  constexpr double ms_per_second = 1000;
  std::array<char, 32> text{};
  std::snprintf(
    text.data(), text.size(), "%.2f", static_cast<double>(ms) / ms_per_second);
  return text.data();
}

bool
places_by_data_centre(const hosted_settings& s)
{
  return s.mechanisms.placement_by_data_centre && distinguishes_data_centres(s);
}

std::string
region_of_instance(const hosted_settings& s)
{
  return std::string{ data_centres::region_of(s.regions, s.data_centre) };
}

std::map<std::string, backends::warm_up_limits, std::less<>>
warm_up_limits_of(const routes::table& t)
{
  std::map<std::string, backends::warm_up_limits, std::less<>> limits;
  for (const auto& [name, s] : t.services) {
    if (s.cold_per_second > 0) {
      limits[name] = { s.cold_ms, s.cold_per_second };
    }
  }
  return limits;
}

// Services to which entries send calls. A text's scorer is called on such a
// route too.
std::set<std::string, std::less<>>
call_services_of(const routes::table& t)
{
  std::set<std::string, std::less<>> services;
  for (const auto& r : t.routes) {
    if (r.kind == routes::call_kind::rollout) {
      continue;
    }
    for (const auto& s : r.services) {
      services.insert(s.service);
    }
  }
  return services;
}

http::response
empty_response(int status)
{
  http::response r;
  r.status = status;
  return r;
}

} // namespace

// An entry process: serves callers and peers, and follows the configuration,
// the backend servers and the batches in the store.
struct edge_process
{
  edge_process(const std::string& path,
               const hosted_settings& s,
               const dialect& dialect);

  int run();
  bool listen(http::server& server,
              const std::string& address,
              const char* key);
  void end_without_port(const char* key,
                        const std::string& address,
                        const std::error_code& ec);
  bool serves_callers() const;
  bool is_ready() const;
  void leave();
  void poll_drained();
  bool is_idle() const;
  void answer_open_requests();
  bool refuse_late(const http::call& c,
                   const std::string& id,
                   std::uint64_t latest_end_ms);

  void on_caller(http::call c);
  void on_peer(const http::call& c);
  void on_batch_request(const http::call& c, batch_request&& b);
  void forward(const http::call& c,
               const routes::route& r,
               std::string id,
               const caller_identity& caller);
  void refuse_outside_homes(const http::call& c,
                            const routes::route& r,
                            const caller_identity& caller,
                            std::string_view why);
  void on_forwarded(const http::call& c,
                    const std::string& id,
                    forward_outcome&& o);
  void refuse(const http::call& c, const std::string& retry_after_s);
  void log_buffer_change();
  void log_request_memory();
  bool is_out_of_memory(const http::request& r) const;
  bool accepts_peer_message(const http::call& c);
  void use_limits(const hosted_settings& s);
  std::uint64_t table_age_ms() const;
  void deny(const http::call& c, int status, const timeline::event& line);
  bool authorize(const http::call& c, const caller_identity& caller);

  void on_configuration(const store::object& o);
  void on_backend_list(std::vector<store::object>&& all);
  void on_backend(store::change&& c);
  void on_unreadable_backend(const store::unreadable_object& u);
  void start_watches();
  void export_view_metrics();
  void export_buffer_metrics();
  void export_quarantine_metrics();
  void export_sharing_metrics();
  void export_usage_metrics();
  void export_speed_metrics();
  void export_distance_metrics();
  void export_queue_metrics();
  void retain_missing_backends();
  void export_warm_up_metrics();
  void set_up_relay_messages();
  std::optional<std::size_t> entry_count() const;
  void use_entry_count(std::size_t entries);
  nlohmann::json answer_sidecar(const sidecar_message& sidecar) const;
  membership::member own_member() const;
  std::vector<membership::member> known_entries() const;
  membership::reply_limits reply_limits() const;

  process_runtime runtime;
  const dialect& wire;
  process::metrics metrics;
  // What callers make this instance hold.
  std::shared_ptr<http::request_memory> memory =
    std::make_shared<http::request_memory>();
  // Answers that are collected or wait for callers to read them.
  std::shared_ptr<http::buffer_budget> buffers{ memory,
                                                &memory->budget.answers };
  answer_lengths lengths;
  http::client http;
  store::client store;
  backends::registry registry;
  reachability_probes probes{ runtime.io, registry };
  routes::table_ptr table;
  // Services before which calls wait in a queue.
  std::set<std::string> contended_services;
  membership::directory entries;
  membership::standby_state standby;
  // Sidecars that watch the weight versions with this entry as their relay.
  membership::directory sidecars;
  std::uint64_t started_ms = timeline::wall_ms();
  // When this entry last announced itself to a relay.
  std::uint64_t last_announced_ms = 0;
  // When a misdirected call last caused a refresh of the backend list.
  std::uint64_t last_misdirected_refresh_ms = 0;
  quarantine::manager quarantine_manager;
  forwarder calls;
  usage::meter meter;
  batches::manager batch_manager;
  store::watcher configuration;
  store::watcher backend_list;
  store::watcher batch_list;
  drain_watch drains;
  http::server caller_server;
  http::server readiness_server;
  http::server peer_server;
  http::server metrics_server;
  // Services and workspaces whose waiting calls were exported last.
  std::set<std::pair<std::string, std::string>> exported_workspaces;
  bool is_leaving = false;
  int exit_code = 0;
  bool has_handed_over_batches = false;
  stop_state stop;
  // Requests that were refused because the process stops, and those that got
  // their last answer at the end of the grace.
  std::uint64_t refused_late = 0;
  std::size_t answered_last = 0;
  bool has_answered_last = false;
  // When this process was last seen to have something to send.
  std::uint64_t last_busy_ms = 0;
  // Refusals for memory that `log_request_memory` has reported.
  std::uint64_t logged_refusals = 0;
};

edge_process::edge_process(const std::string& path,
                           const hosted_settings& s,
                           const dialect& dialect)
  : runtime{ path, s }
  , wire{ dialect }
  , http{ runtime.io }
  , store{ runtime.io,
           http,
           wire.store,
           { s.store,
             s.peers,
             false,
             true,
             s.peer_rank,
             s.drain_within_ms > 0 } }
  , quarantine_manager{ runtime.io,
                        store,
                        registry,
                        { s.instance, s.peer_rank.has_value() } }
  , calls{ runtime.io, http, registry, wire, s.data_centre, &quarantine_manager }
  , meter{ runtime.io,
           http,
           store,
           wire,
           { s.instance,
             s.peer,
             s.capacity,
             started_ms,
             s.usage_reports,
             s.usage_window_ms } }
  , batch_manager{ { runtime.io,
                     http,
                     store,
                     registry,
                     wire,
                     calls,
                     [this] { return table; },
                     s.instance,
                     s.peer,
                     s.data_centre,
                     s.keep_batches_ms,
                     s.capacity,
                     [this] { return known_entries(); },
                     &quarantine_manager,
                     [this] { return standby; },
                     s.mechanisms.call_queue,
                     s.mechanisms.engine_shares,
                     s.mechanisms.run_health,
                     places_by_data_centre(s),
                     region_of_instance(s),
                     started_ms,
                     [this] {
                       return membership::departures(entries, http::now_ms());
                     },
                     s.grace_ms,
                     [this] { return runtime.settings.peers; },
                     memory } }
  , configuration{ runtime.io,
                   store,
                   { wire.kinds.configuration,
                     shared_watch_wait_ms,
                     0,
                     true,
                     true },
                   { [this](std::vector<store::object>&& all) {
                      for (const auto& o : all) {
                        on_configuration(o);
                      }
                    },
                     [this](store::change&& c) {
                       if (!c.deleted) {
                         on_configuration(c.value);
                       }
                     },
                     {} } }
  , backend_list{ runtime.io,
                  store,
                  { wire.kinds.backends,
                    shared_watch_wait_ms,
                    backend_coalescing_ms,
                    true,
                    true },
                  { [this](std::vector<store::object>&& all) {
                     on_backend_list(std::move(all));
                   },
                    [this](store::change&& c) { on_backend(std::move(c)); },
                    [this] { batch_manager.on_backends(); },
                    [this](const store::unreadable_object& u) {
                      on_unreadable_backend(u);
                    } } }
  , batch_list{ runtime.io,
                store,
                { std::string{ batches::batch_kind },
                  shared_watch_wait_ms,
                  0,
                  true },
                { [this](std::vector<store::object>&& all) {
                   batch_manager.on_list(std::move(all));
                 },
                  [this](store::change&& c) {
                    batch_manager.on_change(std::move(c));
                  },
                  {} } }
  , drains{ runtime.io,
            store,
            registry,
            wire.kinds.drains,
            shared_watch_wait_ms,
            [this] {
              calls.on_servers_changed();
              batch_manager.on_backends();
            } }
  , caller_server{ runtime.io,
                   {},
                   [this](http::call c) { on_caller(std::move(c)); },
                   buffers,
                   options_for(port_kind::callers, s, memory) }
  , readiness_server{ runtime.io,
                      {},
                      [this](const http::call& c) {
                        c.respond(empty_response(is_ready() ? 200 : 503));
                      },
                      nullptr,
                      options_for(port_kind::monitoring, s, memory) }
  , peer_server{ runtime.io,
                 {},
                 [this](const http::call& c) { on_peer(c); },
                 nullptr,
                 options_for(port_kind::peers, s, memory) }
  , metrics_server{
    runtime.io,
    {},
    [this](const http::call& c) {
      metrics.set("store_calls", static_cast<double>(store.calls()));
      metrics.set("backend_connections_opened",
                  static_cast<double>(http.connections_opened()));
      metrics.set("batches_owned", static_cast<double>(batch_manager.owned()));
      export_view_metrics();
      export_buffer_metrics();
      export_quarantine_metrics();
      export_sharing_metrics();
      export_usage_metrics();
      export_speed_metrics();
      export_distance_metrics();
      export_queue_metrics();
      export_warm_up_metrics();
      http::response r;
      r.status = 200;
      r.fields.push_back({ "Content-Type", "text/plain; version=0.0.4" });
      r.body = metrics.text();
      c.respond(std::move(r));
    },
    nullptr,
    options_for(port_kind::monitoring, s, memory)
  }
{
  registry.server_speeds = s.mechanisms.server_speeds;
  registry.topology.own = s.data_centre;
  registry.topology.regions = s.regions;
  registry.topology.reach.is_enabled =
    s.mechanisms.reachability && distinguishes_data_centres(s);
  registry.topology.reach.own = s.data_centre;
  registry.topology.distance.is_enabled =
    s.mechanisms.distances && data_centres::has_several_regions(s.regions);
  registry.warm_up.is_enabled = s.mechanisms.warm_up;
  registry.warm_up.excess = s.warm_up_excess;
  registry.warm_up.slack = s.warm_up_slack;
}

bool
edge_process::listen(http::server& server,
                     const std::string& address,
                     const char* key)
{
  if (address.empty()) {
    return true;
  }
  const auto end = [this, key, address](const std::error_code& ec) {
    end_without_port(key, address, ec);
  };
  const auto ec = http::listen_when_free(
    runtime.io,
    { key,
      address,
      [&server, address] { return server.listen(address); },
      end,
      [this] { return is_leaving; },
      process::log_line });
  if (ec) {
    end(ec);
  }
  return !ec;
}

void
edge_process::end_without_port(const char* key,
                               const std::string& address,
                               const std::error_code& ec)
{
  process::log_line(
    timeline::event{ "listen_failed" }
      .with("key", key)
      .with("address", address)
      .with("why", ec.message())
      .with("remedy", "specify an address and a port that this user may use"));
  exit_code = 1;
  runtime.stop();
}

bool
edge_process::serves_callers() const
{
  return runtime.settings.callers.empty() || caller_server.port() != 0;
}

// An entry without the crash reports in the store would crash three more
// backend servers before it quarantined a known poison request, so it is not
// ready yet.
bool
edge_process::is_ready() const
{
  return !is_leaving && serves_callers() && table != nullptr &&
         backend_list.is_current() && batch_list.is_current() &&
         quarantine_manager.is_current() && drains.is_current();
}

void
edge_process::export_view_metrics()
{
  const auto now = http::boot_ms();
  const auto age = [&](const store::watcher& w) {
    return static_cast<double>(w.is_current() ? now - w.confirmed_ms() : 0);
  };
  metrics.set("view_age_ms", age(configuration), { { "view", "routes" } });
  metrics.set("view_age_ms", age(backend_list), { { "view", "backends" } });
  metrics.set("view_age_ms", age(batch_list), { { "view", "batches" } });
  const auto export_outdated = [&](const char* view, std::uint64_t changes) {
    metrics.set("view_outdated_changes",
                static_cast<double>(changes),
                { { "view", view } });
  };
  export_outdated("routes", configuration.outdated_changes());
  export_outdated("backends", backend_list.outdated_changes());
  export_outdated("batches", batch_list.outdated_changes());
  metrics.set("data_centres_drained", static_cast<double>(drains.count()));
  if (drains.is_started()) {
    const auto drains_age =
      drains.is_current() ? now - drains.confirmed_ms() : 0;
    metrics.set(
      "view_age_ms", static_cast<double>(drains_age), { { "view", "drains" } });
  }
  metrics.set("store_tries_failed", static_cast<double>(store.failed_tries()));
}

void
edge_process::export_buffer_metrics()
{
  log_buffer_change();
  metrics.set("buffered_bytes", static_cast<double>(buffers->bytes));
  metrics.set("buffered_bytes_peak", static_cast<double>(buffers->peak_bytes));
  log_request_memory();
  const auto number = [](std::uint64_t value) {
    return static_cast<double>(value);
  };
  const auto& b = memory->budget;
  metrics.set("request_bytes", number(b.request_bytes));
  metrics.set("request_bytes_peak", number(b.peak_request_bytes));
  metrics.set("submission_bytes", number(b.submission_bytes));
  metrics.set("requests_refused_memory", number(memory->refused));
  metrics.set("requests_given_up", number(memory->evicted));
  metrics.set("caller_connections", number(caller_server.open_connections()));
  metrics.set("connections_replaced",
              number(caller_server.replaced_connections()));
  metrics.set("connections_refused",
              number(caller_server.refused_connections()));
}

// Each refusal has a line of its own, of which only some are written under
// load. This one sums them up.
void
edge_process::log_request_memory()
{
  const auto refused = memory->refused + memory->evicted;
  if (refused == logged_refusals) {
    return;
  }
  logged_refusals = refused;
  const auto& b = memory->budget;
  process::log_line(timeline::event{ "request_memory" }
                      .with("refused", memory->refused)
                      .with("given_up", memory->evicted)
                      .with("requests", b.request_bytes)
                      .with("submissions", b.submission_bytes)
                      .with("answers", b.answers.bytes)
                      .with("limit", b.limits.request_bytes));
}

void
edge_process::use_limits(const hosted_settings& s)
{
  set_bounds(memory->budget, s);
  caller_server.set_options(options_for(port_kind::callers, s, memory));
  peer_server.set_options(options_for(port_kind::peers, s, memory));
}

// Callers whose answers are short are served while others do not read theirs.
bool
edge_process::is_out_of_memory(const http::request& r) const
{
  if (buffers->limit_bytes == 0) {
    return false;
  }
  const auto host = http::find(r.fields, "Host").value_or("");
  const auto* route =
    table ? routes::match(*table, host, http::path_of(r.target)) : nullptr;
  if (route != nullptr && has_short_answers(lengths, route->path_prefix)) {
    return !http::may_take_short_call(*buffers);
  }
  const auto expected =
    route == nullptr ? 0 : expected_answer(lengths, route->path_prefix);
  return !http::may_take_call(*buffers,
                              expected > 0 ? expected : unknown_answer_bytes);
}

// Called for each call and each scrape, as only a refused call makes a full
// buffer matter.
void
edge_process::log_buffer_change()
{
  const auto change = http::update_full(*buffers);
  if (change != http::buffer_change::none) {
    process::log_line(timeline::event{
      change == http::buffer_change::became_full ? "buffer_full"
                                                 : "buffer_recovered" }
                        .with("bytes", buffers->bytes)
                        .with("limit", buffers->limit_bytes)
                        .with("unsent", caller_server.unsent_bytes()));
  }
}

void
edge_process::export_quarantine_metrics()
{
  const auto& c = quarantine_manager.counts();
  metrics.set("run_cuts", static_cast<double>(c.connections_lost));
  metrics.set("backend_ends", static_cast<double>(c.crashes));
  metrics.set("end_reports_written", static_cast<double>(c.reports_written));
  metrics.set("end_reports_dropped", static_cast<double>(c.reports_dropped));
  metrics.set("end_reports_known",
              static_cast<double>(quarantine_manager.reports()));
  metrics.set("quarantine_refusals", static_cast<double>(c.refusals));
}

void
edge_process::export_sharing_metrics()
{
  const auto c = batch_manager.sharing();
  metrics.set("engine_slots_owned", static_cast<double>(c.slots_owned));
  metrics.set("engine_slots_borrowed", static_cast<double>(c.slots_borrowed));
  metrics.set("items_waiting", static_cast<double>(c.items_waiting));
  metrics.set("runs_waiting_at_engines", static_cast<double>(c.runs_waiting));
  metrics.set("runs_moved_waiting", static_cast<double>(c.moved_waiting));
  metrics.set("runs_moved_stalled", static_cast<double>(c.moved_stalled));
  metrics.set("runs_moved_unreachable",
              static_cast<double>(c.moved_unreachable));
  metrics.set("data_centres_unreachable",
              static_cast<double>(probes.unreachable()));
}

void
edge_process::export_usage_metrics()
{
  const auto& t = meter.totals();
  metrics.set("usage_requests_counted", static_cast<double>(t.requests));
  metrics.set("usage_windows_reported", static_cast<double>(t.reported));
  metrics.set("usage_windows_given_up", static_cast<double>(t.given_up));
  metrics.set("usage_duty_held", meter.holds_duty() ? 1 : 0);
}

void
edge_process::export_speed_metrics()
{
  const auto& m = registry.moves;
  metrics.set("servers_in_trouble",
              static_cast<double>(
                backends::servers_in_trouble(registry, http::now_ms())));
  metrics.set("runs_moved_trouble", static_cast<double>(m.moved_trouble));
  metrics.set("runs_moved_late", static_cast<double>(m.moved_late));
  metrics.set("runs_kept_despite_trouble",
              static_cast<double>(m.kept_despite_trouble));
}

void
edge_process::export_warm_up_metrics()
{
  metrics.set(
    "servers_cold",
    static_cast<double>(backends::cold_servers(registry, http::now_ms())));
  metrics.set("requests_held_warm_up",
              static_cast<double>(calls.held_by_warm_up() +
                                  batch_manager.held_by_warm_up()));
}

void
edge_process::export_distance_metrics()
{
  const auto& t = registry.topology;
  if (!t.distance.is_enabled) {
    return;
  }
  for (const auto& [data_centre, region] : t.regions) {
    metrics.set(
      "round_trip_ms",
      data_centres::round_trip_ms(t.distance, t.regions, t.own, data_centre),
      { { "data_centre", data_centre } });
  }
}

// Exports figures of a few workspaces only: a deployment may have ten thousand.
void
edge_process::export_queue_metrics()
{
  constexpr std::size_t max_workspaces = 10;
  for (const auto& [service, workspace] : exported_workspaces) {
    metrics.set("workspace_calls_waiting",
                0,
                { { "service", service }, { "workspace", workspace } });
  }
  exported_workspaces.clear();
  for (const auto& q : calls.queues()) {
    const std::map<std::string, std::string> labels{ { "service", q.service } };
    const auto& state = *q.queue;
    metrics.set(
      "calls_waiting", static_cast<double>(state.waiting.size()), labels);
    metrics.set("calls_queued", static_cast<double>(q.queued), labels);
    metrics.set("calls_refused_full", static_cast<double>(q.refused), labels);
    metrics.set("service_limit", state.limit, labels);
    for (const auto& [name, w] :
         admission::busiest_workspaces(state, max_workspaces)) {
      auto of_workspace = labels;
      of_workspace["workspace"] = name;
      metrics.set("workspace_calls_waiting", w.waiting, of_workspace);
      metrics.set("workspace_calls_refused",
                  static_cast<double>(w.refused),
                  of_workspace);
      exported_workspaces.emplace(q.service, name);
    }
  }
}

// A leaving entry offers no capacity.
membership::member
edge_process::own_member() const
{
  const auto& s = runtime.settings;
  membership::member m{
    s.instance, s.peer, is_leaving ? 0 : s.capacity, started_ms
  };
  if (places_by_data_centre(s)) {
    m.data_centre = s.data_centre;
    m.region = region_of_instance(s);
  }
  return m;
}

// Returns the entries among which owners of batches are chosen. A relay knows
// all entries; others know those that it names.
std::vector<membership::member>
edge_process::known_entries() const
{
  return membership::largest(entries,
                             places_by_data_centre(runtime.settings)
                               ? entries.all.size()
                               : max_entries_in_reply,
                             http::now_ms());
}

// Only relays listed in the settings assign ranks, as all instances know the
// same list.
nlohmann::json
edge_process::answer_sidecar(const sidecar_message& sidecar) const
{
  const auto& s = runtime.settings;
  if (!s.peer_rank) {
    return {};
  }
  const auto local_rank = membership::rank_of(sidecars, sidecar.instance);
  sidecar_reply reply;
  reply.rank = rank_among_all(local_rank, *s.peer_rank, s.peers.size() + 1);
  const auto engine =
    std::find_if(registry.all.begin(), registry.all.end(), [&](const auto& e) {
      return e.second.info.address == sidecar.engine;
    });
  if (engine != registry.all.end()) {
    reply.pinned = batch_manager.pins_of(engine->first);
  }
  return encode(reply);
}

// Returns how many entries there are, as far as a relay can tell. Entries
// choose their relay at random, so that each relay hears from an equal part of
// them.
std::optional<std::size_t>
edge_process::entry_count() const
{
  const auto& s = runtime.settings;
  const bool is_needed = !registry.warm_up.limits.empty();
  if (!is_needed || !s.peer_rank ||
      timeline::wall_ms() < started_ms + min_relay_age_ms) {
    return std::nullopt;
  }
  const auto relays = s.peers.size() + 1;
  return (membership::count_alive(entries, http::now_ms()) + 1) * relays;
}

void
edge_process::use_entry_count(std::size_t count)
{
  const auto others = std::clamp<std::size_t>(count, 1, max_entries) - 1;
  registry.warm_up.other_entries = static_cast<std::uint32_t>(others);
}

// At least one entry of each region is reported.
membership::reply_limits
edge_process::reply_limits() const
{
  std::set<std::string_view> regions;
  for (const auto& r : runtime.settings.regions) {
    regions.insert(r.second);
  }
  membership::reply_limits l;
  l.largest = std::max(max_entries_in_reply, regions.size());
  return l;
}

void
edge_process::set_up_relay_messages()
{
  store.piggyback.outgoing = [this] {
    const auto now = http::now_ms();
    if (now - last_announced_ms < announce_interval_ms) {
      return nlohmann::json{};
    }
    last_announced_ms = now;
    return membership::encode({ own_member() });
  };
  store.piggyback.answer = [this](const nlohmann::json& message) {
    const auto now = http::now_ms();
    if (const auto sidecar = sidecar_from(message)) {
      membership::record(sidecars, { sidecar->instance, "", 1 }, now);
      return answer_sidecar(*sidecar);
    }
    for (const auto& m : membership::members_from(message)) {
      membership::record(entries, m, now);
    }
    auto members =
      places_by_data_centre(runtime.settings)
        ? membership::members_for_reply(entries, reply_limits(), now)
        : membership::largest(entries, max_entries_in_reply, now);
    members.push_back(own_member());
    auto reply = membership::encode(members);
    if (const auto count = entry_count()) {
      use_entry_count(*count);
      membership::add_entry_count(reply, *count);
    }
    return reply;
  };
  store.piggyback.incoming = [this](const nlohmann::json& reply) {
    const auto now = http::now_ms();
    standby.replied_at_ms = now;
    if (const auto count = membership::entry_count_from(reply);
        count && !runtime.settings.peer_rank) {
      use_entry_count(*count);
    }
    for (const auto& m : membership::members_from(reply)) {
      if (m.instance == runtime.settings.instance) {
        // Not a late report that the previous incarnation has left.
        if (m.capacity == 0) {
          continue;
        }
        standby.named_at_ms = now;
      } else {
        membership::record(entries, m, now);
      }
    }
  };
}

void
edge_process::start_watches()
{
  store.on_lost = [this](std::string_view why) {
    process::log_line(timeline::event{ "store_lost" }
                        .with("why", why)
                        .with("table", table ? table->version : 0));
  };
  store.on_regained = [this](std::uint64_t silent_ms) {
    process::log_line(
      timeline::event{ "store_regained" }.with("silent_ms", silent_ms));
    if (silent_ms >= min_outage_ms) {
      retain_missing_backends();
    }
    // Pending watches may have been lost during the outage.
    for (auto* w : { &configuration, &backend_list, &batch_list }) {
      w->refresh();
    }
    drains.refresh();
    quarantine_manager.refresh();
    meter.refresh();
  };
  configuration.start();
  backend_list.start();
  batch_list.start();
  if (runtime.settings.drain_within_ms > 0) {
    drains.start();
  }
  quarantine_manager.start();
  meter.start();
}

// Retains backend servers whose announcements may have expired only because the
// store was unavailable.
void
edge_process::retain_missing_backends()
{
  registry.keep_missing_until_ms = http::now_ms() + missing_grace_ms;
  runtime.after(missing_grace_ms + 1, [this] {
    if (backends::expire(registry, http::now_ms())) {
      batch_manager.on_backends();
    }
  });
}

void
edge_process::on_configuration(const store::object& o)
{
  if (o.name != wire.kinds.configuration_name) {
    return;
  }
  auto fresh = wire.table_from(o);
  if (!fresh) {
    store::log_unreadable(wire.kinds.configuration, { o.name, fresh.fault });
    return;
  }
  // Never goes back to an older version: what one caller has seen stays in
  // force for the next.
  if (table && fresh->version <= table->version) {
    return;
  }
  process::log_line(timeline::event{ "configuration_in_force" }
                      .with("version", fresh->version)
                      .with("before", table ? table->version : 0)
                      .with("routes", fresh->routes.size())
                      .with("workspaces",
                            fresh->workspaces ? fresh->workspaces->all.size()
                                              : std::size_t{ 0 })
                      .with("revision", o.revision));
  caller_server.set_limits(fresh->limits);
  table = std::make_shared<const routes::table>(std::move(*fresh));
  contended_services = routes::contended_services(*table);
  registry.warm_up.limits = warm_up_limits_of(*table);
  registry.warm_up.call_services = call_services_of(*table);
  batch_manager.on_backends();
}

// An unreadable announcement identifies no backend server. The previous one is
// dropped too, as it may have been overwritten.
void
edge_process::on_unreadable_backend(const store::unreadable_object& u)
{
  store::log_unreadable(wire.kinds.backends, u);
  backends::drop(registry, u.name);
}

void
edge_process::on_backend_list(std::vector<store::object>&& all)
{
  std::vector<backends::announcement> list;
  for (const auto& o : all) {
    auto a = wire.announcement_from(o);
    if (a) {
      a->revision = o.revision;
      list.push_back(std::move(*a));
    } else {
      on_unreadable_backend({ o.name, a.fault });
    }
  }
  const auto now = http::now_ms();
  for (const auto& c : backends::replace_all(registry, std::move(list), now)) {
    log_incarnation_change(c);
  }
  log_cold_servers(registry);
}

void
edge_process::on_backend(store::change&& c)
{
  if (c.deleted) {
    log_running_requests("backend_unlisted",
                         backends::find(registry, c.value.name));
    backends::withdraw(registry, c.value.name, http::now_ms());
    return;
  }
  auto a = wire.announcement_from(c.value);
  if (!a) {
    on_unreadable_backend({ c.value.name, a.fault });
    return;
  }
  a->revision = c.value.revision;
  const backends::incarnation of{ a->id, a->started_ms };
  const bool was_listed = backends::find(registry, of.id) != nullptr;
  const auto what = backends::announce(registry, std::move(*a), http::now_ms());
  log_incarnation_change({ of, what });
  if (!was_listed) {
    log_running_requests("backend_listed", backends::find(registry, of));
  }
  log_cold_servers(registry);
}

void
edge_process::refuse(const http::call& c, const std::string& retry_after_s)
{
  auto r = empty_response(503);
  r.fields.push_back({ wire.headers.retry_after, retry_after_s });
  const auto id = http::find(c.request().fields, wire.headers.request_id);
  if (id) {
    r.fields.push_back({ wire.headers.request_id, std::string{ *id } });
  }
  c.respond(std::move(r));
}

void
edge_process::on_caller(http::call c)
{
  const auto& request = c.request();
  const auto id = std::string{
    http::find(request.fields, wire.headers.request_id).value_or("")
  };
  metrics.add("calls_received");
  log_buffer_change();
  if (is_out_of_memory(request)) {
    metrics.add("calls_refused_memory");
    process::log_line(timeline::event{ "call_refused" }
                        .with("request", id)
                        .with("why", "memory")
                        .with("buffered", buffers->bytes));
    refuse(c, std::string{ default_retry_after_s });
    return;
  }
  if (!table) {
    process::log_line(timeline::event{ "call_refused" }
                        .with("request", id)
                        .with("why", "no_configuration"));
    refuse(c, std::string{ default_retry_after_s });
    return;
  }
  auto b = wire.batch_request_from(request);
  if (b.what != batch_operation::none) {
    on_batch_request(c, std::move(b));
    return;
  }
  const auto host = http::find(request.fields, "Host").value_or("");
  const auto* route =
    routes::match(*table, host, http::path_of(request.target));
  if (route == nullptr) {
    deny(c,
         404,
         timeline::event{ "call_refused" }
           .with("request", id)
           .with("why", "no_route")
           .with("host", host)
           .with("target", request.target));
    return;
  }
  const auto caller = identify(*table, *route, request.fields);
  if (!authorize(c, caller)) {
    return;
  }
  if (route->kind == routes::call_kind::rollout) {
    const auto remaining_ms =
      http::find_number(request.fields, wire.headers.deadline_ms)
        .value_or(route->timeout_ms);
    const auto give_up_ms = c.received_ms() + remaining_ms;
    if (!refuse_late(c, id, give_up_ms)) {
      batch_manager.accept(c, id, caller.workspace, give_up_ms);
    }
    return;
  }
  forward(c, *route, id, caller);
}

void
edge_process::on_batch_request(const http::call& c, batch_request&& b)
{
  auto caller = identify_batch_caller(*table, c.request().fields);
  if (!authorize(c, caller)) {
    return;
  }
  b.workspace = std::move(caller.workspace);
  const auto now = http::now_ms();
  b.wait_ms = allowed_wait_ms(stop, now, b.wait_ms, batch_call_ms);
  const auto caller_wait_ms =
    http::find_number(c.request().fields, wire.headers.deadline_ms)
      .value_or(batch_call_ms);
  const auto takes_ms = std::min(b.wait_ms + batch_call_ms, caller_wait_ms);
  if (refuse_late(c, b.id, now + takes_ms)) {
    return;
  }
  switch (b.what) {
    case batch_operation::read_results:
      batch_manager.read(c, b, false);
      return;
    case batch_operation::read_item:
      batch_manager.read_item(c, b);
      return;
    case batch_operation::end:
      batch_manager.end(c, b);
      return;
    case batch_operation::none:
      return;
  }
}

std::uint64_t
edge_process::table_age_ms() const
{
  return http::boot_ms() - configuration.confirmed_ms();
}

// Refuses a call for good, or with 503 if the table may be stale: a newer route
// or key may be in force and known to another entry, and callers do not retry
// after 401 or 404.
void
edge_process::deny(const http::call& c, int status, const timeline::event& line)
{
  const auto age = table_age_ms();
  const bool is_stale = !may_deny(age, runtime.settings.in_force_ms);
  auto l = line;
  process::log_line(l.with("table", table->version)
                      .with("table_age_ms", age)
                      .with("status", std::uint64_t(is_stale ? 503 : status)));
  if (is_stale) {
    refuse(c, std::string{ default_retry_after_s });
    return;
  }
  auto r = empty_response(status);
  constexpr int unauthorized = 401;
  if (status == unauthorized) {
    r.fields.push_back({ "WWW-Authenticate", "Bearer" });
  }
  c.respond(std::move(r));
}

bool
edge_process::authorize(const http::call& c, const caller_identity& caller)
{
  if (!is_refused(caller)) {
    return true;
  }
  metrics.add("calls_without_access");
  const auto id = http::find(c.request().fields, wire.headers.request_id);
  deny(c,
       401,
       timeline::event{ "call_refused" }
         .with("request", id.value_or(""))
         .with("why", name_of(caller.decision))
         .with("key_digest", caller.key_digest));
  return false;
}

void
edge_process::refuse_outside_homes(const http::call& c,
                                   const routes::route& r,
                                   const caller_identity& caller,
                                   std::string_view why)
{
  metrics.add("calls_refused_homes");
  const auto id = http::find(c.request().fields, wire.headers.request_id);
  process::log_line(timeline::event{ "call_refused" }
                      .with("request", id.value_or(""))
                      .with("why", why)
                      .with("route", r.name)
                      .with("workspace", caller.workspace)
                      .with("table", table->version));
  refuse(c, std::string{ homes_retry_after_s });
}

// Refuses a request that may not end before this process does.
bool
edge_process::refuse_late(const http::call& c,
                          const std::string& id,
                          std::uint64_t latest_end_ms)
{
  const auto now = http::now_ms();
  if (takes_request(stop, now, latest_end_ms)) {
    return false;
  }
  ++refused_late;
  metrics.add("calls_refused_stopping");
  const auto end_ms = last_answers_ms(stop);
  process::log_line(
    timeline::event{ "call_refused" }
      .with("request", id)
      .with("why", "stopping")
      .with("left_ms", end_ms > now ? end_ms - now : 0)
      .with("needs_ms", latest_end_ms > now ? latest_end_ms - now : 0));
  refuse(c, std::string{ stopping_retry_after_s });
  return true;
}

void
edge_process::forward(const http::call& c,
                      const routes::route& r,
                      std::string id,
                      const caller_identity& caller)
{
  const auto caller_wait_ms =
    http::find_number(c.request().fields, wire.headers.deadline_ms)
      .value_or(r.timeout_ms);
  const auto give_up_ms =
    c.received_ms() + std::min(caller_wait_ms, r.timeout_ms);
  if (refuse_late(c, id, give_up_ms)) {
    return;
  }
  forward_request f;
  const auto& request = c.request();
  auto body = c.take_body();
  f.request = {
    request.method, request.target, request.fields, std::move(body.text)
  };
  f.body_memory = std::move(body.memory);
  replace_credentials(f.request.fields,
                      table->workspaces.has_value(),
                      wire.headers.workspace,
                      caller.workspace);
  f.id = id;
  f.workspace = caller.workspace;
  f.route = r;
  f.homes = routes::homes_of(*table, &r, caller.workspace);
  const auto refusal = restrict_to_homes(f.route, registry, f.homes);
  if (!refusal.empty()) {
    refuse_outside_homes(c, r, caller, refusal);
    return;
  }
  f.demand = { false,
               caller.priority.value_or(r.priority),
               caller.workspace,
               caller.weight,
               caller.max_running };
  f.give_up_ms = give_up_ms;
  const auto reserved = std::make_shared<answer_reservation>(
    buffers, expected_answer(lengths, r.path_prefix));
  const auto cancel = calls.start(
    std::move(f),
    [this, c, id, route = r.path_prefix, reserved](forward_outcome&& o) {
      reserved->release();
      if (o.what == forward_end::answered) {
        note_answer(lengths, route, o.answer.body.size());
      }
      on_forwarded(c, id, std::move(o));
    });
  c.on_disconnect([this, cancel, id] {
    metrics.add("calls_abandoned");
    process::log_line(
      timeline::event{ "caller_disconnected" }.with("request", id));
    cancel();
  });
}

void
edge_process::on_forwarded(const http::call& c,
                           const std::string& id,
                           forward_outcome&& o)
{
  const auto took = http::now_ms() - c.received_ms();
  constexpr double ms_per_second = 1000;
  metrics.observe("call_seconds", static_cast<double>(took) / ms_per_second);
  metrics.add("calls_ended", { { "outcome", std::string{ name_of(o.what) } } });
  process::log_line(
    timeline::event{ "call_ended" }
      .with("request", id)
      .with("outcome", name_of(o.what))
      .with("status", static_cast<std::uint64_t>(o.answer.status))
      .with("backend", o.backend)
      .with("attempts", o.attempts)
      .with("ends", o.crashes)
      .with("come_back_ms", o.retry_after_ms)
      .with("took_ms", took)
      .with("table", table->version));
  switch (o.what) {
    case forward_end::answered: {
      http::response r;
      r.status = o.answer.status;
      for (auto& f : o.answer.fields) {
        if (!http::is_hop_by_hop(f.name)) {
          r.fields.push_back(std::move(f));
        }
      }
      r.body = std::move(o.answer.body);
      c.respond(std::move(r));
      return;
    }
    case forward_end::not_run:
      refuse(c,
             o.retry_after_ms > 0 ? in_seconds(o.retry_after_ms)
                                  : std::string{ default_retry_after_s });
      return;
    case forward_end::quarantined:
      refuse(c, round_up_to_seconds(o.retry_after_ms));
      return;
    case forward_end::unknown:
      c.respond(empty_response(502));
      return;
    case forward_end::timed_out:
      c.respond(empty_response(504));
      return;
  }
}

// Refuses a message that is too long, or that takes more memory to read than
// there is.
bool
edge_process::accepts_peer_message(const http::call& c)
{
  const auto& request = c.request();
  const auto path = http::path_of(request.target);
  const bool has_batch = path.starts_with(batches::peer_forwarded_path) ||
                         path.starts_with(batches::peer_handed_over_path);
  constexpr int too_large = 413;
  if (!has_batch && request.body.size() > max_peer_message_bytes) {
    c.respond(empty_response(too_large));
    return false;
  }
  const auto room = batches::room_to_parse(memory.get(), request.body);
  if (room != batches::parsing_room::available) {
    ++memory->refused;
    constexpr int unavailable = 503;
    c.respond(empty_response(unavailable));
    return false;
  }
  return true;
}

void
edge_process::on_peer(const http::call& c)
{
  const auto& request = c.request();
  const auto path = http::path_of(request.target);
  if (!accepts_peer_message(c)) {
    return;
  }
  if (path == batches::peer_alive_path) {
    c.respond(empty_response(batch_manager.keeps_batches() ? 200 : 503));
  } else if (path.starts_with(batches::peer_ended_path)) {
    batch_manager.on_batch_ended(
      std::string{ path.substr(batches::peer_ended_path.size()) });
    c.respond(empty_response(200));
  } else if (path.starts_with(batches::peer_taken_path)) {
    batch_manager.on_takeover(
      std::string{ path.substr(batches::peer_taken_path.size()) });
    c.respond(empty_response(200));
  } else if (path.starts_with(batches::peer_forwarded_path)) {
    batch_manager.on_submission_forwarded(
      c, std::string{ path.substr(batches::peer_forwarded_path.size()) });
  } else if (path.starts_with(batches::peer_handed_over_path)) {
    batch_manager.on_handed_over(c);
  } else if (path == batches::peer_engine_usage_path) {
    batch_manager.on_engine_usage(c);
  } else if (path == usage::peer_counts_path) {
    meter.on_peer(c);
  } else if (path == store::relay_path) {
    store.relay(c);
  } else if (path.starts_with(batches::peer_results_path)) {
    batch_request r;
    r.what = batch_operation::read_results;
    r.id = path.substr(batches::peer_results_path.size());
    const auto value = [&](std::string_view key) {
      const auto text = http::query_value(request.target, key).value_or("");
      return http::parse_number(text).value_or(0);
    };
    r.after = value("after");
    r.wait_ms = value("wait");
    batch_manager.read(c, r, true);
  } else {
    c.respond(empty_response(404));
  }
}

// Starts the shutdown: readiness checks fail at once, batches are handed over
// to other instances, and callers are served until the load balancer has moved
// them elsewhere.
void
edge_process::leave()
{
  is_leaving = true;
  last_announced_ms = 0;
  stop = { http::now_ms(), runtime.settings.grace_ms, true };
  caller_server.start_draining();
  store.stop_relaying();
  batch_manager.leave([this] { has_handed_over_batches = true; });
  meter.leave();
  poll_drained();
}

bool
edge_process::is_idle() const
{
  return caller_server.active_requests() == 0 &&
         !caller_server.has_unhandled_input() &&
         caller_server.unsent_bytes() == 0 &&
         readiness_server.unsent_bytes() == 0 &&
         metrics_server.unsent_bytes() == 0 &&
         peer_server.active_requests() == 0 && peer_server.unsent_bytes() == 0;
}

// Answers what can't end before this process does, so that no caller has to
// guess from a closed connection. Waiting calls have not run.
void
edge_process::answer_open_requests()
{
  has_answered_last = true;
  constexpr int bad_gateway = 502;
  answered_last = calls.end_calls();
  answered_last += caller_server.answer_all(empty_response(bad_gateway));
}

void
edge_process::poll_drained()
{
  const auto now = http::now_ms();
  const auto stayed_ms = now - stop.started_ms;
  const bool is_ending = now >= last_answers_ms(stop);
  if (is_ending && !has_answered_last) {
    answer_open_requests();
  } else if (now >= newcomers_until_ms(stop)) {
    calls.refuse_waiting_beyond(max_end_ms(stop));
  }
  if (!is_idle()) {
    last_busy_ms = now;
  }
  const bool has_left =
    stayed_ms >= min_drain_ms && has_handed_over_batches && meter.has_left();
  const bool may_end =
    now >= last_busy_ms + delivery_ms && (has_left || is_ending);
  if (may_end || now >= forced_exit_ms(stop)) {
    process::log_line(timeline::event{ "left" }
                        .with("busy", caller_server.active_requests())
                        .with("refused", refused_late)
                        .with("answered_last", answered_last)
                        .with("unsent", caller_server.unsent_bytes())
                        .with("stayed_ms", stayed_ms));
    runtime.stop();
    return;
  }
  runtime.after(drain_poll_interval_ms, [this] { poll_drained(); });
}

int
edge_process::run()
{
  const auto& s = runtime.settings;
  if (!listen(caller_server, s.callers, "callers") ||
      !listen(readiness_server, s.ready, "ready") ||
      !listen(peer_server, s.peer, "peer") ||
      !listen(metrics_server, s.metrics, "metrics")) {
    process::flush_line_log();
    return exit_code;
  }
  runtime.on_reload = [this](const hosted_settings& fresh) {
    store.use_relays(fresh.peers, fresh.peer_rank);
    standby.is_relay = fresh.peer_rank.has_value();
    use_limits(fresh);
  };
  use_limits(s);
  http.count_collected(buffers);
  standby.is_relay = s.peer_rank.has_value();
  batch_manager.start();
  // Refreshes the list at once, so that a server that has restarted under
  // another id is used without waiting for coalesced changes. Otherwise callers
  // were refused for 0.6 s after all servers of a service had crashed and
  // restarted.
  calls.on_misdirected = [this] {
    const auto now = http::now_ms();
    if (now - last_misdirected_refresh_ms >= min_refresh_interval_ms) {
      last_misdirected_refresh_ms = now;
      backend_list.refresh();
    }
  };
  calls.is_queued = [this](const std::string& service) {
    return runtime.settings.mechanisms.call_queue &&
           contended_services.contains(service);
  };
  calls.on_queue_wait = [this](std::uint64_t waited_ms) {
    constexpr double ms_per_second = 1000;
    metrics.observe("queue_wait_seconds",
                    static_cast<double>(waited_ms) / ms_per_second);
  };
  calls.on_run_started = [this](const std::string& workspace,
                                std::uint64_t at_ms) {
    meter.note_run(workspace, at_ms);
  };
  calls.on_reachability_changed = [this] { probes.check(); };
  probes.on_unreachable = [this](const std::string& data_centre) {
    calls.on_unreachable(data_centre);
    batch_manager.on_backends();
  };
  probes.on_reachable = [this] { batch_manager.on_backends(); };
  if (registry.topology.distance.is_enabled) {
    http.on_connected([this](const std::string& address, double took_ms) {
      backends::note_connect(registry, address, took_ms, http::now_ms());
    });
  }
  set_up_relay_messages();
  start_watches();
  runtime.run([this] { leave(); });
  return exit_code;
}

int
run_edge(const std::string& path, const hosted_settings& s, const dialect& d)
{
  edge_process p{ path, s, d };
  return p.run();
}

} // namespace cactusford::edge
