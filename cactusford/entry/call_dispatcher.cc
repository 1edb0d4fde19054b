#include "cactusford/entry/call_dispatcher.h"

#include "cactusford/calls/home.h"
#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::entry {

namespace {

constexpr std::uint32_t max_attempts = 12;
// The sidecar refuses calls that wait past their deadline as "not run". The
// entry waits this much longer for that refusal before it has to report
// "unknown".
constexpr std::uint64_t deadline_grace_ms = 150;
constexpr std::uint64_t leaving_avoid_ms = 30000;
// An order to drain a data centre is rarely removed sooner than this.
constexpr std::uint32_t drained_retry_ms = 1000;
constexpr std::uint32_t no_backend_retry_ms = 500;
constexpr std::uint32_t not_home_retry_ms = 100;
constexpr std::uint32_t leaving_retry_ms = 50;

} // namespace

struct call_dispatcher::call
{
  std::uint64_t handle = 0;
  call_spec spec;
  std::uint64_t deadline = 0;
  std::uint32_t attempts = 0;
  std::string pool;
  std::string instance;
  std::vector<std::string> refused_by;
  link::stream_ptr stream;
  calls::assembly assembly;
  std::uint64_t tokens = 0;
  std::string text;
  // An attempt ended without a result, so the call may have run.
  bool may_have_run = false;
  bool done = false;
};

call_dispatcher::call_dispatcher(process::daemon& d,
                                 const settings::entry_settings& s)
  : daemon_{ d }
  , settings_{ s }
  , random_{ std::random_device{}() }
{
  routing_.by_load = s.policy != "baseline";
  routing_.by_prefix = settings::is_enabled(s, "prefix");
  may_resume_ = settings::is_enabled(s, "resume");
  budget_.ratio = s.retry_budget_percent / 100.0;
}

call_dispatcher::~call_dispatcher() = default;

void
call_dispatcher::on_configuration(const configuration::snapshot_ptr& view)
{
  // Most changes concern other kinds; rebuilding the pools for each of them
  // would cost milliseconds at full size.
  if (view->instances == instances_ && view->drains == drains_) {
    return;
  }
  instances_ = view->instances;
  drains_ = view->drains;
  std::map<std::string, std::vector<routing::target>> found;
  for (const auto& [name, i] : *view->instances) {
    const auto& v = i.value;
    if (v.role == "sidecar" && v.state == configuration::instance_state::live) {
      routing::target t;
      t.instance = name;
      t.link = v.link;
      t.is_drained = drains_->contains(v.data_centre);
      found[v.serves].push_back(std::move(t));
    }
  }
  for (const auto& [pool, old_pool] : pools_) {
    for (auto& t : found[pool]) {
      const auto old_index = routing::find(old_pool, t.instance);
      if (old_index && old_pool.targets[*old_index].link == t.link) {
        const bool is_drained = t.is_drained;
        t = old_pool.targets[*old_index];
        t.is_drained = is_drained;
      }
    }
  }
  for (auto& [pool, targets] : found) {
    pools_[pool] = routing::make_pool(std::move(targets));
  }
}

std::uint32_t
call_dispatcher::available_slots(const std::string& pool) const
{
  const auto found = pools_.find(pool);
  std::uint32_t slots = 0;
  if (found != pools_.end()) {
    const auto now = process::steady_ms();
    for (const auto& t : found->second.targets) {
      const bool takes_work = !t.is_drained && t.avoid_until_ms <= now;
      slots += takes_work ? t.slots : 0;
    }
  }
  return slots;
}

std::uint64_t
call_dispatcher::start(call_spec spec)
{
  auto c = std::make_shared<call>();
  c->handle = next_handle_++;
  c->deadline = process::steady_ms() + spec.deadline_ms;
  c->pool = spec.request.pool();
  c->spec = std::move(spec);
  calls_[c->handle] = c;
  admission::credit_first_attempt(budget_);
  daemon_.run_after(c->spec.deadline_ms + deadline_grace_ms,
                    [this, weak = std::weak_ptr{ c }] {
                      if (const auto live = weak.lock(); live && !live->done) {
                        on_deadline(live);
                      }
                    });
  asio::post(daemon_.io, [this, c] {
    if (!c->done) {
      start_attempt(c);
    }
  });
  return c->handle;
}

