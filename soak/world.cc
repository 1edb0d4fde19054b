#include "soak/world.h"

#include "cactusford/http/socket.h"
#include "standins/child.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <sys/wait.h>
#include <unistd.h>

namespace cactusford::soak {

namespace {

using nlohmann::json;

// The work: each trainer has a step of some groups open, and calls that may run
// once come all the time.
constexpr std::size_t items_of_step = 8;
constexpr std::size_t items_of_group = 2;
constexpr std::uint64_t event_gap_ms = 15;
constexpr std::uint64_t call_gap_ms = 40;
constexpr std::uint64_t read_pause_ms = 200;
constexpr std::uint64_t send_pause_ms = 150;
constexpr std::uint64_t answer_limit_ms = 3000;

// The configuration changes this often; each entry is asked for the routes of
// the newest version and of the one before.
constexpr std::uint64_t change_pause_ms = 3100;
constexpr std::uint64_t change_after_fault_ms = 50;
constexpr std::uint64_t probe_pause_ms = 250;

// Probes may run more than once, other calls may not.
constexpr std::string_view probe_prefix = "probe-";

// An entry that was disturbed may be late for so long.
constexpr std::uint64_t contact_ms = 3000;

// After the last fault: the longest time in which everything must be whole.
constexpr std::uint64_t wind_up_ms = 25000;

// A share of the steps is ended by its trainer before it is whole, and some
// trainers give up after refusals.
constexpr std::uint64_t early_end_of = 4;
constexpr std::uint64_t give_up_of = 3;

std::string
address_of(std::uint16_t port)
{
  return "127.0.0.1:" + std::to_string(port);
}

// Ports that are free now, held until all others of this process are bound.
// They are below those that the system gives out by itself: while an entry is
// down, its port must not become that of some other program, such as another
// soak, to which its peers would then talk.
class reserved_ports
{
public:
  explicit reserved_ports(asio::io_context& io)
    : io_{ io }
    , next_{ static_cast<std::uint16_t>(
        first_port + static_cast<unsigned>(getpid()) % blocks * block) }
  {
  }

  std::string next()
  {
    using asio::ip::tcp;
    for (;;) {
      const tcp::endpoint at{ asio::ip::address_v4::loopback(), next_++ };
      tcp::acceptor a{ io_, at.protocol() };
      asio::error_code ec;
      a.bind(at, ec);
      if (!ec) {
        held_.push_back(std::move(a));
        return address_of(at.port());
      }
    }
  }

private:
  // A block of ports for each process, so that soaks side by side keep apart.
  static constexpr unsigned first_port = 10000;
  static constexpr unsigned block = 100;
  static constexpr unsigned blocks = 200;

  asio::io_context& io_;
  std::uint16_t next_;
  std::vector<asio::ip::tcp::acceptor> held_;
};

} // namespace

struct world::entry
{
  std::string name;
  std::string callers;
  std::string peer;
  std::string settings;
  std::unique_ptr<proxy> to_store;
  pid_t pid = 0;
  // It is to be started again when it has ended.
  bool wanted = true;
  std::uint64_t start_at_ms = 0;
  std::uint64_t life = 0;
  // Faults under way, and when the last one began or ended, or it started.
  int faults = 0;
  std::uint64_t calm_since_ms = 0;
};

struct world::engine
{
  engine(asio::io_context& io, const std::string& id)
    : real{ io, id }
    , link{ io, real.address() }
  {
    real.events = item_events;
    real.gap_ms = event_gap_ms;
  }

