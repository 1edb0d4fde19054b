#include "soak/cluster.h"

#include "cactusford/http/socket.h"
#include "cactusford/timeline/history.h"
#include "standins/child.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

#include <sys/wait.h>
#include <unistd.h>

namespace cactusford::soak {

namespace {

using nlohmann::json;

// The workload: each trainer has one step of several groups open, and
// non-idempotent calls arrive continuously.
constexpr std::size_t items_per_step = 8;
constexpr int slots_per_engine = 8;
constexpr std::size_t items_per_group = 2;
constexpr std::uint64_t event_interval_ms = 15;
constexpr std::uint64_t call_interval_ms = 40;
constexpr std::uint64_t read_interval_ms = 200;
constexpr std::uint64_t retry_interval_ms = 150;
constexpr std::uint64_t request_timeout_ms = 3000;

// Intervals of configuration changes and of probes. A probe asks each entry for
// the routes of the newest version and of the one before.
constexpr std::uint64_t change_interval_ms = 3100;
constexpr std::uint64_t change_delay_after_fault_ms = 50;
constexpr std::uint64_t probe_interval_ms = 250;

// Prefix of the ids of probes, which may run more than once. Other calls must
// not.
constexpr std::string_view probe_prefix = "probe-";

// After a fault, an entry may adopt changes late for this long.
constexpr std::uint64_t recovery_ms = 3000;

// A platform with drain orders counts a request that breaks one only if its
// sender was undisturbed for this long.
constexpr std::uint64_t drain_recovery_ms = 4000;

// How long an engine is cold after a restart.
constexpr std::uint64_t cold_ms = 3000;

// After a proxy has stopped delaying requests, those that it held up arrive
// closer together than they were sent, which the senders can't prevent. No
// second that contains such an arrival counts.
constexpr std::uint64_t bunched_arrivals_ms = 1500;

// An entry's log names the requests that it sent after at most this long.
constexpr std::uint64_t log_delay_ms = 500;

// Scorers and the service for calls have one server each.
constexpr const char* scorer_data_centre = "a";
constexpr const char* service_data_centre = "b";

std::string
data_centre_of(std::size_t index)
{
  constexpr std::array<const char*, data_centre_count> names{ "a", "b", "c" };
  return names.at(index % data_centre_count);
}

// Longest time after the last fault until all accepted work is complete.
constexpr std::uint64_t drain_limit_ms = 25000;

constexpr std::uint64_t poll_interval_ms = 100;

// One of this many steps, on average, is deleted by its trainer before it is
// complete, and a trainer gives up after one of this many refusals.
constexpr std::uint64_t steps_per_early_end = 4;
constexpr std::uint64_t refusals_per_give_up = 3;

// One of this many steps submits the items of the step before again, as a
// trainer does with groups that were not complete in time.
constexpr std::uint64_t steps_per_resubmission = 3;

// Versions skip numbers: trainers name them as they like.
constexpr std::uint64_t max_version_step = 3;

std::string
address_of(std::uint16_t port)
{
  return "127.0.0.1:" + std::to_string(port);
}

// Finds free ports and keeps them bound until the other ports of this process
// are bound. They lie below the ephemeral port range: while an entry is down,
// no other program, such as another soak test, may get its port, because the
// peers of the entry would then talk to that program.
class reserved_ports
{
public:
  explicit reserved_ports(asio::io_context& io)
    : io_{ io }
    , next_{ static_cast<std::uint16_t>(first_port +
                                        static_cast<unsigned>(getpid()) %
                                          block_count * ports_per_block) }
  {
  }

  std::string next()
  {
    using asio::ip::tcp;
    for (;;) {
      const tcp::endpoint at{ asio::ip::address_v4::loopback(), next_++ };
      tcp::acceptor acceptor{ io_, at.protocol() };
      asio::error_code ec;
      acceptor.bind(at, ec);
      if (!ec) {
        acceptors_.push_back(std::move(acceptor));
        return address_of(at.port());
      }
    }
  }

private:
  // Each process uses a block of its own, so that soak tests that run at the
  // same time do not collide.
  static constexpr unsigned first_port = 10000;
  static constexpr unsigned ports_per_block = 100;
  static constexpr unsigned block_count = 200;