void
call_dispatcher::cancel(std::uint64_t handle)
{
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    return;
  }
  const auto c = found->second;
  c->done = true;
  release_target(*c);
  calls_.erase(c->handle);
}

void
call_dispatcher::end_all()
{
  const auto open = calls_;
  for (const auto& [handle, c] : open) {
    c->may_have_run = c->may_have_run || c->stream != nullptr;
    finish(
      c, { error_kind::leaving, settings_.process.instance, leaving_retry_ms });
  }
}

routing::target*
call_dispatcher::target_of(const call& c)
{
  const auto pool = pools_.find(c.pool);
  if (pool == pools_.end()) {
    return nullptr;
  }
  const auto index = routing::find(pool->second, c.instance);
  return index ? &pool->second.targets[*index] : nullptr;
}

std::optional<std::uint32_t>
call_dispatcher::home_target(const call& c, routing::pool_state& pool)
{
  const auto view = daemon_.configuration.current();
  const auto map = view->home_maps->find(c.pool);
  if (map == view->home_maps->end()) {
    return std::nullopt;
  }
  const auto home =
    calls::home_of(map->second.value, c.spec.request.idempotency_key());
  return routing::find(pool, home.instance);
}

// A key whose home is drained has another home as soon as the home map has
// changed.
failure
call_dispatcher::no_target_error(const call& c)
{
  const auto pool = pools_.find(c.pool);
  const bool has_key = !c.spec.request.idempotency_key().empty();
  if (has_key && pool != pools_.end() && home_target(c, pool->second)) {
    return { error_kind::not_home,
             "the home of the key in pool " + c.pool + " is drained",
             not_home_retry_ms };
  }
  return { error_kind::no_backend,
           "pool " + c.pool + " has none now",
           no_backend_retry_ms };
}

std::optional<std::uint32_t>
call_dispatcher::choose_target(const call& c, routing::pool_state& pool)
{
  if (!c.spec.request.idempotency_key().empty()) {
    const auto home = home_target(c, pool);
    return home && pool.targets[*home].is_drained ? std::nullopt : home;
  }
  std::vector<std::uint32_t> excluded;
  const auto exclude = [&](const std::string& name) {
    if (const auto index = routing::find(pool, name)) {
      excluded.push_back(*index);
    }
  };
  exclude(c.spec.excluded_instance);
  for (const auto& name : c.refused_by) {
    exclude(name);
  }
  const auto now = process::steady_ms();
  auto chosen = routing::choose(pool, c.spec.affinity, excluded, routing_, now);
  if (!chosen && c.spec.excluded_instance.empty()) {
    chosen = routing::choose(pool, c.spec.affinity, {}, routing_, now);
  }
  return chosen;
}

void
call_dispatcher::start_attempt(const std::shared_ptr<call>& c)
{
  const auto pool = pools_.find(c->pool);
  const auto index =
    pool == pools_.end() ? std::nullopt : choose_target(*c, pool->second);
  if (!index && pool != pools_.end() && routing::is_drained(pool->second)) {
    finish(c,
           { error_kind::no_backend,
             "all data centres of pool " + c->pool + " are drained",
             drained_retry_ms });
    return;
  }
  if (!index) {
    retry(c, no_target_error(*c), false);
    return;
  }
  routing::note_sent(pool->second, *index);
  const auto& t = pool->second.targets[*index];
  c->instance = t.instance;
  ++c->attempts;
  c->assembly = {};
  c->assembly.request_id = c->spec.request.request_id();
  c->assembly.attempt = c->attempts;
  c->stream = daemon_.links.open(link::address_from(t.link), "/calls");
  c->stream->on_message = [this, c](std::string_view m) { on_message(c, m); };
  c->stream->on_close = [this, c](std::error_code ec) {
    on_connection_lost(c, ec);
  };
  send(c);
}

