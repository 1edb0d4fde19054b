#include "cactusford/quarantine/manager.h"

#include "cactusford/http/probe.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <utility>

namespace cactusford::quarantine {

namespace {

// A crashed process refuses connections at once; an unreachable one does not
// respond. Round trips between instances and backend servers take milliseconds.
constexpr std::uint64_t probe_timeout_ms = 250;

// Maximum number of suspected crashes probed at a time. Beyond it, more of the
// deployment is failing than a single request can take down.
constexpr std::size_t max_unconfirmed = 256;

// Number of other servers of the service to probe after a crash. A rack failure
// or a bad release takes down most of a small service, so a few probes find it,
// and connections to many servers would be costly.
constexpr std::size_t max_peer_probes = 3;

// When a server crashes, all of its connections are lost within milliseconds.
// This delay gathers their requests into one report.
constexpr std::uint64_t gather_delay_ms = 20;

// Minimum time between two reports of an instance, so that a rack failure costs
// the store at most five writes a second for each affected instance.
constexpr std::uint64_t report_interval_ms = 200;

// Delay before a report that the store did not accept is sent again. Outages of
// the store last seconds.
constexpr std::uint64_t retry_interval_ms = 500;

// Maximum number of reports waiting for the store: ten seconds of reports.
constexpr std::size_t max_pending_reports = 50;

// How long the store may hold a watch request. A stalled watch is noticed only
// after this time, so it must be less than the three seconds in which reports
// must reach all instances. Shorter times cost more calls, which are billed.
constexpr std::uint64_t watch_wait_ms = 2000;

constexpr std::uint64_t tick_interval_ms = 1000;

// Maximum number of expired reports removed per tick.
constexpr std::size_t max_removals_per_tick = 2;

std::string
key_of(const backends::incarnation& i)
{
  return i.id + "@" + std::to_string(i.started_ms);
}

void
add_unique(std::vector<fingerprint>& all, const fingerprint& f)
{
  const bool is_known = std::find(all.begin(), all.end(), f) != all.end();
  if (!is_known && all.size() < max_fingerprints) {
    all.push_back(f);
  }
}

// Joins the first few fingerprints for a log line.
std::string
join_first(const std::vector<fingerprint>& all)
{
  constexpr std::size_t max_joined = 8;
  std::string text;
  for (std::size_t i = 0; i < std::min(all.size(), max_joined); ++i) {
    text += (text.empty() ? "" : ",") + all[i];
  }
  return text;
}

} // namespace

manager::manager(asio::io_context& io,
                 store::client& store,
                 const backends::registry& registry,
                 manager_settings s)
  : io_{ io }
  , store_{ store }
  , registry_{ registry }
  , settings_{ std::move(s) }
  , watcher_{ io,
              store,
              { std::string{ report_kind }, watch_wait_ms, 0, true },
              { [this](std::vector<store::object>&& all) {
                 on_list(std::move(all));
               },
                [this](store::change&& c) {
                  if (c.deleted) {
                    remove_report(evidence_, c.value.name);
                  } else {
                    take_object(c.value);
                  }
                },
                [this] { log_status_changes(); } } }
  , ticker_{ io }
  , flusher_{ io }
{
  evidence_.limits = settings_.limits;
}

void
manager::start()
{
  watcher_.start();
  tick();
}

decision
manager::evaluate(const fingerprint& f, run_kind kind)
{
  return quarantine::evaluate(evidence_, f, kind, timeline::wall_ms());
}

// If each instance ran its own trial, each could crash a server. The store lets
// only one of them create the trial object.
void
manager::claim_trial(const fingerprint& f, std::function<void(bool)> done)
{
  const auto now = timeline::wall_ms();
  report trial;
  trial.reporter = settings_.instance;
  trial.at_ms = now;
  trial.trial = f;
  store::call c;
  c.op = store::operation::create;
  c.kind = report_kind;
  c.name = trial_name(f, evaluate(f, run_kind::call));
  c.body = encode(trial);
  store_.perform(c, [this, f, name = c.name, trial, done](store::reply&& r) {
    const bool is_mine = r.result == store::call_result::done;
    const bool is_other = r.result == store::call_result::conflict;
    process::log_line(timeline::event{ "trial_claimed" }
                        .with("work", f)
                        .with("verdict", store::name_of(r.result))
                        .with("mine", is_mine ? 1U : 0U));
    // The other instance's trial takes a moment to arrive. Without this report
    // the claim would be repeated, and fail, until then.
    if (is_mine || is_other) {
      add_report(evidence_, name, trial);
    }
    done(is_mine);
  });
}

// Lost connections are frequent and crashes are rare. If connection resets and
// lost responses counted as crashes, healthy requests would become suspects.
void
manager::on_connection_lost(const backends::incarnation& of,
                            const std::string& address,
                            const fingerprint& f)
{
  ++counts_.connections_lost;
  const auto key = key_of(of);
  const auto found = unconfirmed_.find(key);
  if (found != unconfirmed_.end()) {
    add_unique(found->second.running, f);
    return;
  }
  if (unconfirmed_.size() >= max_unconfirmed) {
    process::log_line(timeline::event{ "probe_skipped" }
                        .with("backend", of.id)
                        .with("work", f)
                        .with("unconfirmed", unconfirmed_.size()));
    return;
  }
  unconfirmed_[key] = { of, { f } };
  http::probe(
    io_, address, probe_timeout_ms, [this, key](http::probe_result end) {
      on_probed(key, end == http::probe_result::refused);
    });
}

bool
manager::is_probing(const fingerprint& f) const
{
  return std::any_of(
    unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& suspect) {
      const auto& running = suspect.second.running;
      return std::find(running.begin(), running.end(), f) != running.end();
    });
}