  asio::io_context& io_;
  std::uint16_t next_;
  std::vector<asio::ip::tcp::acceptor> acceptors_;
};

} // namespace

struct cluster::entry
{
  std::string name;
  std::string data_centre;
  std::string callers_address;
  std::string peer_address;
  std::string settings_file;
  std::unique_ptr<proxy> store_proxy;
  pid_t pid = 0;
  // The entry is restarted after its process has exited.
  bool should_run = true;
  std::uint64_t start_at_ms = 0;
  std::uint64_t incarnation = 0;
  // Active faults, and the time when the last one began or ended or the process
  // was started.
  int active_faults = 0;
  std::uint64_t undisturbed_since_ms = 0;
};

struct cluster::engine
{
  engine(asio::io_context& io, std::size_t index)
    : id{ "engine-" + std::to_string(index) }
    , data_centre{ data_centre_of(index) }
    , standin{ io, id }
    , engine_proxy{ io, standin.address() }
  {
    standin.events = events_per_item;
    standin.gap_ms = event_interval_ms;
  }

  void set_fault(link_fault fault)
  {
    if (current_fault == link_fault::delay && fault != current_fault) {
      counts_from_ms = http::now_ms() + bunched_arrivals_ms;
    }
    current_fault = fault;
    engine_proxy.set_fault(fault);
  }

