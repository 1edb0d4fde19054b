#include "cactusford/orders/loader.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::orders {

namespace {

// Reports list the models and the runs of one engine.
constexpr std::size_t max_answer_bytes = 1U << 20;

// Polling while idle detects an engine that has restarted with older weights.
// While a load is due or in progress, the engine is polled more often.
constexpr std::uint64_t idle_poll_interval_ms = 2000;
constexpr std::uint64_t busy_poll_interval_ms = 250;

// The engine is on the same instance, so reports and orders are answered fast.
constexpr std::uint64_t report_timeout_ms = 500;

// After a timeout the order may still have been accepted; the next report shows
// this, and `expected_orders` prevents a duplicate.
constexpr std::uint64_t order_timeout_ms = 1000;

} // namespace

loader::loader(asio::io_context& io,
               http::client& http,
               const edge::dialect& d,
               loader_settings s)
  : http_{ http }
  , dialect_{ d }
  , settings_{ std::move(s) }
  , timer_{ io }
  , position_{ position_from_name(settings_.instance) }
{
}

void
loader::on_published(const edge::published_version& v, std::uint64_t revision)
{
  fence_ = std::max(fence_, revision);
  auto& last = published_[v.model];
  if (v.version <= last.version) {
    return;
  }
  record_publication(last, v.version, http::now_ms());
  process::log_line(timeline::event{ "version_named" }
                      .with("model", v.model)
                      .with("version", v.version)
                      .with("revision", revision)
                      .with("period_ms", last.period_ms));
  schedule_poll(0);
}

void
loader::set_position(const engine_position& p)
{
  if (p == position_) {
    return;
  }
  position_ = p;
  process::log_line(
    timeline::event{ "engine_place" }.with("rank", std::uint64_t{ p.rank }));
}

void
loader::set_pinned(const std::map<std::string, std::uint64_t>& ages_ms)
{
  pinned_at_ms_ = http::now_ms();
  pinned_since_ms_.clear();
  for (const auto& [model, age_ms] : ages_ms) {
    pinned_since_ms_[model] = pinned_at_ms_ - std::min(pinned_at_ms_, age_ms);
  }
}

void
loader::start()
{
  schedule_poll(0);
}

void
loader::schedule_poll(std::uint64_t ms)
{
  timer_.expires_after(std::chrono::milliseconds{ ms });
  timer_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      poll_engine();
    }
  });
}

void
loader::poll_engine()
{
  if (is_request_open_) {
    return;
  }
  is_request_open_ = true;
  http::exchange_options o;
  o.timeout_ms = report_timeout_ms;
  o.max_body_bytes = max_answer_bytes;
  http_.fetch(settings_.engine,
              dialect_.report_request(),
              o,
              [this](http::exchange_outcome end, http::response&& r) {
                is_request_open_ = false;
                const auto report = end == http::exchange_outcome::complete
                                      ? dialect_.report_from(r)
                                      : store::decoded<edge::engine_report>{};
                log_reachability(report.has_value(), end, report.fault);
                if (report && accept_incarnation(*report)) {
                  on_report(*report);
                } else {
                  schedule_poll(idle_poll_interval_ms / 2);
                }
              });
}

void
loader::log_reachability(bool is_reachable,
                         http::exchange_outcome end,
                         const store::decode_error& error)
{
  if (is_reachable == was_reachable_) {
    return;
  }
  was_reachable_ = is_reachable;
  process::log_line(
    timeline::event{ is_reachable ? "engine_up" : "engine_down" }
      .with("engine", settings_.engine)
      .with("end", http::name_of(end))
      .with("field", error.field)
      .with("why", error.what));
}

// Returns false if the report is from an earlier incarnation. An engine may
// restart under the same id and address, with its order count reset to zero. A
// late report of the previous incarnation would make the next order expect a
// count that the engine no longer has, or hide that weights are missing.
bool
loader::accept_incarnation(const edge::engine_report& r)
{
  if (r.started_ms < started_ms_) {
    return false;
  }
  if (r.started_ms > started_ms_) {
    process::log_line(timeline::event{ "engine_life" }
                        .with("engine", settings_.engine)
                        .with("started_ms", r.started_ms)
                        .with("before", started_ms_)
                        .with("orders", r.orders));
    started_ms_ = r.started_ms;
    loaded_versions_.clear();
    due_loads_.clear();
  }
  return true;
}