void
manager::on_probed(const std::string& key, bool has_crashed)
{
  auto suspect = std::move(unconfirmed_.at(key));
  unconfirmed_.erase(key);
  process::log_line(
    timeline::event{ has_crashed ? "backend_ended" : "cut_only" }
      .with("backend", suspect.of.id)
      .with("started_ms", suspect.of.started_ms)
      .with("works", join_first(suspect.running))
      .with("count", suspect.running.size()));
  if (!has_crashed) {
    return;
  }
  ++counts_.crashes;
  record_crash(suspect.of, suspect.running);
  probe_peers(suspect.of);
}

void
manager::record_crash(const backends::incarnation& of,
                      const std::vector<fingerprint>& running)
{
  auto& r = touch_open_report();
  const auto known =
    std::find_if(r.crashes.begin(), r.crashes.end(), [&](const auto& c) {
      return c.backend == of.id && c.started_ms == of.started_ms;
    });
  if (known != r.crashes.end()) {
    for (const auto& f : running) {
      add_unique(known->running, f);
    }
  } else if (r.crashes.size() < max_crashes) {
    r.crashes.push_back({ of.id, of.started_ms, running, timeline::wall_ms() });
  } else {
    // More crashes than one request can cause within a report interval.
    process::log_line(timeline::event{ "crash_not_reported" }
                        .with("backend", of.id)
                        .with("report", open_report_.name));
  }
  update_open_report();
}

bool
manager::is_known_crash(const backends::incarnation& of) const
{
  return std::any_of(
    evidence_.reports.begin(), evidence_.reports.end(), [&](const auto& e) {
      const auto& crashes = e.second.crashes;
      return std::any_of(crashes.begin(), crashes.end(), [&](const auto& c) {
        return c.backend == of.id && c.started_ms == of.started_ms;
      });
    });
}

