#include "cactusford/orders/loader.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::orders {

namespace {

// An idle look finds an engine that restarted with older weights. While a load
// is in progress or wanted, looks are closer.
constexpr std::uint64_t idle_look_ms = 2000;
constexpr std::uint64_t busy_look_ms = 250;

// Reports and orders stay on this instance.
constexpr std::uint64_t report_timeout_ms = 500;

// An order that was answered late is read back through the report: it may
// have been accepted, and `expected_orders` keeps it from counting twice.
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
  , place_{ place_by_name(settings_.instance) }
{
}

void
loader::on_named(const edge::published_version& v, std::uint64_t revision)
{
  fence_ = std::max(fence_, revision);
  auto& n = named_[v.model];
  if (v.version <= n.version) {
    return;
  }
  note_naming(n, v.version, http::now_ms());
  process::log_line(timeline::event{ "version_named" }
                      .with("model", v.model)
                      .with("version", v.version)
                      .with("revision", revision)
                      .with("period_ms", n.period_ms));
  again_in(0);
}

void
loader::stand_at(const place& p)
{
  if (p == place_) {
    return;
  }
  place_ = p;
  process::log_line(
    timeline::event{ "engine_place" }.with("rank", std::uint64_t{ p.rank }));
}

void
loader::start()
{
  again_in(0);
}

void
loader::again_in(std::uint64_t ms)
{
  timer_.expires_after(std::chrono::milliseconds{ ms });
  timer_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      look();
    }
  });
}

void
loader::look()
{
  if (asking_) {
    return;
  }
  asking_ = true;
  http::exchange_options o;
  o.timeout_ms = report_timeout_ms;
  http_.fetch(settings_.engine,
              dialect_.report_request(),
              o,
              [this](http::end_state end, http::response&& r) {
                asking_ = false;
                const auto report = end == http::end_state::complete
                                      ? dialect_.report_from(r)
                                      : store::decoded<edge::engine_report>{};
                note_up(report.has_value(), end, report.fault);
                if (report && take_life(*report)) {
                  on_report(*report);
                } else {
                  again_in(idle_look_ms / 2);
                }
              });
}

void
loader::note_up(bool is_up,
                http::end_state end,
                const store::decode_error& fault)
{
  if (is_up == was_up_) {
    return;
  }
  was_up_ = is_up;
  process::log_line(timeline::event{ is_up ? "engine_up" : "engine_down" }
                      .with("engine", settings_.engine)
                      .with("end", http::name_of(end))
                      .with("field", fault.field)
                      .with("why", fault.what));
}

// An engine may start again under its id and address, with its orders counted
// from zero. A late report of the life before would have the next order made
// for a count that the engine no longer has, or hide that weights are missing.
// False: the report is of a life that has ended.
bool
loader::take_life(const edge::engine_report& r)
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
    loaded_.clear();
  }
  return true;
}

void
loader::note_versions(const edge::engine_report& r)
{
  for (const auto& [model, version] : r.versions) {
    auto& before = loaded_[model];
    if (version != before && before != 0) {
      const auto took = http::now_ms() - ordered_ms_;
      if (model == ordered_model_) {
        note_load(pace_, took);
        ordered_model_.clear();
      }
      process::log_line(
        timeline::event{ "version_loaded" }
          .with("model", model)
          .with("version", version)
          .with("before", before)
          .with("took_ms", took)
          .with("shortest_ms", pace_.shortest_ms)
          .with("passed_over", std::uint64_t{ pace_.passed_over })
          .with("spread_ms", pace_.spread_ms));
    }
    before = version;
  }
}

void
loader::on_report(const edge::engine_report& r)
{
  note_versions(r);
  const auto next = r.busy ? busy_look_ms : order_what_is_due(r);
  if (next != 0) {
    again_in(next);
  }
}

// When to look again; 0: an order is on its way.
std::uint64_t
loader::order_what_is_due(const edge::engine_report& r)
{
  const auto now = http::now_ms();
  const bool is_idle = r.running + r.waiting == 0;
  const auto models = r.versions.size();
  std::uint64_t next = idle_look_ms;
  std::size_t at = 0;
  for (const auto& [model, loaded] : r.versions) {
    const auto found = named_.find(model);
    const bool is_kept = keeps_up_with(at++, models, place_);
    if (found == named_.end() || !is_kept) {
      continue;
    }
    const auto& n = found->second;
    const auto when =
      wants({ model, n.version, loaded }, models, place_, pace_);
    if (when == load_time::never) {
      continue;
    }
    const auto due = n.since_ms + delay_ms(when, n, place_, pace_);
    if (due > now) {
      next = std::min(next, due - now);
    } else if (!is_idle && waits_for_quiet(when, n, now)) {
      next = std::min(next, busy_look_ms);
    } else {
      order(r, model, n.version);
      return 0;
    }
  }
  return next;
}

void
loader::order(const edge::engine_report& r,
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
  asking_ = true;
  ordered_ms_ = http::now_ms();
  ordered_model_ = model;
  http_.fetch(settings_.engine,
              dialect_.order_request(o),
              options,
              [this, o](http::end_state end, http::response&& answer) {
                asking_ = false;
                process::log_line(
                  timeline::event{ "load_ordered" }
                    .with("model", o.model)
                    .with("version", o.version)
                    .with("fence", o.fence)
                    .with("expected_orders", o.expected_orders)
                    .with("end", http::name_of(end))
                    .with("status", static_cast<std::uint64_t>(answer.status)));
                again_in(busy_look_ms);
              });
}

} // namespace cactusford::orders
