#include "cactusford/entry/caller.h"

#include "cactusford/calls/home.h"
#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::entry {

namespace {

constexpr std::uint32_t max_attempts = 12;
// The sidecar refuses what waits past its deadline as "not run". The entry
// listens this much longer for that word before it must say "unknown".
constexpr std::uint64_t deadline_grace_ms = 150;
constexpr std::uint64_t leaving_avoid_ms = 30000;

} // namespace

struct caller::call
{
  std::uint64_t handle = 0;
  call_spec spec;
  std::uint64_t deadline = 0;
  std::uint32_t attempts = 0;
  std::string pool;
  std::string instance;
  std::vector<std::string> refused_by;
  link::stream_ptr stream;
  calls::assembly whole;
  std::uint64_t tokens = 0;
  std::string text;
  // Some attempt ended without a word: it may have run.
  bool may_have_run = false;
  bool done = false;
};

caller::caller(process::daemon& d, const settings::entry_settings& s)
  : daemon_{ d }
  , settings_{ s }
  , random_{ std::random_device{}() }
{
  routing_.by_load = s.policy != "baseline";
  routing_.by_prefix = settings::is_enabled(s, "prefix");
  may_resume_ = settings::is_enabled(s, "resume");
  budget_.ratio = s.retry_budget_percent / 100.0;
}

caller::~caller() = default;

void
caller::on_configuration(const configuration::snapshot_ptr& view)
{
  // Most changes are of other kinds; rebuilding the pools for each of them
  // would cost milliseconds at full size.
  if (view->instances == instances_) {
    return;
  }
  instances_ = view->instances;
  std::map<std::string, std::vector<routing::target>> found;
  for (const auto& [name, i] : *view->instances) {
    const auto& v = i.value;
    if (v.role == "sidecar" && v.state == configuration::instance_state::live) {
      routing::target t;
      t.instance = name;
      t.link = v.link;
      found[v.serves].push_back(std::move(t));
    }
  }
  for (const auto& [pool, held] : pools_) {
    for (auto& t : found[pool]) {
      const auto known = routing::find(held, t.instance);
      if (known && held.targets[*known].link == t.link) {
        t = held.targets[*known];
      }
    }
  }
  for (auto& [pool, targets] : found) {
    pools_[pool] = routing::make_pool(std::move(targets));
  }
}

std::uint32_t
caller::slots_of(const std::string& pool) const
{
  const auto found = pools_.find(pool);
  std::uint32_t slots = 0;
  if (found != pools_.end()) {
    const auto now = process::steady_ms();
    for (const auto& t : found->second.targets) {
      slots += t.avoid_until_ms <= now ? t.slots : 0;
    }
  }
  return slots;
}

std::uint64_t
caller::start(call_spec spec)
{
  auto c = std::make_shared<call>();
  c->handle = next_handle_++;
  c->deadline = process::steady_ms() + spec.deadline_ms;
  c->pool = spec.request.pool();
  c->spec = std::move(spec);
  calls_[c->handle] = c;
  admission::credit_first_attempt(budget_);
  daemon_.after(c->spec.deadline_ms + deadline_grace_ms,
                [this, weak = std::weak_ptr{ c }] {
                  if (const auto live = weak.lock(); live && !live->done) {
                    on_deadline(live);
                  }
                });
  asio::post(daemon_.io, [this, c] {
    if (!c->done) {
      attempt(c);
    }
  });
  return c->handle;
}

void
caller::cancel(std::uint64_t handle)
{
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    return;
  }
  const auto c = found->second;
  c->done = true;
  leave_target(*c);
  calls_.erase(c->handle);
}

routing::target*
caller::target_of(const call& c)
{
  const auto pool = pools_.find(c.pool);
  if (pool == pools_.end()) {
    return nullptr;
  }
  const auto index = routing::find(pool->second, c.instance);
  return index ? &pool->second.targets[*index] : nullptr;
}

std::optional<std::uint32_t>
caller::home(const call& c, routing::pool_state& p)
{
  const auto view = daemon_.configuration.current();
  const auto map = view->home_maps->find(c.pool);
  if (map == view->home_maps->end()) {
    return std::nullopt;
  }
  const auto home =
    calls::home_of(map->second.value, c.spec.request.idempotency_key());
  return routing::find(p, home.instance);
}