// If an idle server crashes together with others, no request is the cause.
// Probes a few other servers of the service to find one. Crashed servers that
// were running requests are reported by the instances that sent them.
void
manager::probe_peers(const backends::incarnation& crashed)
{
  const auto known = registry_.all.find(crashed.id);
  if (known == registry_.all.end()) {
    return;
  }
  std::vector<const backends::backend*> peers;
  for (const auto& [id, b] : registry_.all) {
    if (b.info.service == known->second.info.service && id != crashed.id &&
        !b.info.leaving) {
      peers.push_back(&b);
    }
  }
  std::shuffle(peers.begin(), peers.end(), random_);
  std::size_t probed = 0;
  for (const auto* b : peers) {
    const auto of = backends::incarnation_of(*b);
    if (unconfirmed_.contains(key_of(of)) || is_known_crash(of)) {
      continue;
    }
    probe_peer(of, b->info.address);
    if (++probed == max_peer_probes) {
      return;
    }
  }
}

void
manager::probe_peer(const backends::incarnation& of, const std::string& address)
{
  http::probe(
    io_, address, probe_timeout_ms, [this, of](http::probe_result end) {
      if (end == http::probe_result::refused && !is_known_crash(of)) {
        process::log_line(timeline::event{ "backend_ended_idle" }
                            .with("backend", of.id)
                            .with("started_ms", of.started_ms));
        record_crash(of, {});
      }
    });
}

// A response shows that the request does not crash every server that runs it.
// It is reported to all instances, because otherwise unrelated crashes that the
// request meets at other entries would add up.
void
manager::on_answered(const fingerprint& f)
{
  const auto v = evaluate(f, run_kind::call);
  if (!has_crashes(v)) {
    return;
  }
  process::log_line(
    timeline::event{ "work_cleared" }.with("work", f).with("ends", v.crashes));
  add_unique(touch_open_report().answered, f);
  update_open_report();
}

// Opens a report if none is open. Its timestamp is that of the last addition.
report&
manager::touch_open_report()
{
  const auto now = timeline::wall_ms();
  if (open_report_.name.empty()) {
    open_report_ = { report_name(settings_.instance, now),
                     { settings_.instance, now, {}, {} },
                     false };
  }
  open_report_.value.at_ms = now;
  return open_report_.value;
}

// Applies the open report locally at once and schedules writing it for the
// other instances.
void
manager::update_open_report()
{
  add_report(evidence_, open_report_.name, open_report_.value);
  log_status_changes();
  if (is_flush_due_) {
    return;
  }
  is_flush_due_ = true;
  const auto now = http::now_ms();
  const auto due =
    std::max(now + gather_delay_ms, last_flush_ms_ + report_interval_ms);
  flusher_.expires_after(std::chrono::milliseconds{ due - now });
  flusher_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      flush();
    }
  });
}

void
manager::flush()
{
  is_flush_due_ = false;
  last_flush_ms_ = http::now_ms();
  auto pending =
    std::make_shared<pending_report>(std::exchange(open_report_, {}));
  if (pending_.size() >= max_pending_reports) {
    ++counts_.reports_dropped;
    process::log_line(timeline::event{ "report_dropped" }
                        .with("report", pending_.front()->name)
                        .with("waiting", pending_.size()));
    pending_.pop_front();
  }
  pending_.push_back(pending);
  write(pending);
}

