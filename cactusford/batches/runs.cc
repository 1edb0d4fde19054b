#include "cactusford/backends/eligibility.h"
#include "cactusford/backends/warm_up_events.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/batches/run_health.h"
#include "cactusford/batches/submission_check.h"
#include "cactusford/edge/cold_servers.h"
#include "cactusford/edge/credentials.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>

namespace cactusford::batches {

namespace {

// Minimum time that a run stays on a slow engine before it is moved.
constexpr std::uint64_t min_run_before_move_ms = 600;

// A run that has produced text for this long is not blamed for the crash of its
// engine, because poison requests crash an engine when they start. Engine
// crashes for other reasons hit runs of any age, so this excludes most runs
// that would be suspected wrongly.
constexpr std::uint64_t healthy_run_ms = 500;

// How often an item checks whether the server of its last run has been probed.
constexpr std::uint64_t probe_wait_ms = 20;

// Timeout for a single run of an item, longer than any run that engines allow.
constexpr std::uint64_t run_limit_ms = 60000;

// Longest text of an item. A longer one could not be listed, as the store
// limits a value to a megabyte.
constexpr std::size_t max_text_bytes = 900U << 10;

// Longest stream of one run, with its framing.
constexpr std::size_t max_stream_bytes = 4U << 20;

constexpr std::uint32_t least_urgent_run = 9;

// An engine that is further behind the published version loads it soon.
constexpr std::uint64_t accepted_lag = 1;

// Returns true for headers that an item may not set: those of the channel, the
// host, by which its route was chosen, and those that the system sets itself.
// With its own resume position or version an item would not be whole, or would
// never run.
bool
is_reserved(const edge::header_names& n, std::string_view name)
{
  const std::array own{ &n.request_id,       &n.deadline_ms, &n.signature,
                        &n.expected_backend, &n.backend,     &n.load,
                        &n.not_run,          &n.last_event,  &n.weight_version,
                        &n.expected_version, &n.wait_ms,     &n.retry_after,
                        &n.workspace,        &n.urgency,     &n.cold_ms };
  return http::is_hop_by_hop(name) || http::same_name(name, "Host") ||
         std::any_of(own.begin(), own.end(), [&](const auto* each) {
           return http::same_name(name, *each);
         });
}

std::uint32_t
urgency_of_rank(std::uint32_t priority)
{
  return 2 * std::min(priority, 2U);
}

} // namespace

void
manager::impl::schedule_dispatch()
{
  if (dispatch_scheduled) {
    return;
  }
  dispatch_scheduled = true;
  asio::post(deps.io, [self = shared_from_this()] {
    self->dispatch_scheduled = false;
    self->dispatch();
  });
}

// Returns the typical time between two events of an engine that is not slow.
double
manager::impl::typical_event_gap_ms(const batch_state& b) const
{
  // Used until a stream has been observed: what engines of this class need.
  constexpr double default_gap_ms = 40;
  const auto route = route_to(b.stored.host, b.stored.target);
  if (route == nullptr || route->services.empty()) {
    return default_gap_ms;
  }
  const auto& service = route->services.front().service;
  const auto* measured = backends::pace_of(deps.registry, service);
  const auto seen =
    measured != nullptr
      ? backends::typical_gap_ms(*measured)
      : backends::typical_pace_ms(deps.registry, service, http::now_ms());
  return seen > 0 ? seen : default_gap_ms;
}

bool
manager::impl::has_workspaces() const
{
  const auto table = deps.table();
  return table != nullptr && table->workspaces.has_value();
}

// Returns the expected remaining time of an item's run.
std::uint64_t
manager::impl::expected_ms(const batch_state& b,
                           const item_state& i,
                           double typical_event_gap_ms) const
{
  const auto hint = b.submission.items[i.index].length_hint;
  const auto elapsed_ms =
    typical_event_gap_ms * static_cast<double>(i.text.events);
  const auto rest =
    expected_run_ms(pace, hint, static_cast<std::uint64_t>(elapsed_ms));
  const auto slowness =
    gap_of_run_ms(i, typical_event_gap_ms) / typical_event_gap_ms;
  return static_cast<std::uint64_t>(static_cast<double>(rest) * slowness);
}

// Starts waiting items on engines, those with the least slack first.
void
manager::impl::dispatch()
{
  const auto now = http::now_ms();
  update_sharing(now);
  update_warm_up_senders(now);
  budget_returns_ms = 0;
  std::vector<batch_state*> open;
  std::vector<waiting_item> waiting;
  for (auto& entry : batches) {
    auto& b = *entry.second;
    if (!b.owned || !b.loaded || b.stored.ended ||
        (leaving && !b.runs_until_handover)) {
      continue;
    }
    const auto typical_gap_ms = typical_event_gap_ms(b);
    for (const auto& i : b.items) {
      const bool needs_run = i.stage == item_stage::waiting || is_stranded(i);
      if (needs_run && i.not_before_ms <= now) {
        waiting.push_back({ open.size(),
                            i.index,
                            b.due_ms,
                            expected_ms(b, i, typical_gap_ms) });
      }
    }
    open.push_back(&b);
  }
  sort_by_slack(waiting);
  // If one item of a batch cannot be started, neither can the others of that
  // batch.
  std::vector<bool> blocked(open.size(), false);
  for (const auto& w : waiting) {
    auto& b = *open[w.batch];
    if (!blocked[w.batch]) {
      const auto urgency = urgency_of(w.due_ms, w.expected_ms, now);
      blocked[w.batch] = !start_run(b, b.items[w.item], urgency, w.expected_ms);
    }
  }
  schedule_warm_up_dispatch(now);
  report_demand_change(now);
}

// A text of a single version that is begun on an engine whose load is due may
// be cut off by the load, so engines with newer weights are preferred.
backends::backend*
manager::impl::choose_engine(const backends::item_needs& needs,
                             bool single_version,
                             std::uint64_t now)
{
  if (single_version && needs.only_version == 0) {
    const auto newest =
      backends::newest_version(deps.registry, needs.service, needs.model);
    auto preferred = needs;
    preferred.min_version =
      std::max(needs.min_version, newest - std::min(newest, accepted_lag));
    if (auto* b = backends::choose_for_item(deps.registry, preferred, now)) {
      return b;
    }
  }
  return backends::choose_for_item(deps.registry, needs, now);
}

bool
manager::impl::start_run(batch_state& b,
                         item_state& i,
                         std::uint32_t urgency,
                         std::uint64_t expected_ms)
{
  const auto route = route_to(b.stored.host, b.stored.target);
  if (route == nullptr || route->services.empty()) {
    return false;
  }
  const auto& item = b.submission.items[i.index];
  // Earlier versions of this program accepted such items.
  if (const auto part = invalid_part(item)) {
    process::log_line(timeline::event{ "item_invalid" }
                        .with("request", item.id)
                        .with("batch", b.stored.id)
                        .with("part", *part));
    finish_item(b, i, { item.id, false, "", {}, "" });
    return true;
  }
  backends::item_needs needs;
  needs.service = route->services.front().service;
  needs.model = b.submission.model;
  needs.min_version = b.submission.min_version;
  // The route may have changed since the text was generated.
  bool starts_over = !is_admissible(i.text, version_rule_of(b));
  needs.only_version =
    route->single_version && i.text.events > 0 && !starts_over ? i.text.version
                                                               : 0;
  needs.excluded_id = i.failed_on;
  needs.data_centre = deps.data_centre;
  needs.homes = homes_of(b.stored);
  needs.expected_run_ms = expected_ms;
  needs.is_connected = [this](const std::string& address) {
    return deps.http.has_idle(address);
  };
  if (needs.only_version != 0 &&
      !backends::can_serve(deps.registry, needs, http::now_ms())) {
    // The item waits with its text: an engine that is undrained may continue
    // it, and one that only counts as drained until the orders are known.
    if (!deps.registry.topology.drains.is_known ||
        backends::are_all_drained(deps.registry, needs.service, needs.homes)) {
      return false;
    }
    // A run on an engine that does not answer goes on if it cannot be moved
    // now. Its later events would continue an empty text.
    if (i.stage != item_stage::running) {
      i.text = {};
    }
    starts_over = true;
    needs.only_version = 0;
  }
  if (i.work.empty()) {
    i.work = quarantine::fingerprint_of(
      { b.stored.host, "POST", item.path, b.stored.workspace, item.body });
  }
  const auto now = http::now_ms();
  if (is_paused(b, i)) {
    return true;
  }
  restrict_to_share(needs, now);
  auto* backend = choose_engine(needs, route->single_version, now);
  if (backend == nullptr) {
    note_held(needs, now);
    i.failed_on.clear();
    // Other items do not need this version.
    return needs.only_version != 0;
  }
  if (i.stage == item_stage::running) {
    leave_unreachable_engine(b, i);
  }
  if (starts_over) {
    i.text = {};
  }
  on_run_started(needs.service, *backend);
  const auto& names = deps.dialect.headers;
  http::request r;
  r.method = "POST";
  r.target = item.path;
  r.body = item.body;
  r.fields.push_back({ "Host", b.stored.host });
  for (const auto& h : item.fields) {
    if (!is_reserved(names, h.name)) {
      http::set(r.fields, h.name, h.value);
    }
  }
  edge::replace_credentials(
    r.fields, has_workspaces(), names.workspace, b.stored.workspace);
  http::set(r.fields, names.request_id, item.id);
  http::set(r.fields, names.deadline_ms, std::to_string(run_limit_ms));
  http::set(r.fields, names.expected_backend, backend->info.id);
  const auto rank =
    std::min(urgency + urgency_of_rank(route->priority), least_urgent_run);
  http::set(r.fields, names.urgency, std::to_string(rank));
  if (i.text.events > 0) {
    http::set(r.fields, names.last_event, std::to_string(i.text.last_event));
  }
  if (needs.only_version != 0) {
    http::set(
      r.fields, names.expected_version, std::to_string(needs.only_version));
  }
  i.stage = item_stage::running;
  i.run = next_run++;
  i.backend = backends::incarnation_of(*backend);
  i.address = backend->info.address;
  i.started_ms = now;
  i.last_event_ms = now;
  i.status = 0;
  i.not_run = false;
  i.events_in_run = 0;
  i.reader = event_reader{ deps.dialect.version_line };
  ++i.tries;
  process::log_line(
    timeline::event{ "item_started" }
      .with("request", item.id)
      .with("work", i.work)
      .with("batch", b.stored.id)
      .with("backend", backend->info.id)
      .with("in_flight", backend->in_flight)
      .with("connected", deps.http.has_idle(backend->info.address) ? 1U : 0U)
      .with("version", backend->info.versions[b.submission.model])
      .with("resumed_at", i.text.last_event)
      .with("try", i.tries));
  backends::begin_run(*backend);
  backends::note_sent(deps.registry, *backend, now);
  http::exchange_options o;
  o.timeout_ms = run_limit_ms;
  o.echo = { names.request_id, item.id };
  o.reset_on_abandon = true;
  o.max_body_bytes = max_stream_bytes;
  http::exchange_callbacks events;
  const auto self = shared_from_this();
  events.on_head =
    [self, id = b.stored.id, at = i.index, run = i.run](const http::head& h) {
      self->on_run_head(id, at, run, h);
    };
  events.on_body = [self, id = b.stored.id, at = i.index, run = i.run](
                     std::string_view d) { self->on_body(id, at, run, d); };
  events.on_end = [self, id = b.stored.id, at = i.index, run = i.run](
                    http::exchange_outcome e) {
    self->on_run_end(id, at, run, e);
  };
  i.pending = deps.http.send(backend->info.address, r, o, std::move(events));
  return true;
}

// Returns true if the item waits because engines crashed under it. Otherwise it
// would move to the next engine at once and destroy the text of eight other
// items each time that one crashes.
bool
manager::impl::is_paused(const batch_state& b, item_state& i)
{
  if (deps.quarantine_manager == nullptr) {
    return false;
  }
  const auto decision =
    deps.quarantine_manager->evaluate(i.work, quarantine::run_kind::item);
  // Whether the last run ended in another crash is known after the probe.
  if (quarantine::has_crashes(decision) &&
      deps.quarantine_manager->is_probing(i.work)) {
    i.not_before_ms = http::now_ms() + probe_wait_ms;
    return true;
  }
  if (decision.status != quarantine::request_status::paused) {
    return false;
  }
  const auto wall = timeline::wall_ms();
  const auto pause_ms = decision.until_ms - std::min(decision.until_ms, wall);
  i.not_before_ms = http::now_ms() + pause_ms;
  process::log_line(timeline::event{ "item_paused" }
                      .with("request", b.submission.items[i.index].id)
                      .with("work", i.work)
                      .with("batch", b.stored.id)
                      .with("ends", decision.crashes)
                      .with("explained", decision.explained)
                      .with("pause_ms", pause_ms));
  return true;
}

// Reports the end of a run to the quarantine. The first response of an engine
// that has run the item, successful or not, clears the item.
void
manager::impl::report_to_quarantine(const item_state& i,
                                    http::exchange_outcome end)
{
  if (deps.quarantine_manager == nullptr) {
    return;
  }
  const auto now = http::now_ms();
  const bool is_healthy =
    i.events_in_run > 0 && now - i.first_event_ms > healthy_run_ms;
  if (end == http::exchange_outcome::connection_lost && !is_healthy) {
    deps.quarantine_manager->on_connection_lost(i.backend, i.address, i.work);
  } else if (end == http::exchange_outcome::complete && !i.not_run) {
    deps.quarantine_manager->on_answered(i.work);
  }
}

item_state*
manager::impl::current_run(const std::string& id,
                           std::size_t at,
                           std::uint64_t run)
{
  auto* b = find_batch(id);
  if (b == nullptr || at >= b->items.size()) {
    return nullptr;
  }
  auto& i = b->items[at];
  const bool current = i.stage == item_stage::running && i.run == run;
  return current ? &i : nullptr;
}

void
manager::impl::on_run_head(const std::string& id,
                           std::size_t at,
                           std::uint64_t run,
                           const http::head& h)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *find_batch(id);
  const auto& names = deps.dialect.headers;
  constexpr int misdirected = 421;
  i->status = h.status;
  i->not_run =
    h.status == misdirected || http::find(h.fields, names.not_run).has_value();
  auto* backend = backends::find(deps.registry, i->backend);
  if (backend != nullptr) {
    note_answer(*backend);
  }
  const auto version = http::find_number(h.fields, names.weight_version);
  if (backend != nullptr && version) {
    backend->info.versions[b.submission.model] = *version;
  }
  if (backend != nullptr) {
    if (const auto text = http::find(h.fields, names.load)) {
      if (const auto load = deps.dialect.load_from(*text)) {
        backends::note_load(*backend, *load, http::now_ms());
      }
    }
    if (const auto left_ms = http::find_number(h.fields, names.cold_ms)) {
      backends::note_cold_header(
        deps.registry, *backend, *left_ms, http::now_ms());
      edge::log_cold_servers(deps.registry);
    }
  }
  constexpr int ok = 200;
  if (h.status != ok) {
    return;
  }
  if (!version) {
    stop_run(*i);
    retry_item(b, *i, failed_pause_ms, "no_version");
    return;
  }
  i->version = *version;
  if (!may_continue(i->text, i->version, version_rule_of(b))) {
    on_version_changed(b, *i);
  }
}

