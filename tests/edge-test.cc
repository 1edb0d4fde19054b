// Runs the entry program as a process: its answers without a store, its metrics
// and its exit.
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

// Free ports, chosen by the kernel.
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
  std::vector<tcp::acceptor> acceptors;
  const auto next = [&] {
    return static_cast<int>(
      acceptors.emplace_back(io, any).local_endpoint().port());
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
               const json& overrides = json::object())
{
  const auto folder = std::string{ CACTUSFORD_BINARY } + "/tests/edge";
  std::filesystem::create_directories(folder);
  const auto address_of = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  json s{ { "instance", "entry" },
          { "data_centre", "a" },
          { "callers", address_of(p.callers) },
          { "metrics", address_of(p.metrics) },
          { "peer", address_of(p.peer) },
          { "store", "127.0.0.1:9" },
          { "grace_s", 3 } };
  s.merge_patch(overrides);
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
  std::vector<std::string> command{ program };
  command.insert(command.end(), arguments.begin(), arguments.end());
  return standins::spawn_program(
    command, std::string{ CACTUSFORD_BINARY } + "/tests/edge/output");
}

httplib::Result
get_with_retries(int port, const char* path)
{
  for (int i = 0; i < 200; ++i) {
    httplib::Client c{ "127.0.0.1", port };
    if (auto r = c.Get(path)) {
      return r;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail("the program does not answer after 200 attempts");
  return { nullptr, httplib::Error::Connection };
}

} // namespace

// The store is unavailable when the entry starts, so the entry knows no routes
// yet. It must answer 503 with Retry-After instead of 404, and count the call.
Test(edge, refuses_calls_before_a_configuration_is_known)
{
  const auto p = choose_ports();
  const auto pid = start({ "--settings", write_settings("plain", p) });
  cr_assert_gt(pid, 0);
  const auto refused = get_with_retries(p.callers, "/anything");
  cr_assert_eq(refused->status, 503);
  cr_assert(refused->has_header("Retry-After"));
  SECTION("the metrics count the call")
  {
    const auto text = get_with_retries(p.metrics, "/metrics")->body;
    cr_assert(text.find("cactusford_calls_received 1") != std::string::npos,
              "%s",
              text.c_str());
    cr_assert(text.find("cactusford_store_calls") != std::string::npos);
  }
  SECTION("the process exits after SIGTERM")
  {
    kill(pid, SIGTERM);
    cr_assert_eq(exit_code(pid), 0);
  }
}

Test(edge, validates_its_settings)
{
  const auto p = choose_ports();
  cr_assert_eq(
    exit_code(
      start({ "--settings", write_settings("good", p), "--check-settings" })),
    0);
  SECTION("with invalid settings the program exits before it serves callers")
  {
    const auto bad = write_settings("bad", p, { { "capacity", -1 } });
    cr_assert_eq(exit_code(start({ "--settings", bad, "--check-settings" })),
                 2);
    cr_assert_eq(exit_code(start({ "--settings", bad })), 2);
    cr_assert_eq(exit_code(start({ "--settings", "/nowhere.json" })), 2);
  }
}