  standins::stream_engine real;
  proxy link;
  std::size_t runs_judged = 0;
};

struct world::trainer
{
  std::string batch;
  std::string body;
  std::size_t next = 0;
  // Every answer so far says that nothing runs.
  bool only_refused = true;
  int sends = 0;
  bool idle = true;
};

world::world(soak_options o)
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
                  judge_.on_call_run(id);
                }
                c.respond({ 200,
                            { { "Id", id }, { "Signature", "sig-" + id } },
                            "answer-" + id });
              } }
  , callers_{ io_ }
  , probers_{ io_ }
{
  std::filesystem::create_directories(options_.folder);
  service_.listen("127.0.0.1:0");
  store_.inject_fault = [this](const store::call& c) {
    using fault = standins::object_store::fault;
    constexpr std::uint64_t lost_of = 3;
    const bool write = c.op != store::operation::watch &&
                       c.op != store::operation::list &&
                       c.op != store::operation::get;
    if (refusing_) {
      return fault::refuse;
    }
    const bool lose = losing_ && write && random_() % lost_of == 0;
    return lose ? fault::drop_response : fault::none;
  };
  reserved_ports ports{ io_ };
  for (std::size_t i = 0; i < options_.plan.engines; ++i) {
    engines_.push_back(
      std::make_unique<engine>(io_, "engine-" + std::to_string(i)));
  }
  for (std::size_t i = 0; i < options_.plan.entries; ++i) {
    auto e = std::make_unique<entry>();
    e->name = "entry-" + std::to_string(i);
    e->callers = ports.next();
    e->peer = ports.next();
    e->to_store = std::make_unique<proxy>(io_, store_.address());
    entries_.push_back(std::move(e));
  }
  for (std::size_t i = 0; i < options_.trainers; ++i) {
    trainers_.push_back(std::make_unique<trainer>());
  }
  change_configuration();
  const auto announce = [&](const std::string& id,
                            const char* service,
                            const std::string& address) {
    constexpr int slots = 64;
    store_.put("backends",
               id,
               { { "service", service },
                 { "address", address },
                 { "slots", slots },
                 { "version", 1 } });
  };
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    announce(
      "engine-" + std::to_string(i), "engines", engines_[i]->link.address());
  }
  announce("scorer", "scorers", engines_[0]->real.address());
  announce("service", "calls", address_of(service_.port()));
}

world::~world()
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

std::string
name_of_version(std::uint64_t version)
{
  return "version-" + std::to_string(version);
}

} // namespace

// Each version adds a route of its own and takes that of the last one away.
void
world::change_configuration()
{
  using routes::call_kind;
  ++version_;
  store_.put(
    "configuration",
    "main",
    { { "version", version_ },
      { "routes",
        { route("b", "engines", call_kind::rollout),
          route("score", "scorers", call_kind::idempotent),
          route("call", "calls", call_kind::non_idempotent),
          route(
            name_of_version(version_), "calls", call_kind::idempotent) } } });
  changes_.on_confirmed(version_, http::now_ms());
}

bool
world::is_undisturbed(const entry& e) const
{
  const auto now = http::now_ms();
  return e.pid != 0 && e.faults == 0 && store_faults_ == 0 &&
         now - e.calm_since_ms >= contact_ms &&
         now - store_calm_since_ms_ >= contact_ms;
}

void
world::probe_entry(std::size_t i, std::uint64_t version)
{
  auto& e = *entries_[i];
  const auto id = std::string{ probe_prefix } + std::to_string(next_id_++);
  const http::request r{ "GET",
                         "/" + name_of_version(version) + "/x",
                         { { "Host", "h" }, { "Id", id } },
                         "" };
  http::exchange_options o;
  o.timeout_ms = answer_limit_ms;
  const bool was_undisturbed = is_undisturbed(e);
  probe p{ e.name, e.life, version, http::now_ms(), 0, false, false };
  probers_.fetch(e.callers,
                 r,
                 o,
                 [this, &e, p, was_undisturbed](http::exchange_outcome end,
                                                http::response&& a) mutable {
                   constexpr int ok = 200;
                   constexpr int missing = 404;
                   if (end != http::exchange_outcome::complete ||
                       e.life != p.life ||
                       (a.status != ok && a.status != missing)) {
                     return;
                   }
                   p.answered_ms = http::now_ms();
                   p.is_served = a.status == ok;
                   p.was_undisturbed = was_undisturbed && is_undisturbed(e);
                   changes_.on_answer(p);
                 });
}