version_rule
manager::impl::version_rule_of(const batch_state& b) const
{
  const auto route = route_to(b.stored.host, b.stored.target);
  return { b.submission.min_version,
           route != nullptr && route->single_version };
}

// Stops a run whose engine has weights that may not continue the text. The text
// is kept: another engine may still have its version, and if none has, the next
// run starts over.
void
manager::impl::on_version_changed(batch_state& b, item_state& i)
{
  process::log_line(timeline::event{ "item_version_changed" }
                      .with("request", b.submission.items[i.index].id)
                      .with("batch", b.stored.id)
                      .with("backend", i.backend.id)
                      .with("text_version", i.text.version)
                      .with("run_version", i.version)
                      .with("min_version", b.submission.min_version)
                      .with("events", i.text.events));
  const bool is_old = i.version < b.submission.min_version;
  stop_run(i);
  retry_item(b,
             i,
             is_old ? failed_pause_ms : 0,
             is_old ? "old_weights" : "version_changed");
}

// Stops a run whose stream is not one that an engine sends.
void
manager::impl::on_broken_events(batch_state& b,
                                item_state& i,
                                std::uint64_t event)
{
  process::log_line(timeline::event{ "item_events_broken" }
                      .with("request", b.submission.items[i.index].id)
                      .with("batch", b.stored.id)
                      .with("expected", i.text.last_event + 1)
                      .with("got", event)
                      .with("text_bytes", i.text.text.size()));
  stop_run(i);
  i.failed_on = i.backend.id;
  retry_item(b, i, failed_pause_ms, "broken_events");
}