  std::string id;
  std::string data_centre;
  std::uint64_t started_ms = http::now_ms();
  standins::stream_engine standin;
  proxy engine_proxy;
  std::size_t runs_checked = 0;
  std::size_t arrivals_checked = 0;
  std::map<std::string, int> failures_checked;
  // Active faults that make it fail items.
  int aborting = 0;
  int failing = 0;
  // Requests that arrive before this time do not count for the limit of a cold
  // server.
  std::uint64_t counts_from_ms = 0;
  link_fault current_fault = link_fault::none;
};

struct cluster::trainer
{
  // Requires texts of a single version.
  bool single_version = false;
  std::vector<std::string> items;
  std::string batch;
  std::string body;
  std::size_t next_position = 0;
  // Every attempt so far was refused or not sent, so nothing runs.
  bool only_refused = true;
  int send_attempts = 0;
  bool is_idle = true;
};

cluster::cluster(soak_options o)
  : options_{ std::move(o) }
  , random_{ options_.plan.seed }
  , changes_{ { options_.in_force_ms } }
  , store_{ io_ }
  , service_{ io_,
              {},
              [this](const http::call& c) {
                const auto& fields = c.request().fields;
                const auto id =
                  std::string{ http::find(fields, "Id").value_or("") };
                if (!id.starts_with(probe_prefix)) {
                  invariants_.on_call_run(id);
                }
                check_drained(
                  "service", service_data_centre, id, http::now_ms());
                c.respond({ 200,
                            { { "Id", id }, { "Signature", "sig-" + id } },
                            "answer-" + id });
              } }
  , call_client_{ io_ }
  , probe_client_{ io_ }
{
  std::filesystem::create_directories(options_.folder);
  service_.listen("127.0.0.1:0");
  store_.inject_fault = [this](const store::call& c) {
    using fault = standins::object_store::fault;
    constexpr std::uint64_t writes_per_lost_response = 3;
    const bool is_write = c.op != store::operation::watch &&
                          c.op != store::operation::list &&
                          c.op != store::operation::get;
    if (store_refuses_) {
      return fault::refuse;
    }
    const bool loses_response = store_loses_responses_ && is_write &&
                                random_() % writes_per_lost_response == 0;
    return loses_response ? fault::drop_response : fault::none;
  };
  reserved_ports ports{ io_ };
  for (std::size_t i = 0; i < options_.plan.engines; ++i) {
    auto e = std::make_unique<engine>(io_, i);
    e->standin.on_event = [this](const std::string& item,
                                 std::uint64_t event,
                                 std::uint64_t version) {
      invariants_.on_event(item, event, version);
    };
    engines_.push_back(std::move(e));
  }
  for (std::size_t i = 0; i < options_.plan.entries; ++i) {
    auto e = std::make_unique<entry>();
    e->name = "entry-" + std::to_string(i);
    e->data_centre = data_centre_of(i);
    e->callers_address = ports.next();
    e->peer_address = ports.next();
    e->store_proxy = std::make_unique<proxy>(io_, store_.address());
    entries_.push_back(std::move(e));
  }
  for (std::size_t i = 0; i < options_.trainers; ++i) {
    trainers_.push_back(std::make_unique<trainer>());
    trainers_.back()->single_version = i % 2 == 1;
  }
  change_configuration();
  for (const auto& e : engines_) {
    store_.put("backends", e->id, announcement_of(*e));
  }
  announce(
    "scorer", "scorers", scorer_data_centre, engines_[0]->standin.address());
  announce(
    "service", "calls", service_data_centre, address_of(service_.port()));
}

// Announces a server that starts now. Each announcement has a start time: where
// most have one, entries refuse those without.
void
cluster::announce(const std::string& id,
                  const char* service,
                  const std::string& data_centre,
                  const std::string& address)
{
  constexpr int slots = 64;
  store_.put("backends",
             id,
             { { "service", service },
               { "address", address },
               { "data_centre", data_centre },
               { "started_ms", http::now_ms() },
               { "slots", slots },
               { "version", 1 } });
}

json
cluster::announcement_of(const engine& e) const
{
  const auto now = http::now_ms();
  const auto cold_until_ms = std::max(e.standin.cold_until_ms, now);
  return { { "service", "engines" },
           { "address", e.engine_proxy.address() },
           { "data_centre", e.data_centre },
           { "started_ms", e.started_ms },
           { "cold_left_ms", cold_until_ms - now },
           { "slots", slots_per_engine },
           { "version", e.standin.version } };
}

// The engine is cold from now on, and its process has started again. Its runs
// were aborted before.
void
cluster::restart_cold(engine& e)
{
  const auto now = http::now_ms();
  e.set_fault(link_fault::none);
  e.standin.cold_until_ms = now + cold_ms;
  invariants_.on_cold(e.id, e.standin.cold_until_ms);
  e.started_ms = now;
  store_.put("backends", e.id, announcement_of(e));
}

// Loads the newest weights, or those that a trainer names only now. Its runs go
// on with them.
void
cluster::load_weights(engine& e)
{
  if (e.standin.version == newest_weights_) {
    newest_weights_ += 1 + random_() % max_version_step;
  }
  e.standin.version = newest_weights_;
  store_.put("backends", e.id, announcement_of(e));
}

// Faults of one kind may overlap on an engine.
void
cluster::set_failures(engine& e, bool fail_resumed_runs, bool active)
{
  (fail_resumed_runs ? e.failing : e.aborting) += active ? 1 : -1;
  const auto event = 1 + random_() % events_per_item;
  e.standin.fails_resumed_runs = e.failing > 0;
  e.standin.abort_inside_event = e.failing + e.aborting > 0 ? event : 0;
}

void
cluster::drain(const std::string& data_centre)
{
  store_.put("drains", data_centre, json::object());
  invariants_.on_drained(data_centre, http::now_ms());
}

// Engines that were drained are cold when they return: they restarted just
// before the order is removed.
void
cluster::undrain(const std::string& data_centre)
{
  for (auto& e : engines_) {
    if (e->data_centre == data_centre) {
      e->set_fault(link_fault::reset);
      restart_cold(*e);
    }
  }
  store::call c;
  c.op = store::operation::remove;
  c.kind = "drains";
  c.name = data_centre;
  store_.write(c);
  invariants_.on_undrained(data_centre);
}

void
cluster::set_data_centre_fault(const std::string& data_centre, link_fault fault)
{
  for (auto& e : engines_) {
    if (e->data_centre == data_centre) {
      e->set_fault(fault);
    }
  }
}

// Passes requests of an engine, and of the scorer at the same address, to the
// checker.
void
cluster::check_arrivals(engine& e)
{
  const auto& arrivals = e.standin.arrivals;
  for (; e.arrivals_checked < arrivals.size(); ++e.arrivals_checked) {
    const auto& a = arrivals[e.arrivals_checked];
    if (a.is_score) {
      check_drained("scorer", scorer_data_centre, a.id, a.at_ms);
      continue;
    }
    check_drained(e.id, e.data_centre, a.id, a.at_ms);
    if (a.at_ms >= e.counts_from_ms) {
      invariants_.on_request(e.id, a.at_ms);
    }
  }
}

// A server can't tell which entry sent a request, so its sender is taken from
// the entries' logs: the last one that started this request on this server.
void
cluster::check_drained(const std::string& server,
                       const std::string& data_centre,
                       const std::string& request,
                       std::uint64_t at_ms)
{
  if (!invariants_.is_past_drain_limit(data_centre, at_ms)) {
    return;
  }
  std::map<std::string, bool> undisturbed;
  for (const auto& e : entries_) {
    undisturbed[e->name] = is_undisturbed(*e, drain_recovery_ms);
  }
  // Logs have the time of day.
  const auto sent_until_ms = timeline::wall_ms() - (http::now_ms() - at_ms);
  run_after(log_delay_ms, [=, this] {
    std::string sender;
    for (const auto& r : timeline::read_logs(options_.folder)) {
      const bool is_start = r.name == "item_started" || r.name == "call_sent";
      if (is_start && r.value("request") == request &&
          r.value("backend") == server && r.at.ms <= sent_until_ms) {
        sender = r.process;
      }
    }
    // Without a line in any log, the request may be from any of them.
    const bool is_violation =
      sender.empty() ? std::all_of(undisturbed.begin(),
                                   undisturbed.end(),
                                   [](const auto& e) { return e.second; })
                     : undisturbed.at(sender);
    invariants_.on_late_request(server, request, sender, is_violation);
  });
}

cluster::~cluster()
{
  for (auto& e : entries_) {
    if (e->pid != 0) {
      kill(e->pid, SIGCONT);
      kill(e->pid, SIGKILL);
      waitpid(e->pid, nullptr, 0);
    }
  }
}

namespace {

json
route(const std::string& name, const char* service, routes::call_kind kind)
{
  return { { "name", name },       { "prefix", "/" + name + "/" },
           { "service", service }, { "kind", static_cast<int>(kind) },
           { "attempts", 3 },      { "timeout_ms", 2000 },
           { "due_ms", 3000 },     { "give_up_ms", 600000 } };
}

json
single_version_route()
{
  auto r = route("s", "engines", routes::call_kind::rollout);
  r["single_version"] = true;
  return r;
}

std::string
version_route_name(std::uint64_t version)
{
  return "version-" + std::to_string(version);
}

} // namespace

// Publishes a new version, which adds a route of its own and removes that of
// the version before.
void
cluster::change_configuration()
{
  using routes::call_kind;
  ++version_;
  store_.put(
    "configuration",
    "main",
    { { "version", version_ },
      { "services",
        { { { "name", "engines" },
            { "cold_ms", cold_ms },
            { "cold_per_second", backend_limits{}.cold_per_second } } } },
      { "routes",
        { route("b", "engines", call_kind::rollout),
          single_version_route(),
          route("score", "scorers", call_kind::idempotent),
          route("call", "calls", call_kind::non_idempotent),
          route(version_route_name(version_),
                "calls",
                call_kind::idempotent) } } });
  changes_.on_confirmed(version_, http::now_ms());
}

bool
cluster::is_undisturbed(const entry& e, std::uint64_t for_ms) const
{
  const auto now = http::now_ms();
  return e.pid != 0 && e.active_faults == 0 && store_faults_ == 0 &&
         now - e.undisturbed_since_ms >= for_ms &&
         now - store_undisturbed_since_ms_ >= for_ms;
}

void
cluster::probe_entry(std::size_t i, std::uint64_t version)
{
  auto& e = *entries_[i];
  const auto id = std::string{ probe_prefix } + std::to_string(next_id_++);
  const http::request r{ "GET",
                         "/" + version_route_name(version) + "/x",
                         { { "Host", "h" }, { "Id", id } },
                         "" };
  http::exchange_options o;
  o.timeout_ms = request_timeout_ms;
  const bool was_undisturbed = is_undisturbed(e, recovery_ms);
  probe p{ e.name, e.incarnation, version, http::now_ms(), 0, false, false };
  probe_client_.fetch(
    e.callers_address,
    r,
    o,
    [this, &e, p, was_undisturbed](http::exchange_outcome outcome,
                                   http::response&& response) mutable {
      constexpr int ok = 200;
      constexpr int missing = 404;
      if (outcome != http::exchange_outcome::complete ||
          e.incarnation != p.incarnation ||
          (response.status != ok && response.status != missing)) {
        return;
      }
      p.answered_ms = http::now_ms();
      p.is_served = response.status == ok;
      p.was_undisturbed = was_undisturbed && is_undisturbed(e, recovery_ms);
      changes_.on_answer(p);
    });
}

void
cluster::probe_entries()
{
  if (is_draining_) {
    return;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->pid == 0) {
      continue;
    }
    probe_entry(i, version_);
    if (version_ > 1) {
      probe_entry(i, version_ - 1);
    }
  }
  run_after(probe_interval_ms, [this] { probe_entries(); });
}

