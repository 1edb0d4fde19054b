#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Minimum time between two reports of one owner to another. With a longer
// interval, runs of another owner reach the same engines before a change is
// reported; with a shorter one, each change costs a message of its own.
constexpr std::uint64_t report_interval_ms = 100;

// Unchanged usage is reported again before the last report expires.
constexpr std::uint64_t report_refresh_ms = 400;

constexpr std::uint64_t report_timeout_ms = 300;

} // namespace

engine_runs
manager::impl::own_runs() const
{
  engine_runs runs;
  for (const auto& [id, b] : batches) {
    if (!b->owned) {
      continue;
    }
    for (const auto& i : b->items) {
      if (i.stage == item_stage::running) {
        ++runs[i.backend.id];
      }
    }
  }
  return runs;
}

// Returns the runs on routes whose results must have a single version.
pinned_engines
manager::impl::own_pins(std::uint64_t now) const
{
  pinned_engines pins;
  for (const auto& [id, b] : batches) {
    if (!b->owned || !version_rule_of(*b).single_version) {
      continue;
    }
    for (const auto& i : b->items) {
      if (i.stage == item_stage::running) {
        merge(pins[i.backend.id],
              { { b->submission.model, now - i.started_ms } },
              0);
      }
    }
  }
  return pins;
}

// Returns the addresses of the owners of open batches. An owner that reported a
// demand in the last 8 s may have a batch that is not listed yet.
std::set<std::string>
manager::impl::other_owners(std::uint64_t now) const
{
  std::set<std::string> addresses;
  for (const auto& [id, b] : batches) {
    const auto& address = b->stored.owner_address;
    const bool is_recent =
      deps.engine_shares && had_demand(peer_usage, b->stored.owner, now);
    if ((b->is_open() || is_recent) && !address.empty() &&
        address != deps.address) {
      addresses.insert(address);
    }
  }
  return addresses;
}

void
manager::impl::report_engine_usage(std::uint64_t now, bool at_once)
{
  if (!at_once && now - last_report_ms < report_interval_ms) {
    return;
  }
  auto recipients = other_owners(now);
  // The relays pass pins on to the sidecars. After the last run has ended, one
  // report without pins replaces the previous one.
  auto pinned = own_pins(now);
  if (!pinned.empty() || has_reported_pins) {
    const auto relays = deps.relays();
    recipients.insert(relays.begin(), relays.end());
  }
  auto runs = own_runs();
  auto demand = deps.engine_shares ? own_demand(now) : demand_by_service{};
  const bool is_unchanged = runs == reported_runs &&
                            demand == reported_demand &&
                            now - last_report_ms < report_refresh_ms;
  if (recipients.empty()) {
    reported_demand.clear();
    return;
  }
  if (is_unchanged) {
    return;
  }
  last_report_ms = now;
  reported_runs = std::move(runs);
  reported_demand = std::move(demand);
  has_reported_pins = !pinned.empty();
  http::request r;
  r.method = "POST";
  r.target = peer_engine_usage_path;
  r.fields = { { "Host", "owner" } };
  engine_usage_report report{ deps.instance, reported_runs };
  if (deps.engine_shares) {
    report.demand = reported_demand;
  }
  report.pinned = std::move(pinned);
  r.body = encode(report).dump();
  http::exchange_options o;
  o.timeout_ms = report_timeout_ms;
  o.connect_timeout_ms = report_timeout_ms / 2;
  for (const auto& address : recipients) {
    // A lost report is replaced by the next one.
    deps.http.fetch(
      address, r, o, [](http::exchange_outcome, http::response&&) {});
  }
}

pinned_models
manager::pins_of(const std::string& engine) const
{
  const auto now = http::now_ms();
  auto all = reported_pins(impl_->peer_usage, engine, now);
  const auto own = impl_->own_pins(now);
  const auto found = own.find(engine);
  if (found != own.end()) {
    merge(all, found->second, 0);
  }
  return all;
}

void
manager::on_engine_usage(const http::call& peer)
{
  auto report =
    decode_engine_usage_report(store::parse_message(peer.request().body));
  if (!report) {
    process::log_line(timeline::event{ "engine_use_unreadable" }
                        .with("field", report.fault.field)
                        .with("why", report.fault.what));
    peer.respond(answer(400));
    return;
  }
  const auto now = http::now_ms();
  if (!report->demand) {
    report->demand = demand_of_runs(impl_->deps.registry, report->runs);
  }
  record_report(impl_->peer_usage, std::move(*report), now);
  const auto runs = total_runs(impl_->peer_usage, now);
  const bool is_divided =
    std::any_of(impl_->sharing.begin(),
                impl_->sharing.end(),
                [](const auto& s) { return s.second.is_shared; });
  if (impl_->deps.engine_shares && is_divided) {
    set_reported_runs(impl_->deps.registry, runs, now);
  } else {
    backends::set_peer_runs(impl_->deps.registry, runs, now);
  }
  // Slots that the other owner does not need may be free for waiting items.
  const bool has_waiting = std::any_of(
    impl_->sharing.begin(), impl_->sharing.end(), [](const auto& e) {
      return e.second.is_shared && e.second.own.waiting > 0;
    });
  if (impl_->deps.engine_shares && has_waiting) {
    impl_->schedule_dispatch();
  }
  peer.respond(answer(200));
}

} // namespace cactusford::batches