std::optional<std::uint32_t>
caller::place(const call& c, routing::pool_state& p)
{
  if (!c.spec.request.idempotency_key().empty()) {
    return home(c, p);
  }
  std::vector<std::uint32_t> excluded;
  const auto exclude = [&](const std::string& name) {
    if (const auto index = routing::find(p, name)) {
      excluded.push_back(*index);
    }
  };
  exclude(c.spec.not_on);
  for (const auto& name : c.refused_by) {
    exclude(name);
  }
  const auto now = process::steady_ms();
  auto chosen = routing::choose(p, c.spec.affinity, excluded, routing_, now);
  if (!chosen && c.spec.not_on.empty()) {
    chosen = routing::choose(p, c.spec.affinity, {}, routing_, now);
  }
  return chosen;
}

void
caller::attempt(const std::shared_ptr<call>& c)
{
  const auto pool = pools_.find(c->pool);
  const auto index =
    pool == pools_.end() ? std::nullopt : place(*c, pool->second);
  if (!index) {
    retry(c,
          { error_kind::no_backend, "pool " + c->pool + " has none now", 500 },
          false);
    return;
  }
  routing::note_sent(pool->second, *index);
  const auto& t = pool->second.targets[*index];
  c->instance = t.instance;
  ++c->attempts;
  c->whole = {};
  c->whole.request_id = c->spec.request.request_id();
  c->whole.attempt = c->attempts;
  c->stream = daemon_.links.open(link::address_from(t.link), "/calls");
  c->stream->on_message = [this, c](std::string_view m) { on_message(c, m); };
  c->stream->on_close = [this, c](std::error_code ec) { on_cut(c, ec); };
  send(c);
}

void
caller::send(const std::shared_ptr<call>& c)
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
caller::note_load(call& c, const calls::load_report& load)
{
  if (auto* t = target_of(c)) {
    routing::note_load_report(
      *t, load.running() + load.queued(), load.slots(), process::steady_ms());
    t->incarnation = load.incarnation();
  }
}

void
caller::on_message(const std::shared_ptr<call>& c, std::string_view m)
{
  calls::call_frame f;
  if (c->done) {
    return;
  }
  if (!f.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
    on_cut(c, link::link_error::protocol);
    return;
  }
  if (f.has_load()) {
    note_load(*c, f.load());
  }
  const auto judged = calls::accept_frame(
    c->whole, { f.request_id(), f.attempt(), f.sequence() });
  if (judged == calls::frame_result::corrupt) {
    on_cut(c, link::link_error::protocol);
  } else if (judged == calls::frame_result::accepted) {
    on_content(c, f);
  }
}