void
manager::impl::on_body(const std::string& id,
                       std::size_t at,
                       std::uint64_t run,
                       std::string_view data)
{
  auto* i = current_run(id, at, run);
  constexpr int ok = 200;
  if (i == nullptr || i->status != ok) {
    return;
  }
  auto& b = *find_batch(id);
  const auto now = http::now_ms();
  auto events = i->reader.feed(data);
  if (i->reader.is_malformed()) {
    on_broken_events(b, *i, events.empty() ? 0 : events.front().id);
    return;
  }
  if (events.empty()) {
    return;
  }
  auto* backend = backends::find(deps.registry, i->backend);
  const auto rule = version_rule_of(b);
  for (auto& e : events) {
    i->version = e.version.value_or(i->version);
    e.version = i->version;
    if (backend != nullptr) {
      auto& known_version = backend->info.versions[b.submission.model];
      known_version = std::max(known_version, i->version);
    }
    if (!may_continue(i->text, i->version, rule)) {
      on_version_changed(b, *i);
      return;
    }
    if (!append(i->text, e)) {
      on_broken_events(b, *i, e.id);
      return;
    }
  }
  if (i->text.text.size() > max_text_bytes) {
    on_broken_events(b, *i, i->text.last_event);
    i->text = {};
    return;
  }
  if (backend != nullptr) {
    note_answer(*backend);
    note_run_events(*i, *backend, events.size(), now);
  }
  if (i->events_in_run == 0) {
    i->first_event_ms = now;
  }
  i->events_in_run += events.size();
  i->last_event_ms = now;
}

