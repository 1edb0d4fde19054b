// A request that ends every backend server that runs it: entries as processes,
// the store and the servers in the test.
#include "cactusford/http/client.h"
#include "cactusford/http/socket.h"
#include "cactusford/testing/section.h"
#include "standins/child.h"
#include "standins/frail_service.h"
#include "standins/object_store.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include <sys/wait.h>

using namespace cactusford;
using nlohmann::json;
using standins::frail_service;
using standins::object_store;

namespace {

constexpr const char* program = CACTUSFORD_BINARY "/bin/cactusford-soak-edge";

// Longer than any step here takes; reached only when something hangs.
constexpr std::uint64_t hang_ms = 30000;

// How long instances may take to hear of each other, by the promise: after that
// a request that ended three servers reaches no more than three.
constexpr std::uint64_t contact_ms = 3000;
constexpr std::size_t ends_before = 3;
constexpr std::size_t late_runs_allowed = 3;

constexpr const char* fatal = "fatal";

struct answer
{
  http::end_state end = http::end_state::not_sent;
  http::response value;
};

struct entry
{
  std::string name;
  std::string callers;
  std::string peer;
  std::string ready;
  pid_t pid = 0;
};

struct world
{
  asio::io_context io;
  http::client http{ io };
  object_store store{ io };
  frail_service service;
  std::vector<entry> entries;
  std::string folder;
  int next_id = 0;

  world(const std::string& name, std::size_t count)
    : service{ io,
               store,
               { "calls",
                 4,
                 30,
                 400,
                 [](const http::request& r) { return r.body == fatal; } } }
    , folder{ std::string{ CACTUSFORD_BINARY } + "/tests/quarantine-" + name }
  {
    std::filesystem::create_directories(folder);
    choose_addresses(count);
    configure();
    for (auto& e : entries) {
      start(e);
    }
    wait_ready();
  }

  ~world() { end_all(); }

  void choose_addresses(std::size_t count)
  {
    using asio::ip::tcp;
    const tcp::endpoint any{ asio::ip::address_v4::loopback(), 0 };
    std::vector<tcp::acceptor> held;
    const auto next = [&] {
      const auto port = held.emplace_back(io, any).local_endpoint().port();
      return "127.0.0.1:" + std::to_string(port);
    };
    for (std::size_t i = 0; i < count; ++i) {
      entries.push_back(
        { "entry-" + std::to_string(i), next(), next(), next() });
    }
  }

  void configure()
  {
    const auto route = [](const char* prefix, routes::call_kind kind) {
      return json{ { "name", prefix },     { "prefix", prefix },
                   { "service", "calls" }, { "kind", static_cast<int>(kind) },
                   { "attempts", 2 },      { "timeout_ms", 2000 } };
    };
    using routes::call_kind;
    store.put("configuration",
              "main",
              { { "version", 1 },
                { "routes",
                  { route("/look/", call_kind::idempotent),
                    route("/book/", call_kind::non_idempotent),
                    route("/stream/", call_kind::streaming) } } });
  }

  void start(entry& e)
  {
    json peers = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(entries.size(), 2); ++i) {
      peers.push_back(entries[i].peer);
    }
    const auto path = folder + "/" + e.name + ".json";
    std::ofstream{ path } << json{
      { "instance", e.name },
      { "data_centre", "a" },
      { "callers", e.callers },
      { "peer", e.peer },
      { "ready", e.ready },
      { "store", store.address() },
      { "peers", peers },
      { "grace_s", 3 },
      { "log_lines_per_second", 1000 }
    }.dump();
    e.pid = standins::spawn_program({ program, "--settings", path },
                                    folder + "/" + e.name + ".log");
    cr_assert_gt(e.pid, 0);
  }