void
cluster::track_fault(const fault& f, int delta)
{
  const auto now = http::now_ms();
  const bool is_store_fault = (f.kind >= fault_kind::refuse_store &&
                               f.kind <= fault_kind::compact_store) ||
                              f.kind == fault_kind::fail_resumed_runs;
  const bool is_data_centre_fault = f.kind > fault_kind::compact_store;
  const bool is_engine_fault =
    f.kind >= fault_kind::delay_engine && f.kind <= fault_kind::silence_engine;
  if (is_store_fault) {
    store_faults_ += delta;
    store_undisturbed_since_ms_ = now;
  }
  if (is_store_fault || is_engine_fault || is_data_centre_fault) {
    return;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const bool is_target = i == f.target % entries_.size();
    if (is_target || f.kind == fault_kind::kill_all) {
      entries_[i]->active_faults += delta;
      entries_[i]->undisturbed_since_ms = now;
    }
  }
}

void
cluster::write_settings(entry& e)
{
  json peers = json::array();
  constexpr std::size_t relays = 3;
  for (std::size_t i = 0; i < std::min(relays, entries_.size()); ++i) {
    peers.push_back(entries_[i]->peer_address);
  }
  e.settings_file = options_.folder + "/" + e.name + ".json";
  std::ofstream{ e.settings_file } << json{
    { "instance", e.name },
    { "data_centre", e.data_centre },
    { "regions", { { "a", "r" }, { "b", "r" }, { "c", "r" } } },
    { "tolerated_data_centres", 1 },
    { "drain_within_ms", backend_limits{}.drain_within_ms },
    { "log_lines_per_second", 1000 },
    { "callers", e.callers_address },
    { "peer", e.peer_address },
    { "store", e.store_proxy->address() },
    { "grace_s", 3 },
    { "peers", peers }
  }.dump();
}