void
manager::impl::on_run_end(const std::string& id,
                          std::size_t at,
                          std::uint64_t run,
                          http::exchange_outcome end)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *find_batch(id);
  auto* backend = backends::find(deps.registry, i->backend);
  backends::end_run(deps.registry, i->backend);
  if (backend != nullptr) {
    note_run_failure(*i, *backend, end);
  }
  i->pending = {};
  report_to_quarantine(*i, end);
  const bool complete = end == http::exchange_outcome::complete;
  constexpr int ok = 200;
  constexpr int unprocessable = 422;
  constexpr int server_error = 500;
  if (complete && i->status == ok && !i->reader.has_partial() &&
      i->text.events > 0) {
    if (backend != nullptr) {
      backend->failures = 0;
    }
    if (i->events_in_run == i->text.events) {
      record_run(pace,
                 b.submission.items[at].length_hint,
                 http::now_ms() - i->started_ms);
    }
    // The route may have changed since the last event.
    if (!is_admissible(i->text, version_rule_of(b))) {
      retry_item(b, *i, 0, "version_changed");
      return;
    }
    i->text.complete = true;
    on_text_complete(b, *i);
    return;
  }
  if (complete && i->not_run) {
    if (backend != nullptr) {
      backends::note_refusal(*backend, b.submission.model, http::now_ms());
    }
    retry_item(b, *i, refused_pause_ms, "not_run");
    return;
  }
  if (complete && i->status == unprocessable) {
    reject_item(b, *i);
    return;
  }
  i->failed_on = i->backend.id;
  if (complete && i->status == server_error) {
    ++i->failed_runs;
    const auto route = route_to(b.stored.host, b.stored.target);
    if (route != nullptr && i->failed_runs >= route->max_attempts) {
      reject_item(b, *i);
      return;
    }
  } else if (backend != nullptr) {
    const auto now = http::now_ms();
    backends::note_failure(*backend, now);
    if (end == http::exchange_outcome::not_sent) {
      edge::note_unsent(deps.registry, *backend, i->started_ms, now);
    }
  }
  retry_item(b, *i, complete ? failed_pause_ms : 0, http::name_of(end));
}