void
world::probe_entries()
{
  if (winding_up_) {
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
  after(probe_pause_ms, [this] { probe_entries(); });
}

void
world::note_disturbance(const fault& f, int begins)
{
  const auto now = http::now_ms();
  const bool of_store = f.kind >= fault_kind::refuse_store;
  const bool of_engine =
    f.kind >= fault_kind::delay_engine && f.kind <= fault_kind::silence_engine;
  if (of_store) {
    store_faults_ += begins;
    store_calm_since_ms_ = now;
  }
  if (of_store || of_engine) {
    return;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const bool is_target = i == f.target % entries_.size();
    if (is_target || f.kind == fault_kind::kill_all) {
      entries_[i]->faults += begins;
      entries_[i]->calm_since_ms = now;
    }
  }
}

void
world::write_settings(entry& e)
{
  json peers = json::array();
  constexpr std::size_t relays = 3;
  for (std::size_t i = 0; i < std::min(relays, entries_.size()); ++i) {
    peers.push_back(entries_[i]->peer);
  }
  e.settings = options_.folder + "/" + e.name + ".json";
  std::ofstream{ e.settings } << json{
    { "instance", e.name },
    { "data_centre", "a" },
    { "callers", e.callers },
    { "peer", e.peer },
    { "store", e.to_store->address() },
    { "grace_s", 3 },
    { "peers", peers }
  }.dump();
}

void
world::start(entry& e)
{
  write_settings(e);
  ++e.life;
  e.calm_since_ms = http::now_ms();
  e.pid =
    standins::spawn_program({ options_.program, "--settings", e.settings },
                            options_.folder + "/" + e.name + ".log");
}

// Entries that ended are started again when it is time.
void
world::note_exits()
{
  const auto now = http::now_ms();
  for (auto& e : entries_) {
    if (e->pid != 0 && waitpid(e->pid, nullptr, WNOHANG) == e->pid) {
      e->pid = 0;
    }
    if (e->pid == 0 && e->wanted && now >= e->start_at_ms) {
      start(*e);
    }
  }
  for (auto& e : engines_) {
    for (; e->runs_judged < e->real.runs.size(); ++e->runs_judged) {
      judge_.on_run(e->real.runs[e->runs_judged].item, now);
    }
  }
}

void
world::after(std::uint64_t ms, std::function<void()> run)
{
  auto t =
    std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{ ms });
  t->async_wait([t, run = std::move(run)](asio::error_code ec) {
    if (!ec) {
      run();
    }
  });
}

void
world::apply(const fault& f)
{
  ++faults_;
  note_disturbance(f, 1);
  std::printf("soak: at_ms=%lu for_ms=%lu fault=%s target=%zu\n",
              static_cast<unsigned long>(f.at_ms),
              static_cast<unsigned long>(f.for_ms),
              std::string{ name_of(f.kind) }.c_str(),
              f.target);
  const auto signal_entry = [&](entry& e, int number) {
    if (e.pid != 0) {
      kill(e.pid, number);
    }
    e.start_at_ms = http::now_ms() + f.for_ms;
  };
  auto& e = *entries_[f.target % entries_.size()];
  auto& link = engines_[f.target % engines_.size()]->link;
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
      e.to_store->set(harm::delay);
      break;
    case fault_kind::reset_store:
      e.to_store->set(harm::reset);
      break;
    case fault_kind::cut_store_one_way:
      e.to_store->set(harm::one_way);
      break;
    case fault_kind::silence_store:
      e.to_store->set(harm::silence);
      break;
    case fault_kind::delay_engine:
      link.set(harm::delay);
      break;
    case fault_kind::reset_engine:
      link.set(harm::reset);
      break;
    case fault_kind::cut_engine_one_way:
      link.set(harm::one_way);
      break;
    case fault_kind::silence_engine:
      link.set(harm::silence);
      break;
    case fault_kind::refuse_store:
      refusing_ = true;
      break;
    case fault_kind::lose_answers:
      losing_ = true;
      break;
    case fault_kind::compact_store:
      store_.compact();
      break;
  }
}