void
call_dispatcher::send(const std::shared_ptr<call>& c)
{
  auto r = c->spec.request;
  const auto now = process::steady_ms();
  r.set_attempt(c->attempts);
  r.set_deadline_ms(
    static_cast<std::uint32_t>(c->deadline > now ? c->deadline - now : 1));
  if (r.has_completion() && c->tokens > 0) {
    auto& work = *r.mutable_completion();
    work.set_resume_from(work.resume_from() +
                         static_cast<std::uint32_t>(c->tokens));
    work.set_resume_text(work.resume_text() + c->text);
  }
  auto e = timeline::event{ "call_sent" }
             .with("request", r.request_id())
             .with("attempt", r.attempt())
             .with("to", c->instance)
             .with("resume_from", r.completion().resume_from());
  if (!r.idempotency_key().empty()) {
    e.with("key", r.idempotency_key());
  }
  timeline::log(e);
  c->stream->send(r.SerializeAsString());
  c->stream->finish();
}

void
call_dispatcher::record_load(call& c, const calls::load_report& load)
{
  if (auto* t = target_of(c)) {
    routing::note_load_report(
      *t, load.running() + load.queued(), load.slots(), process::steady_ms());
    t->incarnation = load.incarnation();
  }
}

void
call_dispatcher::on_message(const std::shared_ptr<call>& c, std::string_view m)
{
  calls::call_frame f;
  if (c->done) {
    return;
  }
  if (!f.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
    on_connection_lost(c, link::link_error::protocol);
    return;
  }
  if (f.has_load()) {
    record_load(*c, f.load());
  }
  const auto checked = calls::accept_frame(
    c->assembly, { f.request_id(), f.attempt(), f.sequence() });
  if (checked == calls::frame_result::corrupt) {
    on_connection_lost(c, link::link_error::protocol);
  } else if (checked == calls::frame_result::accepted) {
    on_content(c, f);
  }
}

void
call_dispatcher::on_content(const std::shared_ptr<call>& c,
                            const calls::call_frame& f)
{
  switch (f.content_case()) {
    case calls::call_frame::kTokens:
      c->assembly.sum.add(f.tokens().text());
      c->tokens += f.tokens().count();
      if (c->spec.may_resume && may_resume_) {
        c->text += f.tokens().text();
      }
      if (c->spec.on_tokens) {
        c->spec.on_tokens(f.tokens());
      }
      break;
    case calls::call_frame::kAnswer:
      c->assembly.sum.add(f.answer().body());
      if (c->spec.on_answer) {
        c->spec.on_answer(f.answer());
      }
      break;
    case calls::call_frame::kEnd:
      if (calls::accept_end(
            c->assembly, f.end().frames(), f.end().checksum()) ==
          calls::frame_result::accepted) {
        finish(c, {});
      } else {
        on_connection_lost(c, link::link_error::protocol);
      }
      break;
    case calls::call_frame::kRefusal:
      on_refusal(c, f.refusal());
      break;
    case calls::call_frame::kLeaving:
      if (auto* t = target_of(*c)) {
        t->avoid_until_ms = process::steady_ms() + leaving_avoid_ms;
      }
      break;
    default:
      break;
  }
}

void
call_dispatcher::on_refusal(const std::shared_ptr<call>& c,
                            const calls::refusal& r)
{
  const failure error{ error_kind_from(r.kind()),
                       r.message(),
                       r.retry_after_ms() };
  auto* t = target_of(*c);
  release_target(*c);
  switch (error.kind) {
    case error_kind::leaving:
      if (t != nullptr) {
        t->avoid_until_ms = process::steady_ms() + leaving_avoid_ms;
      }
      retry(c, error, false);
      return;
    case error_kind::no_backend:
      if (t != nullptr) {
        routing::note_failure(*t, process::steady_ms());
      }
      retry(c, error, true);
      return;
    case error_kind::not_home:
    case error_kind::not_ready:
    case error_kind::stale_version:
      retry(c, error, false);
      return;
    case error_kind::overloaded:
    case error_kind::record_full:
    case error_kind::stream_cut:
      retry(c, error, true);
      return;
    default:
      finish(c, error);
  }
}