void
manager::impl::stop_run(item_state& i)
{
  i.pending.cancel();
  i.pending = {};
  backends::end_run(deps.registry, i.backend);
  i.stage = item_stage::waiting;
}

void
manager::impl::retry_item(batch_state& b,
                          item_state& i,
                          std::uint64_t pause,
                          std::string_view reason)
{
  const auto& item = b.submission.items[i.index];
  process::log_line(timeline::event{ "item_retried" }
                      .with("request", item.id)
                      .with("batch", b.stored.id)
                      .with("backend", i.backend.id)
                      .with("why", reason)
                      .with("status", static_cast<std::uint64_t>(i.status))
                      .with("events", i.text.events)
                      .with("tries", i.tries));
  i.stage = item_stage::waiting;
  i.not_before_ms = http::now_ms() + pause;
  if (pause == 0) {
    schedule_dispatch();
  }
}

// Runs on an incarnation that has crashed are lost, although their connections
// may stay silent for seconds. Restarts them on other engines at once.
void
manager::impl::restart_runs_of_ended_incarnations()
{
  for (auto& entry : batches) {
    auto& b = *entry.second;
    for (auto& i : b.items) {
      if (i.stage == item_stage::running &&
          backends::find(deps.registry, i.backend) == nullptr) {
        stop_run(i);
        retry_item(b, i, 0, "backend_ended");
      }
    }
  }
}

