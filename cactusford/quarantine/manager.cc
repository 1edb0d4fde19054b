#include "cactusford/quarantine/manager.h"

#include "cactusford/http/probe.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <utility>

namespace cactusford::quarantine {

namespace {

// A process that has ended refuses connections at once; one that is cut off
// does not answer. Instances and backend servers are milliseconds apart.
constexpr std::uint64_t probe_ms = 250;

// Lives looked at at the same time. Past it more of the deployment is failing
// than one request can bring down.
constexpr std::size_t most_unconfirmed = 256;

// Other servers of the service that are looked at when one has ended: a rack or
// a release that goes wrong takes most of a small service, and a connection to
// each of many servers is paid for.
constexpr std::size_t looked_at_beside = 3;

// All connections to a server that ends are cut within milliseconds: its
// requests come into one report.
constexpr std::uint64_t gather_ms = 20;

// Between two reports of an instance, so that a rack that ends costs the store
// five writes a second for each instance that had work there, at most.
constexpr std::uint64_t report_pause_ms = 200;

// A report that the store did not take is sent again after this; the store's
// own outages last seconds.
constexpr std::uint64_t rewrite_pause_ms = 500;

// Reports that wait for the store: ten seconds of them.
constexpr std::size_t most_waiting = 50;

// How long the store may hold the watch. A watch that has gone silent is
// noticed this much later, below the three seconds in which instances must
// hear of each other; each answer is a call that is paid for.
constexpr std::uint64_t watch_wait_ms = 2000;

constexpr std::uint64_t tick_ms = 1000;

// Expired reports removed at a time, once a second.
constexpr std::size_t removals_at_once = 2;

std::string
key_of(const backends::incarnation& l)
{
  return l.id + "@" + std::to_string(l.started_ms);
}

void
add_once(std::vector<fingerprint>& all, const fingerprint& f)
{
  const bool known = std::find(all.begin(), all.end(), f) != all.end();
  if (!known && all.size() < most_works) {
    all.push_back(f);
  }
}

// The first of them, as far as one line holds them.
std::string
listed(const std::vector<fingerprint>& all)
{
  constexpr std::size_t most_listed = 8;
  std::string text;
  for (std::size_t i = 0; i < std::min(all.size(), most_listed); ++i) {
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
                    drop(evidence_, c.value.name);
                  } else {
                    take_object(c.value);
                  }
                },
                [this] { log_standings(); } } }
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

verdict
manager::judge(const fingerprint& f, run_kind kind)
{
  return quarantine::judge(evidence_, f, kind, timeline::wall_ms());
}

// Each instance that tried it by itself would end a server: the store decides
// on one of them.
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
  c.name = name_of_trial(f, now / settings_.limits.trial_ms);
  c.body = encode(trial);
  store_.perform(c, [this, f, name = c.name, trial, done](store::reply&& r) {
    const bool mine = r.what == store::verdict::done;
    process::log_line(timeline::event{ "trial_claimed" }
                        .with("work", f)
                        .with("verdict", store::name_of(r.what))
                        .with("mine", mine ? 1U : 0U));
    if (mine) {
      take(evidence_, name, trial);
    }
    done(mine);
  });
}

// Ends of a connection are many, ends of a process few. Counted alike, resets
// and lost answers would make suspects of requests that run well.
void
manager::on_cut(const backends::incarnation& of,
                const std::string& address,
                const fingerprint& f)
{
  ++counts_.cuts;
  const auto key = key_of(of);
  const auto found = unconfirmed_.find(key);
  if (found != unconfirmed_.end()) {
    add_once(found->second.ran, f);
    return;
  }
  if (unconfirmed_.size() >= most_unconfirmed) {
    process::log_line(timeline::event{ "cut_not_looked_at" }
                        .with("backend", of.id)
                        .with("work", f)
                        .with("unconfirmed", unconfirmed_.size()));
    return;
  }
  unconfirmed_[key] = { of, { f } };
  http::probe(io_, address, probe_ms, [this, key](http::probe_end end) {
    on_probed(key, end == http::probe_end::refused);
  });
}

bool
manager::is_probing(const fingerprint& f) const
{
  return std::any_of(
    unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& d) {
      const auto& ran = d.second.ran;
      return std::find(ran.begin(), ran.end(), f) != ran.end();
    });
}