void
world::heal(const fault& f)
{
  note_disturbance(f, -1);
  auto& e = *entries_[f.target % entries_.size()];
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
      e.to_store->set(harm::none);
      break;
    case fault_kind::delay_engine:
    case fault_kind::reset_engine:
    case fault_kind::cut_engine_one_way:
    case fault_kind::silence_engine:
      engines_[f.target % engines_.size()]->link.set(harm::none);
      break;
    case fault_kind::refuse_store:
      refusing_ = false;
      break;
    case fault_kind::lose_answers:
      losing_ = false;
      break;
    default:
      break;
  }
}

world::entry&
world::any_entry()
{
  return *entries_[random_() % entries_.size()];
}

// A new step. Trainers send again until some entry has taken it, or give up
// after refusals alone.
void
world::submit(trainer& t)
{
  if (winding_up_) {
    t.idle = true;
    return;
  }
  t = {};
  t.idle = false;
  t.batch = "batch-" + std::to_string(next_id_++);
  json j{ { "model", "m" }, { "min_version", 1 }, { "items", json::array() } };
  std::set<std::string> items;
  for (std::size_t i = 0; i < items_of_step; ++i) {
    const auto id = t.batch + "-" + std::to_string(i);
    items.insert(id);
    j["items"].push_back(
      { { "id", id },
        { "group", t.batch + "g" + std::to_string(i / items_of_group) },
        { "scorer", "score-" + id } });
  }
  t.body = j.dump();
  judge_.on_sent(t.batch, items);
  send_batch(t);
}

void
world::send_batch(trainer& t)
{
  ++t.sends;
  const http::request r{
    "POST", "/b/", { { "Host", "h" }, { "Id", t.batch } }, t.body
  };
  http::exchange_options o;
  o.timeout_ms = answer_limit_ms;
  callers_.fetch(
    any_entry().callers,
    r,
    o,
    [this, &t](http::exchange_outcome end, http::response&& a) {
      constexpr int accepted = 202;
      constexpr int refused = 503;
      if (end == http::exchange_outcome::complete && a.status == accepted) {
        judge_.on_accepted(t.batch);
        read(t);
        return;
      }
      const bool not_run =
        end == http::exchange_outcome::not_sent ||
        (end == http::exchange_outcome::complete && a.status == refused);
      t.only_refused = t.only_refused && not_run;
      const bool gives_up = t.only_refused && random_() % give_up_of == 0;
      if (gives_up || (winding_up_ && t.only_refused)) {
        judge_.on_refused(t.batch);
        submit(t);
        return;
      }
      after(send_pause_ms, [this, &t] {
        if (!over_) {
          send_batch(t);
        }
      });
    });
}

// From where it is, and now and then from the start.
void
world::read(trainer& t)
{
  const auto from = random_() % 4 == 0 ? 0 : t.next;
  const auto asked = http::now_ms();
  const http::request r{ "GET",
                         "/batches/" + t.batch +
                           "?after=" + std::to_string(from) + "&wait=500",
                         { { "Host", "h" } },
                         "" };
  http::exchange_options o;
  o.timeout_ms = answer_limit_ms;
  callers_.fetch(
    any_entry().callers,
    r,
    o,
    [this, &t, from, asked](http::exchange_outcome end, http::response&& a) {
      constexpr int ok = 200;
      constexpr int missing = 404;
      if (over_) {
        return;
      }
      if (end == http::exchange_outcome::complete && a.status == missing) {
        judge_.on_missing(t.batch, asked);
      }
      const auto page = json::parse(a.body, nullptr, false);
      if (end == http::exchange_outcome::complete && a.status == ok &&
          page.is_object()) {
        std::vector<seen_result> results;
        for (const auto& x : page.at("results")) {
          results.push_back(
            { x.at("id"), x.at("done"), x.at("text"), x.at("score") });
        }
        judge_.on_page(t.batch, asked, http::now_ms(), from, results);
        t.next = judge_.shown(t.batch);
      }
      const bool early = !winding_up_ && t.next > 0 &&
                         random_() % (early_end_of * items_of_step) == 0;
      if (t.next == items_of_step || early) {
        end_batch(t);
        return;
      }
      after(read_pause_ms, [this, &t] {
        if (!over_) {
          read(t);
        }
      });
    });
}