  static void end(entry& e)
  {
    if (e.pid != 0) {
      kill(e.pid, SIGKILL);
      waitpid(e.pid, nullptr, 0);
      e.pid = 0;
    }
  }

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + hang_ms;
    while (!done()) {
      if (http::now_ms() >= limit) {
        end_all();
        cr_assert_fail("it hangs");
      }
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  // A failed assertion leaves the test without its destructors. Entries that it
  // left behind would ask for their store for ever, at a port that some other
  // program has by then: the soak met such requests at an engine.
  void end_all()
  {
    for (auto& e : entries) {
      end(e);
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = http::now_ms() + ms;
    run_until([until] { return http::now_ms() >= until; });
  }

  answer ask(const std::string& address, const http::request& r)
  {
    std::optional<answer> got;
    http::exchange_options o;
    o.timeout_ms = 5000;
    http.fetch(address, r, o, [&](http::end_state end, http::response&& a) {
      got = { end, std::move(a) };
    });
    run_until([&] { return got.has_value(); });
    return *got;
  }

  void wait_ready()
  {
    for (const auto& e : entries) {
      const http::request r{ "GET", "/", { { "Host", "h" } }, "" };
      while (ask(e.ready, r).value.status != 200) {
        run_for(20);
      }
    }
  }

  answer call(std::size_t at,
              const std::string& body,
              const std::string& target = "/look/",
              const std::string& key = {})
  {
    const auto id = "r" + std::to_string(++next_id);
    http::request r{ "POST",
                     target,
                     { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
                     body };
    if (!key.empty()) {
      r.fields.push_back({ "Authorization", "Bearer " + key });
    }
    return ask(entries.at(at).callers, r);
  }

  void wait_servers()
  {
    run_until([this] { return service.all_up(); });
    // Entries gather changes of backend servers before they ask again.
    constexpr std::uint64_t heard_ms = 800;
    run_for(heard_ms);
  }

  // Sends a fatal request to one entry after the other until three servers
  // have ended under it.
  void end_three(const std::string& target = "/look/",
                 const std::string& key = {})
  {
    const auto before = service.ends();
    for (std::size_t at = 0; service.ends() < before + ends_before; ++at) {
      wait_servers();
      call(at % entries.size(), fatal, target, key);
    }
    wait_servers();
  }

  std::size_t fatal_runs() const
  {
    const auto& all = service.runs();
    return static_cast<std::size_t>(std::count(all.begin(), all.end(), fatal));
  }
};

// Refused, with a time that says minutes: a server that is down is back sooner.
bool
is_kept_out(const answer& a)
{
  constexpr std::uint64_t least_s = 60;
  const auto back_s = http::number(a.value.fields, "Retry-After");
  return a.value.status == 503 && back_s.value_or(0) >= least_s;
}

// It comes twice more at each entry, while others are served.
void
expect_kept_out(world& w, const std::string& target)
{
  const auto before = w.fatal_runs();
  std::size_t served = 0;
  for (std::size_t i = 0; i < 2 * w.entries.size(); ++i) {
    const auto at = i % w.entries.size();
    cr_expect(is_kept_out(w.call(at, fatal, target)));
    served += w.call(at, "other", target).value.status == 200 ? 1 : 0;
    w.wait_servers();
  }
  cr_expect_leq(w.fatal_runs() - before, late_runs_allowed);
  cr_expect_eq(served, 2 * w.entries.size());
}

} // namespace

// A caller's request ends each server that runs it. It comes again at one entry
// after the other, and all servers of the service go down together, again and
// again, while its callers are refused. Each entry judges each attempt alone:
// nothing remembers that servers have ended under this request, so it is sent
// to two more whenever it comes. Proof: the same fingerprint in all rounds.
Test(quarantine, keeps_out_a_request_that_ends_servers, .timeout = 120)
{
  world w{ "plain", 3 };
  cr_assert_eq(w.call(0, "other").value.status, 200);
  w.end_three();
  w.run_for(contact_ms);
  expect_kept_out(w, "/look/");
}

// The same, for a booking, which runs once at most, and for a stream. Neither
// is tried a second time, so that each arrival ends one server and is answered
// 502: it may have run. From the fourth on the caller is told that it has not.
Test(quarantine, keeps_out_bookings_and_streams_too, .timeout = 120)
{
  world w{ "ways", 2 };
  for (const auto* target : { "/book/", "/stream/" }) {
    w.end_three(target);
    w.run_for(contact_ms);
    expect_kept_out(w, target);
  }
}

// One caller's request ends servers; what another caller sends under a key of
// its own may run well, with the same path and body.
Test(quarantine, keeps_out_one_callers_request_not_anothers, .timeout = 120)
{
  world w{ "keyed", 2 };
  w.end_three("/look/", "key-1");
  w.run_for(contact_ms);
  const auto before = w.fatal_runs();
  for (std::size_t at = 0; at < w.entries.size(); ++at) {
    cr_expect(is_kept_out(w.call(at, fatal, "/look/", "key-1")));
  }
  cr_expect_eq(w.fatal_runs(), before);
  cr_expect_not(is_kept_out(w.call(0, fatal, "/look/", "key-2")));
  cr_expect_gt(w.fatal_runs(), before);
}

// A request is kept out. All entries are killed, and one that never saw it is
// added. What they know of it would go with them: each start would cost three
// servers. It stands in the store, and an entry is not ready before it has read
// it.
Test(quarantine, entries_that_start_anew_know_it, .timeout = 120)
{
  world w{ "anew", 3 };
  w.end_three();
  w.run_for(contact_ms);
  const auto before = w.fatal_runs();
  for (auto& e : w.entries) {
    world::end(e);
  }
  for (auto& e : w.entries) {
    w.start(e);
  }
  w.wait_ready();
  for (std::size_t at = 0; at < w.entries.size(); ++at) {
    cr_expect(is_kept_out(w.call(at, fatal)));
    cr_expect_eq(w.call(at, "other").value.status, 200);
  }
  cr_expect_eq(w.fatal_runs(), before);
}

// The store is away while servers end under a request. The entry that sees it
// keeps it out alone; the others hear of it when the store is back.
Test(quarantine, reports_wait_for_the_store, .timeout = 120)
{
  world w{ "away", 2 };
  cr_assert_eq(w.call(0, "other").value.status, 200);
  bool is_away = true;
  w.store.faults = [&](const store::call& c) {
    const bool is_report = c.op == store::operation::create;
    return is_away && is_report ? object_store::fault::refuse
                                : object_store::fault::none;
  };
  while (w.service.ends() < ends_before) {
    w.wait_servers();
    w.call(0, fatal);
  }
  w.wait_servers();
  cr_expect(is_kept_out(w.call(0, fatal)));
  const auto before = w.fatal_runs();
  is_away = false;
  w.run_for(contact_ms);
  cr_expect(is_kept_out(w.call(1, fatal)));
  cr_expect_eq(w.fatal_runs(), before);
}

namespace {

// Callers that ask for the same twenty things all the time, at all entries, and
// come back once when they are not served.
struct healthy_callers
{
  world& w;
  std::size_t asked = 0;
  std::size_t kept_out = 0;
  std::size_t at_once = 0;
  bool is_stopped = false;

  static constexpr std::size_t kinds = 20;
  static constexpr std::uint64_t gap_ms = 10;

  void go_on()
  {
    if (is_stopped) {
      return;
    }
    ++asked;
    ++at_once;
    const auto id = "h" + std::to_string(asked);
    const auto body = "lookup-" + std::to_string(asked % kinds);
    http::exchange_options o;
    o.timeout_ms = 5000;
    w.http.fetch(w.entries[asked % w.entries.size()].callers,
                 { "POST",
                   "/look/",
                   { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
                   body },
                 o,
                 [this](http::end_state end, http::response&& a) {
                   --at_once;
                   kept_out += is_kept_out({ end, std::move(a) }) ? 1 : 0;
                 });
    auto t = std::make_shared<asio::steady_timer>(
      w.io, std::chrono::milliseconds{ gap_ms });
    t->async_wait([this, t](asio::error_code ec) {
      if (!ec) {
        go_on();
      }
    });
  }

  void stop()
  {
    is_stopped = true;
    w.run_until([this] { return at_once == 0; });
    w.run_for(2 * gap_ms);
  }

  // All kinds are served now.
  void expect_served()
  {
    w.wait_servers();
    for (std::size_t k = 0; k < kinds; ++k) {
      const auto body = "lookup-" + std::to_string(k);
      cr_expect_eq(w.call(k % w.entries.size(), body).value.status, 200);
    }
  }
};

} // namespace

// A hundred healthy calls a second run beside a request that ends servers, and
// die with it, some of them twice. It is kept out; none of them ever is.
Test(quarantine, callers_beside_it_are_served, .timeout = 120)
{
  world w{ "beside", 3 };
  healthy_callers healthy{ w };
  healthy.go_on();
  w.end_three();
  w.run_for(contact_ms);
  expect_kept_out(w, "/look/");
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.asked, 100);
  cr_expect_eq(healthy.kept_out, 0);
}

// Servers end for causes of their own, one or all of them at a time, and others
// have all their connections reset. The same calls come all the time and die
// again and again. None of them is kept out.
Test(quarantine,
     callers_of_servers_that_end_by_themselves_are_served,
     .timeout = 120)
{
  world w{ "others", 3 };
  healthy_callers healthy{ w };
  healthy.go_on();
  constexpr std::size_t rounds = 6;
  constexpr std::size_t servers = 4;
  for (std::size_t round = 0; round < rounds; ++round) {
    for (std::size_t s = 0; s < servers; ++s) {
      w.service.reset_server(s);
    }
    w.run_for(100);
    if (round % 2 == 0) {
      w.service.end_server(round % servers);
    } else {
      for (std::size_t s = 0; s < servers; ++s) {
        w.service.end_server(s);
      }
    }
    // Sooner than the entries hear of the new lives.
    w.run_until([&w] { return w.service.all_up(); });
    w.run_for(100);
  }
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.asked, 100);
  cr_expect_eq(healthy.kept_out, 0);
}

// Anybody may write to the store. Reports that can't be read count for nothing
// and hide no others.
Test(quarantine, reports_of_other_writers_do_no_harm, .timeout = 120)
{
  world w{ "broken", 1 };
  w.store.put("ended-backends", "a", "text");
  w.store.put("ended-backends", "b", { { "by", 3 } });
  w.store.put("ended-backends", "c", json::array());
  w.end_three();
  cr_expect(is_kept_out(w.call(0, fatal)));
  cr_expect_eq(w.call(0, "other").value.status, 200);
}