// Returns how long the run's engine has sent nothing. The request and the first
// event take a round trip, as does a new connection; later events are delayed
// by what its length may vary, at most by a round trip.
std::uint64_t
manager::impl::silence_of(const item_state& i,
                          const backends::backend& backend,
                          std::uint64_t now) const
{
  const auto silent_ms = silent_time_ms(i.last_event_ms, now);
  const auto network_ms =
    backends::network_ms(deps.registry, backend, i.events_in_run > 0);
  return silent_ms > network_ms ? silent_ms - network_ms : 0;
}

void
manager::impl::check_runs(batch_state& b, std::uint64_t now)
{
  const auto event_gap_ms = typical_event_gap_ms(b);
  const auto silence_limit = silence_limit_ms(event_gap_ms);
  for (auto& i : b.items) {
    if (i.stage == item_stage::scoring && i.score_retry_at_ms != 0 &&
        i.score_retry_at_ms <= now) {
      queue_score(b.stored.id, i.index);
    }
    if (i.stage != item_stage::running) {
      continue;
    }
    auto* backend = backends::find(deps.registry, i.backend);
    if (backend == nullptr) {
      continue;
    }
    if (is_stranded(i)) {
      continue;
    }
    if (silence_of(i, *backend, now) > silence_limit &&
        check_silent_run(b, i, *backend, silence_limit, now)) {
      continue;
    }
    const auto& service = backend->info.service;
    const auto typical_gap_ms =
      backends::pace_of(deps.registry, service) != nullptr
        ? 0
        : backends::typical_pace_ms(deps.registry, service, now);
    const bool slow = !backends::is_cold(deps.registry, *backend, now) &&
                      backends::is_slow(*backend, typical_gap_ms, now) &&
                      now > i.started_ms + min_run_before_move_ms;
    const auto run = outlook_of(b, i, event_gap_ms);
    const auto cause =
      backend->info.leaving
        ? backends::move_cause::none
        : backends::cause_to_move(deps.registry, *backend, run, i.moves, now);
    if (!backend->info.leaving && !slow &&
        cause == backends::move_cause::none) {
      continue;
    }
    backends::item_needs needs;
    needs.service = service;
    needs.model = b.submission.model;
    needs.min_version = b.submission.min_version;
    needs.excluded_id = i.backend.id;
    needs.data_centre = deps.data_centre;
    needs.homes = homes_of(b.stored);
    restrict_to_share(needs, now);
    auto* other = backends::choose_for_item(deps.registry, needs, now);
    const bool is_to_cold =
      other != nullptr && backends::is_cold(deps.registry, *other, now);
    const bool pays =
      other != nullptr && (!is_to_cold || backend->info.leaving) &&
      (cause == backends::move_cause::none
         ? !backends::is_slow(*other, typical_gap_ms, now) &&
             !backends::is_in_trouble(deps.registry, *other, now)
         : backends::should_move(
             deps.registry, *backend, *other, cause, run, now));
    if (!pays) {
      backends::note_kept(deps.registry, *backend, cause, i.moves);
      continue;
    }
    backends::note_move(deps.registry, *backend, cause, i.moves);
    stop_run(i);
    i.failed_on = i.backend.id;
    retry_item(b,
               i,
               0,
               backend->info.leaving ? "leaving"
               : slow                ? "slow"
                                     : backends::name_of(cause));
    dispatch();
  }
}

} // namespace cactusford::batches