void
manager::write(const std::shared_ptr<pending_report>& pending)
{
  store::call c;
  c.op = store::operation::create;
  c.kind = report_kind;
  c.name = pending->name;
  c.body = encode(pending->value);
  store_.perform(c, [this, pending](store::reply&& r) {
    const bool is_still_pending =
      std::find(pending_.begin(), pending_.end(), pending) != pending_.end();
    // After an attempt without a response, a conflict is with this instance's
    // own write. Otherwise the name was used by an earlier process of this
    // instance whose clock was ahead.
    pending->may_exist = pending->may_exist || r.after_unknown ||
                         r.result == store::call_result::unknown;
    const bool is_written =
      r.result == store::call_result::done ||
      (r.result == store::call_result::conflict && pending->may_exist);
    if (r.result == store::call_result::conflict && !is_written) {
      rename(*pending);
    }
    process::log_line(timeline::event{ "report_written" }
                        .with("report", pending->name)
                        .with("verdict", store::name_of(r.result))
                        .with("ended", pending->value.crashes.size())
                        .with("answered", pending->value.answered.size()));
    if (is_written) {
      ++counts_.reports_written;
      std::erase(pending_, pending);
    } else if (is_still_pending) {
      auto t = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds{ retry_interval_ms });
      t->async_wait([this, t, pending](asio::error_code ec) {
        if (!ec) {
          write(pending);
        }
      });
    }
  });
}

void
manager::rename(pending_report& pending)
{
  remove_report(evidence_, pending.name);
  ++pending.value.at_ms;
  pending.name = report_name(settings_.instance, pending.value.at_ms);
  add_report(evidence_, pending.name, pending.value);
}

// Replaces the evidence with the listed reports, plus local reports that are
// not written yet.
void
manager::on_list(std::vector<store::object>&& all)
{
  evidence_.reports.clear();
  evidence_.changed = true;
  for (const auto& o : all) {
    take_object(o);
  }
  for (const auto& pending : pending_) {
    add_report(evidence_, pending->name, pending->value);
  }
  if (!open_report_.name.empty()) {
    add_report(evidence_, open_report_.name, open_report_.value);
  }
}

void
manager::take_object(const store::object& o)
{
  auto r = report_from(o.spec);
  if (r) {
    add_report(evidence_, o.name, std::move(*r));
  } else {
    remove_report(evidence_, o.name);
    store::log_unreadable(report_kind, { o.name, r.fault });
  }
}

// The store keeps reports forever, so expired ones are removed by the instance
// that wrote them, or by the relays if that instance no longer exists.
void
manager::tick()
{
  for (const auto& name : expire_reports(evidence_, timeline::wall_ms())) {
    const bool is_mine = is_reported_by(name, settings_.instance);
    if (is_mine || settings_.removes_for_others) {
      to_remove_.push_back(name);
    }
  }
  for (std::size_t i = 0; i < max_removals_per_tick && !to_remove_.empty();
       ++i) {
    remove(to_remove_.front());
    to_remove_.pop_front();
  }
  log_status_changes();
  ticker_.expires_after(std::chrono::milliseconds{ tick_interval_ms });
  ticker_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      tick();
    }
  });
}

// A report whose removal fails is found again when the reports are next listed.
void
manager::remove(const std::string& name)
{
  store::call c;
  c.op = store::operation::remove;
  c.kind = report_kind;
  c.name = name;
  store_.perform(c, [name](store::reply&& r) {
    process::log_line(timeline::event{ "report_removed" }
                        .with("report", name)
                        .with("verdict", store::name_of(r.result)));
  });
}

// Logs when a request becomes quarantined and when it may be tried again, with
// the evidence.
void
manager::log_status_changes()
{
  const auto now = timeline::wall_ms();
  auto refused = quarantined_calls(evidence_, now);
  for (const auto& [work, v] : refused) {
    if (!logged_quarantined_.contains(work)) {
      process::log_line(timeline::event{ "work_quarantined" }
                          .with("work", work)
                          .with("ends", v.crashes)
                          .with("until_ms", v.until_ms)
                          .with("reports", evidence_.reports.size())
                          .with("store_revision", watcher_.as_of()));
    }
  }
  for (const auto& [work, v] : logged_quarantined_) {
    if (!refused.contains(work)) {
      process::log_line(timeline::event{ "work_allowed" }
                          .with("work", work)
                          .with("ends", v.crashes)
                          .with("until_ms", v.until_ms));
    }
  }
  logged_quarantined_ = std::move(refused);
}

} // namespace cactusford::quarantine
