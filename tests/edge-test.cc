// The entry program as a process: what it answers without a store, what its
// metrics say, and how it ends.
#include "cactusford/testing/section.h"
#include "standins/child.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/wait.h>

using namespace cactusford;
using nlohmann::json;

namespace {

constexpr const char* program = CACTUSFORD_BINARY "/bin/cactusford-soak-edge";

// Three ports that are free, chosen by the kernel.
struct ports
{
  int callers = 0;
  int metrics = 0;
  int peer = 0;
};

ports
choose_ports()
{
  using asio::ip::tcp;
  asio::io_context io;
  const tcp::endpoint any{ asio::ip::address_v4::loopback(), 0 };
  std::vector<tcp::acceptor> held;
  const auto next = [&] {
    return static_cast<int>(held.emplace_back(io, any).local_endpoint().port());
  };
  ports p;
  p.callers = next();
  p.metrics = next();
  p.peer = next();
  return p;
}

std::string
write_settings(const std::string& name,
               const ports& p,
               const json& extra = json::object())
{
  const auto folder = std::string{ CACTUSFORD_BINARY } + "/tests/edge";
  std::filesystem::create_directories(folder);
  const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  json s{ { "instance", "entry" },
          { "data_centre", "a" },
          { "callers", at(p.callers) },
          { "metrics", at(p.metrics) },
          { "peer", at(p.peer) },
          { "store", "127.0.0.1:9" },
          { "grace_s", 3 } };
  s.merge_patch(extra);
  const auto path = folder + "/" + name + ".json";
  std::ofstream{ path } << s.dump();
  return path;
}

int
exit_code(pid_t pid)
{
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

pid_t
start(const std::vector<std::string>& arguments)
{
  std::vector<std::string> words{ program };
  words.insert(words.end(), arguments.begin(), arguments.end());
  return standins::spawn_program(
    words, std::string{ CACTUSFORD_BINARY } + "/tests/edge/output");
}

httplib::Result
get(int port, const char* path)
{
  for (int i = 0; i < 200; ++i) {
    httplib::Client c{ "127.0.0.1", port };
    if (auto r = c.Get(path)) {
      return r;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail("the program does not answer");
  return { nullptr, httplib::Error::Connection };
}

} // namespace

// The store is away when the entry starts. It knows no route yet, so a caller
// is told to come back, not that there is no such route; the metrics count it.
Test(edge, refuses_before_it_knows_a_configuration)
{
  const auto p = choose_ports();
  const auto pid = start({ "--settings", write_settings("plain", p) });
  cr_assert_gt(pid, 0);
  const auto refused = get(p.callers, "/anything");
  cr_assert_eq(refused->status, 503);
  cr_assert(refused->has_header("Retry-After"));
  SECTION("the metrics tell")
  {
    const auto text = get(p.metrics, "/metrics")->body;
    cr_assert(text.find("cactusford_calls_received 1") != std::string::npos,
              "%s",
              text.c_str());
    cr_assert(text.find("cactusford_store_calls") != std::string::npos);
  }
  SECTION("told to leave, it ends by itself")
  {
    kill(pid, SIGTERM);
    cr_assert_eq(exit_code(pid), 0);
  }
}

Test(edge, checks_its_settings)
{
  const auto p = choose_ports();
  cr_assert_eq(
    exit_code(
      start({ "--settings", write_settings("good", p), "--check-settings" })),
    0);
  SECTION("what is wrong ends it before it serves anybody")
  {
    const auto bad = write_settings("bad", p, { { "capacity", -1 } });
    cr_assert_eq(exit_code(start({ "--settings", bad, "--check-settings" })),
                 2);
    cr_assert_eq(exit_code(start({ "--settings", bad })), 2);
    cr_assert_eq(exit_code(start({ "--settings", "/nowhere.json" })), 2);
  }
}