void
manager::on_probed(const std::string& key, bool has_ended)
{
  auto d = std::move(unconfirmed_.at(key));
  unconfirmed_.erase(key);
  process::log_line(timeline::event{ has_ended ? "backend_ended" : "cut_only" }
                      .with("backend", d.of.id)
                      .with("started_ms", d.of.started_ms)
                      .with("works", listed(d.ran))
                      .with("count", d.ran.size()));
  if (!has_ended) {
    return;
  }
  ++counts_.ends;
  note_end(d.of, d.ran);
  look_beside(d.of);
}

void
manager::note_end(const backends::incarnation& of,
                  const std::vector<fingerprint>& ran)
{
  auto& r = reopen_report();
  const auto known =
    std::find_if(r.ended.begin(), r.ended.end(), [&](const auto& l) {
      return l.backend == of.id && l.started_ms == of.started_ms;
    });
  if (known != r.ended.end()) {
    for (const auto& f : ran) {
      add_once(known->ran, f);
    }
  } else if (r.ended.size() < most_lives) {
    r.ended.push_back({ of.id, of.started_ms, ran, timeline::wall_ms() });
  } else {
    // More lives than one request ends in a fifth of a second.
    process::log_line(timeline::event{ "end_not_reported" }
                        .with("backend", of.id)
                        .with("report", open_.name));
  }
  keep_open_report();
}

bool
manager::is_known_to_have_ended(const backends::incarnation& of) const
{
  return std::any_of(
    evidence_.reports.begin(), evidence_.reports.end(), [&](const auto& e) {
      const auto& ended = e.second.ended;
      return std::any_of(ended.begin(), ended.end(), [&](const auto& l) {
        return l.backend == of.id && l.started_ms == of.started_ms;
      });
    });
}

// A server that goes down with others goes down for a cause that no request
// brought: one of them that was idle tells. Those that run something are
// reported with it, by this instance or another.
void
manager::look_beside(const backends::incarnation& ended)
{
  const auto known = registry_.all.find(ended.id);
  if (known == registry_.all.end()) {
    return;
  }
  std::vector<const backends::backend*> peers;
  for (const auto& [id, b] : registry_.all) {
    if (b.info.service == known->second.info.service && id != ended.id &&
        !b.info.leaving) {
      peers.push_back(&b);
    }
  }
  std::shuffle(peers.begin(), peers.end(), random_);
  std::size_t looked_at = 0;
  for (const auto* b : peers) {
    const auto of = backends::incarnation_of(*b);
    if (unconfirmed_.contains(key_of(of)) || is_known_to_have_ended(of)) {
      continue;
    }
    look_at(of, b->info.address);
    if (++looked_at == looked_at_beside) {
      return;
    }
  }
}

void
manager::look_at(const backends::incarnation& of, const std::string& address)
{
  http::probe(io_, address, probe_ms, [this, of](http::probe_end end) {
    if (end == http::probe_end::refused && !is_known_to_have_ended(of)) {
      process::log_line(timeline::event{ "backend_ended_idle" }
                          .with("backend", of.id)
                          .with("started_ms", of.started_ms));
      note_end(of, {});
    }
  });
}

// One answer shows that the request does not end all that run it. Told to all:
// the ends that it meets at other entries would add up otherwise.
void
manager::on_answered(const fingerprint& f)
{
  const auto v = judge(f, run_kind::call);
  if (!has_crashes(v)) {
    return;
  }
  process::log_line(
    timeline::event{ "work_cleared" }.with("work", f).with("ends", v.ends));
  add_once(reopen_report().answered, f);
  keep_open_report();
}

// Its time is that of what was added last.
report&
manager::reopen_report()
{
  const auto now = timeline::wall_ms();
  if (open_.name.empty()) {
    open_ = { name_of_report(settings_.instance, now),
              { settings_.instance, now, {}, {} },
              false };
  }
  open_.value.at_ms = now;
  return open_.value;
}

// Counts here at once, and for the others when it is written.
void
manager::keep_open_report()
{
  take(evidence_, open_.name, open_.value);
  log_standings();
  if (is_flush_due_) {
    return;
  }
  is_flush_due_ = true;
  const auto now = http::now_ms();
  const auto due = std::max(now + gather_ms, last_flush_ms_ + report_pause_ms);
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
  auto u = std::make_shared<unsaved>(std::exchange(open_, {}));
  if (waiting_.size() >= most_waiting) {
    ++counts_.reports_dropped;
    process::log_line(timeline::event{ "report_dropped" }
                        .with("report", waiting_.front()->name)
                        .with("waiting", waiting_.size()));
    waiting_.pop_front();
  }
  waiting_.push_back(u);
  write(u);
}