void
cluster::start(entry& e)
{
  write_settings(e);
  ++e.incarnation;
  e.undisturbed_since_ms = http::now_ms();
  e.pid =
    standins::spawn_program({ options_.program, "--settings", e.settings_file },
                            options_.folder + "/" + e.name + ".log");
}

// Restarts exited entries when their downtime is over.
void
cluster::poll_processes()
{
  const auto now = http::now_ms();
  for (auto& e : entries_) {
    if (e->pid != 0 && waitpid(e->pid, nullptr, WNOHANG) == e->pid) {
      e->pid = 0;
    }
    if (e->pid == 0 && e->should_run && now >= e->start_at_ms) {
      start(*e);
    }
  }
  pass_engine_runs();
}

// Passes new runs and failed runs to the checker. A result may be read within a
// millisecond of the answer that ended its item, so this comes before its
// check.
void
cluster::pass_engine_runs()
{
  const auto now = http::now_ms();
  for (auto& e : engines_) {
    for (; e->runs_checked < e->standin.runs.size(); ++e->runs_checked) {
      invariants_.on_run(e->standin.runs[e->runs_checked].item, now);
    }
    for (const auto& [item, count] : e->standin.failed_runs) {
      for (auto& checked = e->failures_checked[item]; checked < count;
           ++checked) {
        invariants_.on_failed_run(item);
      }
    }
    check_arrivals(*e);
  }
}

void
cluster::run_after(std::uint64_t ms, std::function<void()> action)
{
  auto t =
    std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{ ms });
  t->async_wait([t, action = std::move(action)](asio::error_code ec) {
    if (!ec) {
      action();
    }
  });
}

