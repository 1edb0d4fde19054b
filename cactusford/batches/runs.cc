#include "cactusford/batches/keeper_impl.h"
#include "cactusford/edge/credentials.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/post.hpp>

#include <algorithm>

namespace cactusford::batches {

namespace {

// A run without its first event for this long goes on elsewhere: longer than a
// prompt takes to be read.
constexpr std::uint64_t first_event_limit_ms = 1500;

// A run is moved off a slow engine at most this often.
constexpr std::uint64_t move_pause_ms = 600;

// An item whose text has grown for this long does not end the engines that run
// it: those that do end them as they begin. Engines that crash meet runs of any
// age, so this leaves out most of what such crashes would be held against.
constexpr std::uint64_t settled_run_ms = 500;

// How often it is looked whether an item that is kept out may be run. Nothing
// is sent for it.
constexpr std::uint64_t kept_out_look_ms = 1000;

// The longest run of one item, beyond any length that engines allow.
constexpr std::uint64_t run_limit_ms = 60000;

constexpr std::uint32_t least_urgent_run = 9;

std::uint32_t
urgency_of_rank(std::uint32_t priority)
{
  return 2 * std::min(priority, 2U);
}

} // namespace

void
keeper::impl::plan_soon()
{
  if (plan_posted) {
    return;
  }
  plan_posted = true;
  asio::post(p.io, [self = shared_from_this()] {
    self->plan_posted = false;
    self->plan();
  });
}

// The pause between two events of an engine that is not slow.
double
keeper::impl::usual_event_ms(const batch_state& b) const
{
  // Before any stream was seen: what engines of this class need.
  constexpr double before_any_ms = 40;
  const auto route = route_to(b.stored.host, b.stored.target);
  if (route == nullptr || route->services.empty()) {
    return before_any_ms;
  }
  const auto seen = backends::typical_pace_ms(
    p.registry, route->services.front().service, http::now_ms());
  return seen > 0 ? seen : before_any_ms;
}

bool
keeper::impl::has_workspaces() const
{
  const auto table = p.table();
  return table != nullptr && table->workspaces.has_value();
}

// What is left of an item's run.
std::uint64_t
keeper::impl::expected_ms(const batch_state& b,
                          const item_state& i,
                          double usual_event_ms) const
{
  const auto hint = b.submission.items[i.index].length_hint;
  const auto made = usual_event_ms * static_cast<double>(i.text.events);
  return expected_run_ms(pace, hint, static_cast<std::uint64_t>(made));
}

// Gives waiting items to engines, those with the least time to spare first.
void
keeper::impl::plan()
{
  const auto now = http::now_ms();
  std::vector<batch_state*> open;
  std::vector<waiting_item> waiting;
  for (auto& entry : batches) {
    auto& b = *entry.second;
    if (!b.owned || !b.loaded || b.stored.ended || leaving) {
      continue;
    }
    const auto usual = usual_event_ms(b);
    for (const auto& i : b.items) {
      if (i.stage == item_stage::waiting && i.not_before_ms <= now) {
        waiting.push_back(
          { open.size(), i.index, b.due_ms, expected_ms(b, i, usual) });
      }
    }
    open.push_back(&b);
  }
  sort_by_slack(waiting);
  // What holds one item of a batch back holds back its others.
  std::vector<bool> held(open.size(), false);
  for (const auto& w : waiting) {
    auto& b = *open[w.batch];
    if (!held[w.batch]) {
      const auto urgency = urgency_of(w.due_ms, w.expected_ms, now);
      held[w.batch] = !launch(b, b.items[w.item], urgency);
    }
  }
}

bool
keeper::impl::launch(batch_state& b, item_state& i, std::uint32_t urgency)
{
  const auto route = route_to(b.stored.host, b.stored.target);
  if (route == nullptr || route->services.empty()) {
    return false;
  }
  const auto& item = b.submission.items[i.index];
  backends::item_needs needs;
  needs.service = route->services.front().service;
  needs.model = b.submission.model;
  needs.min_version = b.submission.min_version;
  needs.only_version =
    route->single_version && i.text.events > 0 ? i.text.version : 0;
  needs.excluded_id = i.not_on;
  needs.data_centre = p.data_centre;
  if (needs.only_version != 0 && !backends::can_serve(p.registry, needs)) {
    i.text = {};
    needs.only_version = 0;
  }
  if (i.work.empty()) {
    i.work = quarantine::fingerprint_of(
      { b.stored.host, "POST", item.path, b.stored.workspace, item.body });
  }
  const auto now = http::now_ms();
  if (is_kept_out(b, i)) {
    i.not_before_ms = now + kept_out_look_ms;
    return true;
  }
  auto* backend = backends::choose_for_item(p.registry, needs, now);
  if (backend == nullptr) {
    i.not_on.clear();
    return false;
  }
  const auto& names = p.dialect.headers;
  http::request r;
  r.method = "POST";
  r.target = item.path;
  r.body = item.body;
  r.fields.push_back({ "Host", b.stored.host });
  for (const auto& h : item.fields) {
    if (!http::is_hop_by_hop(h.name)) {
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
  i.reader = event_reader{ p.dialect.version_line };
  ++i.tries;
  process::log_line(
    timeline::event{ "item_started" }
      .with("request", item.id)
      .with("work", i.work)
      .with("batch", b.stored.id)
      .with("backend", backend->info.id)
      .with("in_flight", backend->in_flight)
      .with("version", backend->info.versions[b.submission.model])
      .with("resumed_at", i.text.last_event)
      .with("try", i.tries));
  ++backend->in_flight;
  http::exchange_options o;
  o.timeout_ms = run_limit_ms;
  o.echo = { names.request_id, item.id };
  o.reset_when_given_up = true;
  http::exchange_events events;
  const auto self = shared_from_this();
  events.on_head =
    [self, id = b.stored.id, at = i.index, run = i.run](const http::head& h) {
      self->on_run_head(id, at, run, h);
    };
  events.on_body = [self, id = b.stored.id, at = i.index, run = i.run](
                     std::string_view d) { self->on_body(id, at, run, d); };
  events.on_end = [self, id = b.stored.id, at = i.index, run = i.run](
                    http::end_state e) { self->on_run_end(id, at, run, e); };
  i.sent = p.http.send(backend->info.address, r, o, std::move(events));
  return true;
}

// An item that ends the engines that run it would go on to the next one at
// once, and take eight others' text with each. It cannot be given up before its
// batch allows: it waits, its group is not whole, and the others go on.
bool
keeper::impl::is_kept_out(const batch_state& b, const item_state& i)
{
  if (p.guard == nullptr) {
    return false;
  }
  const auto v = p.guard->evaluate(i.work, quarantine::run_kind::item);
  if (v.status != quarantine::request_status::quarantined) {
    return false;
  }
  p.guard->note_refused();
  process::log_line(timeline::event{ "item_quarantined" }
                      .with("request", b.submission.items[i.index].id)
                      .with("work", i.work)
                      .with("batch", b.stored.id)
                      .with("ends", v.crashes)
                      .with("until_ms", v.until_ms));
  return true;
}

// The first answer of an engine that has run it, failed or not, clears it.
void
keeper::impl::tell_guard(const item_state& i, http::end_state end)
{
  if (p.guard == nullptr) {
    return;
  }
  const auto now = http::now_ms();
  const bool settled =
    i.events_in_run > 0 && now - i.first_event_ms > settled_run_ms;
  if (end == http::end_state::cut && !settled) {
    p.guard->on_connection_lost(i.backend, i.address, i.work);
  } else if (end == http::end_state::complete && !i.not_run) {
    p.guard->on_answered(i.work);
  }
}

item_state*
keeper::impl::current_run(const std::string& id,
                          std::size_t at,
                          std::uint64_t run)
{
  auto* b = known(id);
  if (b == nullptr || at >= b->items.size()) {
    return nullptr;
  }
  auto& i = b->items[at];
  const bool current = i.stage == item_stage::running && i.run == run;
  return current ? &i : nullptr;
}

void
keeper::impl::on_run_head(const std::string& id,
                          std::size_t at,
                          std::uint64_t run,
                          const http::head& h)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *known(id);
  const auto& names = p.dialect.headers;
  constexpr int misdirected = 421;
  i->status = h.status;
  i->not_run =
    h.status == misdirected || http::find(h.fields, names.not_run).has_value();
  auto* backend = backends::find(p.registry, i->backend);
  const auto version = http::number(h.fields, names.weight_version);
  if (backend != nullptr && version) {
    backend->info.versions[b.submission.model] = *version;
  }
  if (backend != nullptr) {
    if (const auto text = http::find(h.fields, names.load)) {
      if (const auto load = p.dialect.load_from(*text)) {
        backends::note_load(*backend, *load, http::now_ms());
      }
    }
  }
  constexpr int ok = 200;
  if (h.status != ok) {
    return;
  }
  const auto route = route_to(b.stored.host, b.stored.target);
  const bool single = route != nullptr && route->single_version;
  const bool too_old = version && *version < b.submission.min_version;
  const bool mixed =
    single && i->text.events > 0 && version && *version != i->text.version;
  if (too_old || !version || mixed) {
    // Text of these weights must not enter the result.
    stop_run(*i);
    if (mixed) {
      i->text = {};
    }
    retry_item(b, *i, failed_pause_ms, "old_weights");
    return;
  }
  i->text.version = *version;
}

void
keeper::impl::on_body(const std::string& id,
                      std::size_t at,
                      std::uint64_t run,
                      std::string_view data)
{
  auto* i = current_run(id, at, run);
  constexpr int ok = 200;
  if (i == nullptr || i->status != ok) {
    return;
  }
  auto& b = *known(id);
  const auto now = http::now_ms();
  const auto events = i->reader.feed(data);
  if (events.empty()) {
    return;
  }
  for (const auto& e : events) {
    if (i->reader.is_malformed() || !append(i->text, e)) {
      process::log_line(timeline::event{ "item_events_broken" }
                          .with("request", b.submission.items[at].id)
                          .with("batch", id)
                          .with("expected", i->text.last_event + 1)
                          .with("got", e.id));
      stop_run(*i);
      i->not_on = i->backend.id;
      retry_item(b, *i, failed_pause_ms, "broken_events");
      return;
    }
  }
  if (i->text.version < b.submission.min_version) {
    i->text = {};
    stop_run(*i);
    retry_item(b, *i, failed_pause_ms, "old_weights");
    return;
  }
  if (auto* backend = backends::find(p.registry, i->backend)) {
    if (i->events_in_run > 0) {
      const auto gap = static_cast<double>(now - i->last_event_ms) /
                       static_cast<double>(events.size());
      backends::note_pace(*backend, gap, now);
    }
    auto& said = backend->info.versions[b.submission.model];
    said = std::max(said, i->text.version);
  }
  if (i->events_in_run == 0) {
    i->first_event_ms = now;
  }
  i->events_in_run += events.size();
  i->last_event_ms = now;
}

void
keeper::impl::on_run_end(const std::string& id,
                         std::size_t at,
                         std::uint64_t run,
                         http::end_state end)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *known(id);
  auto* backend = backends::find(p.registry, i->backend);
  if (backend != nullptr) {
    --backend->in_flight;
  }
  i->sent = {};
  tell_guard(*i, end);
  const bool complete = end == http::end_state::complete;
  constexpr int ok = 200;
  constexpr int unprocessable = 422;
  constexpr int server_error = 500;
  if (complete && i->status == ok && !i->reader.has_partial() &&
      i->text.events > 0) {
    if (backend != nullptr) {
      backend->failures = 0;
    }
    if (i->events_in_run == i->text.events) {
      note_run(pace,
               b.submission.items[at].length_hint,
               http::now_ms() - i->started_ms);
    }
    on_text(b, *i);
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
    finish_item(b, *i, { b.submission.items[at].id, false, "", {}, "" });
    return;
  }
  i->not_on = i->backend.id;
  if (complete && i->status == server_error) {
    ++i->failed_runs;
    const auto route = route_to(b.stored.host, b.stored.target);
    if (route != nullptr && i->failed_runs >= route->max_attempts) {
      finish_item(b, *i, { b.submission.items[at].id, false, "", {}, "" });
      return;
    }
  } else if (backend != nullptr) {
    backends::note_failure(*backend, http::now_ms());
  }
  retry_item(b, *i, complete ? failed_pause_ms : 0, http::name_of(end));
}

void
keeper::impl::stop_run(item_state& i)
{
  i.sent.cancel();
  i.sent = {};
  if (auto* backend = backends::find(p.registry, i.backend)) {
    --backend->in_flight;
  }
  i.stage = item_stage::waiting;
}

void
keeper::impl::retry_item(batch_state& b,
                         item_state& i,
                         std::uint64_t pause,
                         std::string_view why)
{
  const auto& item = b.submission.items[i.index];
  process::log_line(timeline::event{ "item_retried" }
                      .with("request", item.id)
                      .with("batch", b.stored.id)
                      .with("backend", i.backend.id)
                      .with("why", why)
                      .with("status", static_cast<std::uint64_t>(i.status))
                      .with("events", i.text.events)
                      .with("tries", i.tries));
  i.stage = item_stage::waiting;
  i.not_before_ms = http::now_ms() + pause;
  if (pause == 0) {
    plan_soon();
  }
}

// Runs in a life that has ended are gone with it, though their connections may
// stay silent for seconds. They go on elsewhere at once.
void
keeper::impl::leave_ended_lives()
{
  for (auto& entry : batches) {
    auto& b = *entry.second;
    for (auto& i : b.items) {
      if (i.stage == item_stage::running &&
          backends::find(p.registry, i.backend) == nullptr) {
        stop_run(i);
        retry_item(b, i, 0, "backend_ended");
      }
    }
  }
}

void
keeper::impl::watch_runs(batch_state& b, std::uint64_t now)
{
  const auto silence_limit = silence_limit_ms(usual_event_ms(b));
  for (auto& i : b.items) {
    if (i.stage == item_stage::scoring && i.score_again_ms != 0 &&
        i.score_again_ms <= now) {
      want_score(b.stored.id, i.index);
    }
    if (i.stage != item_stage::running) {
      continue;
    }
    auto* backend = backends::find(p.registry, i.backend);
    if (backend == nullptr) {
      continue;
    }
    const auto limit =
      i.events_in_run > 0 ? silence_limit : first_event_limit_ms;
    if (now - i.last_event_ms > limit) {
      backends::note_failure(*backend, now);
      stop_run(i);
      i.not_on = i.backend.id;
      retry_item(b, i, 0, "silent");
      continue;
    }
    const auto& service = backend->info.service;
    const auto usual = backends::typical_pace_ms(p.registry, service, now);
    const bool slow = backends::is_slow(*backend, usual, now) &&
                      now - i.started_ms > move_pause_ms;
    if (!backend->info.leaving && !slow) {
      continue;
    }
    backends::item_needs needs;
    needs.service = service;
    needs.model = b.submission.model;
    needs.min_version = b.submission.min_version;
    needs.excluded_id = i.backend.id;
    needs.data_centre = p.data_centre;
    auto* other = backends::choose_for_item(p.registry, needs, now);
    if (other != nullptr && !backends::is_slow(*other, usual, now)) {
      stop_run(i);
      i.not_on = i.backend.id;
      retry_item(b, i, 0, backend->info.leaving ? "leaving" : "slow");
      plan();
    }
  }
}

} // namespace cactusford::batches