void
caller::on_content(const std::shared_ptr<call>& c, const calls::call_frame& f)
{
  switch (f.content_case()) {
    case calls::call_frame::kTokens:
      c->whole.sum.add(f.tokens().text());
      c->tokens += f.tokens().count();
      if (c->spec.may_resume && may_resume_) {
        c->text += f.tokens().text();
      }
      if (c->spec.on_tokens) {
        c->spec.on_tokens(f.tokens());
      }
      break;
    case calls::call_frame::kAnswer:
      c->whole.sum.add(f.answer().body());
      if (c->spec.on_answer) {
        c->spec.on_answer(f.answer());
      }
      break;
    case calls::call_frame::kEnd:
      if (calls::accept_end(c->whole, f.end().frames(), f.end().checksum()) ==
          calls::frame_result::accepted) {
        finish(c, {});
      } else {
        on_cut(c, link::link_error::protocol);
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
caller::on_refusal(const std::shared_ptr<call>& c, const calls::refusal& r)
{
  const failure why{ error_kind_from(r.kind()),
                     r.message(),
                     r.retry_after_ms() };
  auto* t = target_of(*c);
  leave_target(*c);
  switch (why.kind) {
    case error_kind::leaving:
      if (t != nullptr) {
        t->avoid_until_ms = process::steady_ms() + leaving_avoid_ms;
      }
      retry(c, why, false);
      return;
    case error_kind::no_backend:
      if (t != nullptr) {
        routing::note_failure(*t, process::steady_ms());
      }
      retry(c, why, true);
      return;
    case error_kind::not_home:
    case error_kind::not_ready:
    case error_kind::stale_version:
      retry(c, why, false);
      return;
    case error_kind::overloaded:
    case error_kind::record_full:
    case error_kind::stream_cut:
      retry(c, why, true);
      return;
    default:
      finish(c, why);
  }
}

void
caller::on_cut(const std::shared_ptr<call>& c, std::error_code ec)
{
  if (c->done || !c->stream) {
    return;
  }
  const bool never_left = ec == link::link_error::not_connected;
  auto* t = target_of(*c);
  leave_target(*c);
  if (t != nullptr) {
    routing::note_failure(*t, process::steady_ms());
  }
  if (!never_left) {
    c->may_have_run = true;
  }
  retry(c,
        never_left ? failure{ error_kind::no_backend, c->instance, 200 }
                   : failure{ error_kind::stream_cut, c->instance, 200 },
        !never_left);
}

void
caller::leave_target(call& c)
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

// A non-idempotent call is asked again at its home, whose record knows what
// became of it; an idempotent one goes elsewhere, from the tokens it has.
void
caller::retry(const std::shared_ptr<call>& c,
              const failure& why,
              bool counts_against_budget)
{
  const bool keyed = !c->spec.request.idempotency_key().empty();
  const auto now = process::steady_ms();
  const auto wait = std::max<std::uint64_t>(
    admission::backoff_ms(c->attempts,
                          std::uniform_real_distribution<>{}(random_)),
    keyed || why.kind == error_kind::stale_version ? why.retry_after_ms / 2
                                                   : 0);
  const bool stranded = c->tokens > 0 && !(c->spec.may_resume && may_resume_);
  // Given up on now: the answer goes out at once, not at the deadline.
  // Waiting for a swap is no failing attempt.
  const bool exhausted =
    c->attempts >= max_attempts && why.kind != error_kind::stale_version;
  if (stranded || exhausted || now + wait >= c->deadline ||
      (counts_against_budget && !admission::take_retry(budget_))) {
    finish(c, why);
    return;
  }
  if (why.kind == error_kind::no_backend && c->instance.empty()) {
    ++c->attempts;
  }
  if (!keyed && why.kind != error_kind::stale_version) {
    c->refused_by.push_back(c->instance);
  }
  timeline::log(timeline::event{ "call_retry" }
                  .with("request", c->spec.request.request_id())
                  .with("attempt", c->attempts)
                  .with("error", name_of(why.kind))
                  .with("wait_ms", wait));
  daemon_.metrics.add("retries_total",
                      { { "kind", std::string{ name_of(why.kind) } } });
  daemon_.after(wait, [this, c] {
    if (!c->done) {
      attempt(c);
    }
  });
}

void
caller::on_deadline(const std::shared_ptr<call>& c)
{
  const bool asked = c->stream != nullptr;
  if (asked) {
    c->may_have_run = true;
  }
  finish(c, { error_kind::deadline_exceeded, "no answer in time" });
}

void
caller::finish(const std::shared_ptr<call>& c, const failure& why)
{
  if (c->done) {
    return;
  }
  c->done = true;
  leave_target(*c);
  call_result r;
  r.error = why;
  r.instance = c->instance;
  r.attempts = c->attempts;
  r.tokens = c->tokens;
  const bool keyed = !c->spec.request.idempotency_key().empty();
  if (why && c->tokens > 0) {
    r.error.kind = error_kind::stream_cut;
  } else if (why && c->may_have_run && (keyed || is_not_run(why.kind))) {
    // Some attempt was cut without a word from the sidecar, so that a later
    // "not run" speaks only for its own attempt.
    r.error.kind = why.kind == error_kind::bad_request
                     ? why.kind
                     : error_kind::outcome_unknown;
  }
  calls_.erase(c->handle);
  if (c->spec.on_done) {
    c->spec.on_done(r);
  }
}

} // namespace cactusford::entry