void
cluster::apply(const fault& f)
{
  ++applied_faults_;
  track_fault(f, 1);
  std::printf("soak: at_ms=%lu for_ms=%lu fault=%s target=%zu\n",
              static_cast<unsigned long>(f.at_ms),
              static_cast<unsigned long>(f.duration_ms),
              std::string{ name_of(f.kind) }.c_str(),
              f.target);
  const auto signal_entry = [&](entry& e, int number) {
    if (e.pid != 0) {
      kill(e.pid, number);
    }
    e.start_at_ms = http::now_ms() + f.duration_ms;
  };
  auto& e = *entries_[f.target % entries_.size()];
  auto& engine = *engines_[f.target % engines_.size()];
  const auto data_centre = data_centre_of(f.target);
  switch (f.kind) {
    case fault_kind::kill_entry:
      signal_entry(e, SIGKILL);
      break;
    case fault_kind::stop_entry:
      signal_entry(e, SIGTERM);
      break;
    case fault_kind::pause_entry:
      signal_entry(e, SIGSTOP);
      break;
    case fault_kind::reload_entry:
      signal_entry(e, SIGHUP);
      break;
    case fault_kind::kill_all:
      for (auto& each : entries_) {
        signal_entry(*each, SIGKILL);
      }
      break;
    case fault_kind::delay_store:
      e.store_proxy->set_fault(link_fault::delay);
      break;
    case fault_kind::reset_store:
      e.store_proxy->set_fault(link_fault::reset);
      break;
    case fault_kind::cut_store_one_way:
      e.store_proxy->set_fault(link_fault::one_way);
      break;
    case fault_kind::silence_store:
      e.store_proxy->set_fault(link_fault::blackhole);
      break;
    case fault_kind::delay_engine:
      engine.set_fault(link_fault::delay);
      break;
    case fault_kind::reset_engine:
      engine.set_fault(link_fault::reset);
      break;
    case fault_kind::cut_engine_one_way:
      engine.set_fault(link_fault::one_way);
      break;
    case fault_kind::silence_engine:
      engine.set_fault(link_fault::blackhole);
      break;
    case fault_kind::refuse_store:
      store_refuses_ = true;
      break;
    case fault_kind::lose_answers:
      store_loses_responses_ = true;
      break;
    case fault_kind::compact_store:
      store_.compact();
      break;
    case fault_kind::drain_data_centre:
      drain(data_centre);
      break;
    case fault_kind::cut_data_centre:
      set_data_centre_fault(data_centre, link_fault::blackhole);
      break;
    case fault_kind::restart_engine_cold:
      engine.set_fault(link_fault::reset);
      break;
    case fault_kind::load_weights:
      load_weights(engine);
      break;
    case fault_kind::abort_streams:
      set_failures(engine, false, true);
      break;
    case fault_kind::fail_resumed_runs:
      set_failures(engine, true, true);
      store_loses_responses_ = true;
      break;
    case fault_kind::relist_engine:
      store_.recreate("backends", engine.id, announcement_of(engine));
      break;
  }
}

void
cluster::heal(const fault& f)
{
  track_fault(f, -1);
  auto& e = *entries_[f.target % entries_.size()];
  auto& engine = *engines_[f.target % engines_.size()];
  switch (f.kind) {
    case fault_kind::pause_entry:
      if (e.pid != 0) {
        kill(e.pid, SIGCONT);
      }
      break;
    case fault_kind::delay_store:
    case fault_kind::reset_store:
    case fault_kind::cut_store_one_way:
    case fault_kind::silence_store:
      e.store_proxy->set_fault(link_fault::none);
      break;
    case fault_kind::delay_engine:
    case fault_kind::reset_engine:
    case fault_kind::cut_engine_one_way:
    case fault_kind::silence_engine:
      engine.set_fault(link_fault::none);
      break;
    case fault_kind::refuse_store:
      store_refuses_ = false;
      break;
    case fault_kind::lose_answers:
      store_loses_responses_ = false;
      break;
    case fault_kind::drain_data_centre:
      undrain(data_centre_of(f.target));
      break;
    case fault_kind::cut_data_centre:
      set_data_centre_fault(data_centre_of(f.target), link_fault::none);
      break;
    case fault_kind::restart_engine_cold:
      restart_cold(engine);
      break;
    case fault_kind::abort_streams:
      set_failures(engine, false, false);
      break;
    case fault_kind::fail_resumed_runs:
      set_failures(engine, true, false);
      store_loses_responses_ = false;
      break;
    default:
      break;
  }
}

cluster::entry&
cluster::random_entry()
{
  return *entries_[random_() % entries_.size()];
}