void
manager::write(const std::shared_ptr<unsaved>& u)
{
  store::call c;
  c.op = store::operation::create;
  c.kind = report_kind;
  c.name = u->name;
  c.body = encode(u->value);
  store_.perform(c, [this, u](store::reply&& r) {
    const bool still_wanted =
      std::find(waiting_.begin(), waiting_.end(), u) != waiting_.end();
    // After a try without an answer a conflict is with our own write. Otherwise
    // the name is that of an earlier process, whose clock was ahead.
    u->may_stand =
      u->may_stand || r.after_unknown || r.what == store::verdict::unknown;
    const bool written = r.what == store::verdict::done ||
                         (r.what == store::verdict::conflict && u->may_stand);
    if (r.what == store::verdict::conflict && !written) {
      rename(*u);
    }
    process::log_line(timeline::event{ "report_written" }
                        .with("report", u->name)
                        .with("verdict", store::name_of(r.what))
                        .with("ended", u->value.ended.size())
                        .with("answered", u->value.answered.size()));
    if (written) {
      ++counts_.reports_written;
      std::erase(waiting_, u);
    } else if (still_wanted) {
      auto t = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds{ rewrite_pause_ms });
      t->async_wait([this, t, u](asio::error_code ec) {
        if (!ec) {
          write(u);
        }
      });
    }
  });
}

void
manager::rename(unsaved& u)
{
  drop(evidence_, u.name);
  ++u.value.at_ms;
  u.name = name_of_report(settings_.instance, u.value.at_ms);
  take(evidence_, u.name, u.value);
}

// What is not written yet stands beside what the store has.
void
manager::on_list(std::vector<store::object>&& all)
{
  evidence_.reports.clear();
  evidence_.changed = true;
  for (const auto& o : all) {
    take_object(o);
  }
  for (const auto& u : waiting_) {
    take(evidence_, u->name, u->value);
  }
  if (!open_.name.empty()) {
    take(evidence_, open_.name, open_.value);
  }
}

void
manager::take_object(const store::object& o)
{
  auto r = report_from(o.spec);
  if (r) {
    take(evidence_, o.name, std::move(*r));
  } else {
    drop(evidence_, o.name);
    store::log_unreadable(report_kind, { o.name, r.fault });
  }
}

// Reports that count no more are removed by who wrote them, and by the relays
// if that instance is gone: the store would keep them for ever.
void
manager::tick()
{
  for (const auto& name : expire(evidence_, timeline::wall_ms())) {
    const bool mine = is_reported_by(name, settings_.instance);
    if (mine || settings_.removes_for_others) {
      to_remove_.push_back(name);
    }
  }
  for (std::size_t i = 0; i < removals_at_once && !to_remove_.empty(); ++i) {
    remove(to_remove_.front());
    to_remove_.pop_front();
  }
  log_standings();
  ticker_.expires_after(std::chrono::milliseconds{ tick_ms });
  ticker_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      tick();
    }
  });
}

// One that fails is found again when the kind is listed.
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
                        .with("verdict", store::name_of(r.what)));
  });
}

// One line when a request begins to be kept out, and one when it may be tried
// again, with what it rests on.
void
manager::log_standings()
{
  const auto now = timeline::wall_ms();
  auto refused = refused_calls(evidence_, now);
  for (const auto& [work, v] : refused) {
    if (!kept_out_.contains(work)) {
      process::log_line(timeline::event{ "work_quarantined" }
                          .with("work", work)
                          .with("ends", v.ends)
                          .with("until_ms", v.until_ms)
                          .with("reports", evidence_.reports.size())
                          .with("store_revision", watcher_.as_of()));
    }
  }
  for (const auto& [work, v] : kept_out_) {
    if (!refused.contains(work)) {
      process::log_line(timeline::event{ "work_allowed" }
                          .with("work", work)
                          .with("ends", v.ends)
                          .with("until_ms", v.until_ms));
    }
  }
  kept_out_ = std::move(refused);
}

} // namespace cactusford::quarantine