void
loader::update_loaded_versions(const edge::engine_report& r)
{
  for (const auto& [model, version] : r.versions) {
    auto& before = loaded_versions_[model];
    if (version != before && before != 0) {
      due_loads_.erase(model);
      const auto took = http::now_ms() - order_sent_ms_;
      if (model == ordered_model_) {
        record_load(pacing_, took);
        ordered_model_.clear();
      }
      process::log_line(
        timeline::event{ "version_loaded" }
          .with("model", model)
          .with("version", version)
          .with("before", before)
          .with("took_ms", took)
          .with("shortest_ms", pacing_.fastest_load_ms)
          .with("extra_stride", std::uint64_t{ pacing_.extra_stride })
          .with("spread_ms", pacing_.spread_ms));
    }
    before = version;
  }
}

void
loader::on_report(const edge::engine_report& r)
{
  update_loaded_versions(r);
  const auto next = r.busy ? busy_poll_interval_ms : send_due_order(r);
  if (next != 0) {
    schedule_poll(next);
  }
}

// Sends the next due order, if any. Returns the delay until the next poll, or 0
// if an order has been sent.
std::uint64_t
loader::send_due_order(const edge::engine_report& r)
{
  const auto now = http::now_ms();
  const bool is_idle = r.running + r.waiting == 0;
  const auto models = r.versions.size();
  std::uint64_t next = idle_poll_interval_ms;
  std::size_t at = 0;
  for (const auto& [model, loaded] : r.versions) {
    const auto found = published_.find(model);
    const bool is_own_model = is_assigned(at++, models, position_);
    if (found == published_.end() || !is_own_model) {
      continue;
    }
    const auto& last = found->second;
    const auto when = choose_timing(
      { model, last.version, loaded }, models, position_, pacing_);
    if (when == load_timing::never) {
      continue;
    }
    const auto due =
      last.since_ms + load_delay_ms(when, last, position_, pacing_);
    if (due > now) {
      next = std::min(next, due - now);
    } else if (!is_idle && (waits_for_idle(when, last, now) ||
                            is_load_held(model, last, now))) {
      next = std::min(next, busy_poll_interval_ms);
    } else {
      send_order(r, model, last.version);
      return 0;
    }
  }
  return next;
}

// Returns true if runs that need the loaded version delay a load that is due.
bool
loader::is_load_held(const std::string& model,
                     const publication& last,
                     std::uint64_t now)
{
  auto& load =
    due_loads_.try_emplace(model, due_load{ now, 0, 0 }).first->second;
  const auto pinned = pinned_since_ms_.find(model);
  load.pinned_since_ms = pinned == pinned_since_ms_.end() ? 0 : pinned->second;
  load.pinned_at_ms = pinned_at_ms_;
  const bool is_held = orders::is_held(load, now);
  if (is_held && !load.is_logged) {
    load.is_logged = true;
    process::log_line(timeline::event{ "load_held" }
                        .with("model", model)
                        .with("version", last.version)
                        .with("oldest_run_ms", now - load.pinned_since_ms));
  }
  return is_held;
}

void
loader::send_order(const edge::engine_report& r,
                   const std::string& model,
                   std::uint64_t version)
{
  edge::load_order o;
  o.model = model;
  o.version = version;
  o.mode = edge::load_mode::keep_runs;
  o.holder = settings_.instance;
  o.fence = fence_;
  o.expected_orders = r.orders;
  o.backend = r.backend;
  http::exchange_options options;
  options.timeout_ms = order_timeout_ms;
  options.max_body_bytes = max_answer_bytes;
  is_request_open_ = true;
  order_sent_ms_ = http::now_ms();
  ordered_model_ = model;
  http_.fetch(settings_.engine,
              dialect_.order_request(o),
              options,
              [this, o](http::exchange_outcome end, http::response&& answer) {
                is_request_open_ = false;
                process::log_line(
                  timeline::event{ "load_ordered" }
                    .with("model", o.model)
                    .with("version", o.version)
                    .with("fence", o.fence)
                    .with("expected_orders", o.expected_orders)
                    .with("end", http::name_of(end))
                    .with("status", static_cast<std::uint64_t>(answer.status)));
                schedule_poll(busy_poll_interval_ms);
              });
}

} // namespace cactusford::orders