// Starts a new step. The trainer sends it again until an entry accepts it, and
// may give up only if every attempt was refused.
void
cluster::start_step(trainer& t)
{
  if (is_draining_) {
    t.is_idle = true;
    return;
  }
  const bool is_repeat =
    !t.items.empty() && random_() % steps_per_resubmission == 0;
  t.next_position = 0;
  t.only_refused = true;
  t.send_attempts = 0;
  t.is_idle = false;
  t.batch = "batch-" + std::to_string(next_id_++);
  if (is_repeat) {
    reused_items_ += t.items.size();
  } else {
    t.items.clear();
    for (std::size_t i = 0; i < items_per_step; ++i) {
      t.items.push_back(t.batch + "-" + std::to_string(i));
    }
  }
  json j{ { "model", "m" }, { "min_version", 1 }, { "items", json::array() } };
  for (std::size_t i = 0; i < items_per_step; ++i) {
    const auto& id = t.items[i];
    j["items"].push_back(
      { { "id", id },
        { "group", t.batch + "g" + std::to_string(i / items_per_group) },
        { "scorer", "score-" + id } });
  }
  t.body = j.dump();
  invariants_.on_sent(
    t.batch, { t.items.begin(), t.items.end() }, t.single_version);
  send_batch(t);
}

void
cluster::send_batch(trainer& t)
{
  ++t.send_attempts;
  const http::request r{ "POST",
                         t.single_version ? "/s/" : "/b/",
                         { { "Host", "h" }, { "Id", t.batch } },
                         t.body };
  http::exchange_options o;
  o.timeout_ms = request_timeout_ms;
  call_client_.fetch(
    random_entry().callers_address,
    r,
    o,
    [this, &t](http::exchange_outcome outcome, http::response&& response) {
      constexpr int accepted = 202;
      constexpr int refused = 503;
      if (outcome == http::exchange_outcome::complete &&
          response.status == accepted) {
        invariants_.on_accepted(t.batch);
        read_results(t);
        return;
      }
      const bool not_run = outcome == http::exchange_outcome::not_sent ||
                           (outcome == http::exchange_outcome::complete &&
                            response.status == refused);
      t.only_refused = t.only_refused && not_run;
      const bool gives_up =
        t.only_refused && random_() % refusals_per_give_up == 0;
      if (gives_up || (is_draining_ && t.only_refused)) {
        invariants_.on_refused(t.batch);
        start_step(t);
        return;
      }
      run_after(retry_interval_ms, [this, &t] {
        if (!has_finished_) {
          send_batch(t);
        }
      });
    });
}

// Reads from the current position and sometimes from the start again.
void
cluster::read_results(trainer& t)
{
  const auto from = random_() % 4 == 0 ? 0 : t.next_position;
  const auto asked_ms = http::now_ms();
  const http::request r{ "GET",
                         "/batches/" + t.batch +
                           "?after=" + std::to_string(from) + "&wait=500",
                         { { "Host", "h" } },
                         "" };
  http::exchange_options o;
  o.timeout_ms = request_timeout_ms;
  call_client_.fetch(
    random_entry().callers_address,
    r,
    o,
    [this, &t, from, asked_ms](http::exchange_outcome outcome,
                               http::response&& response) {
      constexpr int ok = 200;
      constexpr int missing = 404;
      if (has_finished_) {
        return;
      }
      if (outcome == http::exchange_outcome::complete &&
          response.status == missing) {
        invariants_.on_missing(t.batch, asked_ms);
      }
      const auto page = json::parse(response.body, nullptr, false);
      if (outcome == http::exchange_outcome::complete &&
          response.status == ok && page.is_object()) {
        std::vector<observed_result> results;
        for (const auto& x : page.at("results")) {
          results.push_back({ x.at("id"),
                              x.at("done"),
                              x.at("text"),
                              x.at("score"),
                              x.at("versions") });
        }
        pass_engine_runs();
        invariants_.on_page(t.batch, asked_ms, http::now_ms(), from, results);
        t.next_position = invariants_.results_seen(t.batch);
      }
      const bool ends_early =
        !is_draining_ && t.next_position > 0 &&
        random_() % (steps_per_early_end * items_per_step) == 0;
      if (t.next_position == items_per_step || ends_early) {
        end_batch(t);
        return;
      }
      run_after(read_interval_ms, [this, &t] {
        if (!has_finished_) {
          read_results(t);
        }
      });
    });
}

