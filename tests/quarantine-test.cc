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

  ~world()
  {
    for (auto& e : entries) {
      end(e);
    }
  }

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
      cr_assert_lt(http::now_ms(), limit, "it hangs");
      io.run_one_for(std::chrono::milliseconds{ 1 });
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
              const std::string& target = "/look/")
  {
    const auto id = "r" + std::to_string(++next_id);
    return ask(entries.at(at).callers,
               { "POST",
                 target,
                 { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
                 body });
  }

  void wait_servers()
  {
    run_until([this] { return service.all_up(); });
    // The entries hear of the new lives.
    run_for(100);
  }

  // Sends a fatal request to one entry after the other until three servers
  // have ended under it.
  void end_three(const std::string& target = "/look/")
  {
    for (std::size_t at = 0; service.ends() < ends_before; ++at) {
      wait_servers();
      call(at % entries.size(), fatal, target);
    }
    wait_servers();
  }

  std::size_t fatal_runs() const
  {
    const auto& all = service.runs();
    return static_cast<std::size_t>(std::count(all.begin(), all.end(), fatal));
  }
};

// It comes twice more at each entry, while others are served.
void
expect_kept_out(world& w, const std::string& target)
{
  const auto before = w.fatal_runs();
  std::size_t served = 0;
  for (std::size_t i = 0; i < 2 * w.entries.size(); ++i) {
    const auto at = i % w.entries.size();
    const auto refused = w.call(at, fatal, target);
    cr_expect_eq(refused.value.status, 503);
    cr_expect(http::find(refused.value.fields, "Retry-After").has_value());
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