void
world::end_batch(trainer& t)
{
  const http::request r{
    "DELETE", "/batches/" + t.batch, { { "Host", "h" } }, ""
  };
  http::exchange_options o;
  o.timeout_ms = answer_limit_ms;
  callers_.fetch(any_entry().callers,
                 r,
                 o,
                 [this, &t](http::exchange_outcome end, http::response&& a) {
                   constexpr int ok = 200;
                   if (over_) {
                     return;
                   }
                   if (end == http::exchange_outcome::complete &&
                       a.status == ok) {
                     judge_.on_ended(t.batch, http::now_ms());
                     submit(t);
                     return;
                   }
                   after(send_pause_ms, [this, &t] {
                     if (!over_) {
                       end_batch(t);
                     }
                   });
                 });
}

// A call that may run once at most, over connections that stay open until the
// process is gone.
void
world::call_plain()
{
  if (winding_up_) {
    return;
  }
  const auto id = "call-" + std::to_string(next_id_++);
  const http::request r{
    "POST", "/call/x", { { "Host", "h" }, { "Id", id } }, "hold"
  };
  http::exchange_options o;
  o.timeout_ms = answer_limit_ms;
  callers_.fetch(
    any_entry().callers,
    r,
    o,
    [this, id](http::exchange_outcome end, http::response&& a) {
      if (end == http::exchange_outcome::complete) {
        const auto signature =
          std::string{ http::find(a.fields, "Signature").value_or("") };
        judge_.on_call_answer(id, a.status, a.body, signature);
      }
    });
  after(call_gap_ms, [this] { call_plain(); });
}

void
world::run_for(std::uint64_t ms)
{
  const auto until = http::now_ms() + ms;
  while (http::now_ms() < until) {
    io_.run_one_for(std::chrono::milliseconds{ 10 });
    io_.poll();
    note_exits();
  }
}

bool
world::all_work_done() const
{
  return std::all_of(
    trainers_.begin(), trainers_.end(), [](const auto& t) { return t->idle; });
}

// Regularly, or just after a path to the store was harmed: that is when a
// change may be learned late.
void
world::plan_changes()
{
  const auto change_at = [this](std::uint64_t at_ms) {
    after(at_ms, [this] { change_configuration(); });
  };
  if (options_.plan.only_store_paths) {
    for (const auto& f : make_plan(options_.plan)) {
      change_at(f.at_ms + change_after_fault_ms);
    }
    return;
  }
  for (auto at = change_pause_ms; at < options_.plan.length_ms;
       at += change_pause_ms) {
    change_at(at);
  }
}

void
world::play()
{
  constexpr std::uint64_t start_ms = 800;
  constexpr std::uint64_t look_ms = 100;
  run_for(start_ms);
  for (auto& t : trainers_) {
    submit(*t);
  }
  call_plain();
  probe_entries();
  plan_changes();
  std::uint64_t last = options_.plan.length_ms;
  for (const auto& f : make_plan(options_.plan)) {
    after(f.at_ms, [this, f] { apply(f); });
    after(f.at_ms + f.for_ms, [this, f] { heal(f); });
    last = std::max(last, f.at_ms + f.for_ms);
  }
  run_for(last + look_ms);
  winding_up_ = true;
  const auto limit = http::now_ms() + wind_up_ms;
  while (!all_work_done() && http::now_ms() < limit) {
    run_for(look_ms);
  }
  over_ = true;
  judge_.finish();
}

} // namespace cactusford::soak