void
cluster::end_batch(trainer& t)
{
  const http::request r{
    "DELETE", "/batches/" + t.batch, { { "Host", "h" } }, ""
  };
  http::exchange_options o;
  o.timeout_ms = request_timeout_ms;
  call_client_.fetch(
    random_entry().callers_address,
    r,
    o,
    [this, &t](http::exchange_outcome outcome, http::response&& response) {
      constexpr int ok = 200;
      if (has_finished_) {
        return;
      }
      if (outcome == http::exchange_outcome::complete &&
          response.status == ok) {
        invariants_.on_ended(t.batch, http::now_ms());
        start_step(t);
        return;
      }
      run_after(retry_interval_ms, [this, &t] {
        if (!has_finished_) {
          end_batch(t);
        }
      });
    });
}

// Sends a non-idempotent call, over connections that stay open until the
// process exits.
void
cluster::send_call()
{
  if (is_draining_) {
    return;
  }
  const auto id = "call-" + std::to_string(next_id_++);
  const http::request r{
    "POST", "/call/x", { { "Host", "h" }, { "Id", id } }, "hold"
  };
  http::exchange_options o;
  o.timeout_ms = request_timeout_ms;
  call_client_.fetch(
    random_entry().callers_address,
    r,
    o,
    [this, id](http::exchange_outcome outcome, http::response&& response) {
      if (outcome == http::exchange_outcome::complete) {
        const auto signature =
          std::string{ http::find(response.fields, "Signature").value_or("") };
        invariants_.on_call_answer(
          id, response.status, response.body, signature);
      }
    });
  run_after(call_interval_ms, [this] { send_call(); });
}

void
cluster::run_for(std::uint64_t ms)
{
  const auto until = http::now_ms() + ms;
  while (http::now_ms() < until) {
    io_.run_one_for(std::chrono::milliseconds{ 10 });
    io_.poll();
    poll_processes();
  }
}

bool
cluster::all_work_done() const
{
  return std::all_of(trainers_.begin(), trainers_.end(), [](const auto& t) {
    return t->is_idle;
  });
}

// Sends more items at once than all engines but one run, and expects that each
// engine gets some: the faults must not have left one counted as busy.
void
cluster::check_engines_are_used()
{
  std::map<std::string, std::size_t> runs_before;
  for (const auto& e : engines_) {
    runs_before[e->id] = e->standin.runs.size();
  }
  is_draining_ = false;
  const auto steps = engines_.size() * slots_per_engine / items_per_step;
  while (trainers_.size() < steps) {
    trainers_.push_back(std::make_unique<trainer>());
  }
  for (auto& t : trainers_) {
    t->items.clear();
    start_step(*t);
  }
  is_draining_ = true;
  const auto deadline = http::now_ms() + drain_limit_ms;
  while (!all_work_done() && http::now_ms() < deadline) {
    run_for(poll_interval_ms);
  }
  for (const auto& e : engines_) {
    if (e->standin.runs.size() == runs_before[e->id]) {
      invariants_.on_idle_engine(e->id);
    }
  }
}

// Schedules changes at regular intervals or, with `only_store_paths`, just
// after each fault on a connection to the store, when a change may be learned
// late.
void
cluster::schedule_changes()
{
  const auto change_at = [this](std::uint64_t at_ms) {
    run_after(at_ms, [this] { change_configuration(); });
  };
  if (options_.plan.only_store_paths) {
    for (const auto& f : make_plan(options_.plan)) {
      change_at(f.at_ms + change_delay_after_fault_ms);
    }
    return;
  }
  for (auto at = change_interval_ms; at < options_.plan.length_ms;
       at += change_interval_ms) {
    change_at(at);
  }
}

void
cluster::run()
{
  constexpr std::uint64_t startup_ms = 800;
  run_for(startup_ms);
  for (auto& t : trainers_) {
    start_step(*t);
  }
  send_call();
  probe_entries();
  schedule_changes();
  std::uint64_t last_end_ms = options_.plan.length_ms;
  for (const auto& f : make_plan(options_.plan)) {
    run_after(f.at_ms, [this, f] { apply(f); });
    run_after(f.at_ms + f.duration_ms, [this, f] { heal(f); });
    last_end_ms = std::max(last_end_ms, f.at_ms + f.duration_ms);
  }
  run_for(last_end_ms + poll_interval_ms);
  is_draining_ = true;
  const auto deadline = http::now_ms() + drain_limit_ms;
  while (!all_work_done() && http::now_ms() < deadline) {
    run_for(poll_interval_ms);
  }
  if (all_work_done()) {
    check_engines_are_used();
  }
  has_finished_ = true;
  invariants_.finish();
}

} // namespace cactusford::soak