void
call_dispatcher::on_connection_lost(const std::shared_ptr<call>& c,
                                    std::error_code ec)
{
  if (c->done || !c->stream) {
    return;
  }
  const bool was_not_sent = ec == link::link_error::not_connected;
  auto* t = target_of(*c);
  release_target(*c);
  if (t != nullptr) {
    routing::note_failure(*t, process::steady_ms());
  }
  if (!was_not_sent) {
    c->may_have_run = true;
  }
  retry(c,
        was_not_sent ? failure{ error_kind::no_backend, c->instance, 200 }
                     : failure{ error_kind::stream_cut, c->instance, 200 },
        !was_not_sent);
}

void
call_dispatcher::release_target(call& c)
{
  if (!c.stream) {
    return;
  }
  c.stream->cancel();
  c.stream = nullptr;
  const auto pool = pools_.find(c.pool);
  if (pool == pools_.end()) {
    return;
  }
  if (const auto index = routing::find(pool->second, c.instance)) {
    routing::note_returned(pool->second, *index);
  }
}

// A non-idempotent call is retried at its home, whose record knows the outcome;
// an idempotent one is retried elsewhere and resumes after the tokens received
// so far.
void
call_dispatcher::retry(const std::shared_ptr<call>& c,
                       const failure& error,
                       bool counts_against_budget)
{
  const bool has_key = !c->spec.request.idempotency_key().empty();
  const auto now = process::steady_ms();
  const auto wait_ms = std::max<std::uint64_t>(
    admission::backoff_ms(c->attempts,
                          std::uniform_real_distribution<>{}(random_)),
    has_key || error.kind == error_kind::stale_version
      ? error.retry_after_ms / 2
      : 0);
  const bool cannot_resume =
    c->tokens > 0 && !(c->spec.may_resume && may_resume_);
  // Gives up at once, so that the answer is sent now rather than at the
  // deadline. Waiting for a weight swap does not count as a failed attempt.
  const bool exhausted =
    c->attempts >= max_attempts && error.kind != error_kind::stale_version;
  if (cannot_resume || exhausted || now + wait_ms >= c->deadline ||
      (counts_against_budget && !admission::take_retry(budget_))) {
    finish(c, error);
    return;
  }
  if (error.kind == error_kind::no_backend && c->instance.empty()) {
    ++c->attempts;
  }
  if (!has_key && error.kind != error_kind::stale_version) {
    c->refused_by.push_back(c->instance);
  }
  timeline::log(timeline::event{ "call_retry" }
                  .with("request", c->spec.request.request_id())
                  .with("attempt", c->attempts)
                  .with("error", name_of(error.kind))
                  .with("wait_ms", wait_ms));
  daemon_.metrics.add("retries_total",
                      { { "kind", std::string{ name_of(error.kind) } } });
  daemon_.run_after(wait_ms, [this, c] {
    if (!c->done) {
      start_attempt(c);
    }
  });
}

void
call_dispatcher::on_deadline(const std::shared_ptr<call>& c)
{
  const bool is_in_flight = c->stream != nullptr;
  if (is_in_flight) {
    c->may_have_run = true;
  }
  finish(c, { error_kind::deadline_exceeded, "no answer in time" });
}

void
call_dispatcher::finish(const std::shared_ptr<call>& c, const failure& error)
{
  if (c->done) {
    return;
  }
  c->done = true;
  release_target(*c);
  call_result r;
  r.error = error;
  r.instance = c->instance;
  r.attempts = c->attempts;
  r.tokens = c->tokens;
  const bool has_key = !c->spec.request.idempotency_key().empty();
  if (error && c->tokens > 0) {
    r.error.kind = error_kind::stream_cut;
  } else if (error && c->may_have_run && (has_key || is_not_run(error.kind))) {
    // The connection of some attempt was lost without an answer from the
    // sidecar, so a later "not run" applies only to its own attempt.
    r.error.kind = error.kind == error_kind::bad_request
                     ? error.kind
                     : error_kind::outcome_unknown;
  }
  calls_.erase(c->handle);
  if (c->spec.on_done) {
    c->spec.on_done(r);
  }
}

} // namespace cactusford::entry
