// Sidecars as processes, in front of a backend server that never ends a
// response.

#include "cactusford/http/clock.h"
#include "cactusford/testing/section.h"
#include "standins/flooding_server.h"
#include "tests/fixture.h"

#include <fstream>
#include <thread>

using namespace cactusford;
using namespace cactusford::testing;

namespace {

// Largest amount of memory that the process has held so far.
std::uint64_t
peak_memory_of(pid_t pid)
{
  std::ifstream in{ "/proc/" + std::to_string(pid) + "/status" };
  std::string key;
  std::uint64_t kib = 0;
  while (in >> key) {
    if (key == "VmHWM:") {
      in >> kib;
    }
  }
  return kib << 10;
}

} // namespace

// Guards against a faulty server filling its sidecar's memory, or keeping its
// callers past their deadline.
Test(endless_responses, leave_sidecars_in_service, .timeout = 120)
{
  constexpr std::uint64_t max_memory = 256U << 20;
  const std::pair<const char*, const char*> responses[] = {
    { "HTTP/1.1 200 OK\r\nA: ", "b" },
    { "HTTP/1.1 200 OK\r\n\r\n", "x" },
  };
  for (const auto& [prefix, filler] : responses) {
    asio::io_context io;
    standins::flooding_server server{ io, prefix, filler };
    std::thread serving{ [&] { io.run(); } };
    auto options = small_fleet("endless");
    options.sidecar_settings["backend"] = server.address();
    standins::fleet fleet{ options };
    timeline::open_log(fleet.folder() + "/load.log", "load");
    auto error = fleet.start();
    cr_assert(error.empty(), "%s", error.c_str());
    error = fleet.apply_declarations();
    cr_assert(error.empty(), "%s", error.c_str());
    wait_for_homes(fleet, "orders-app");
    auto c = client_for(fleet, "entry-0");
    SECTION("a booking has an unknown outcome")
    {
      const auto started_ms = http::now_ms();
      const auto r = c.Post("/service/orders-app/book",
                            { { "Idempotency-Key", process::generate_id() },
                              { "X-Deadline-Ms", "4000" } },
                            "x",
                            "text/plain");
      cr_assert(r);
      cr_assert_lt(http::now_ms() - started_ms, 6000);
      const auto j = nlohmann::json::parse(r->body);
      cr_assert_eq(j.at("error").at("outcome").get<std::string>(), "unknown");
    }
    SECTION("the sidecars of engines have read versions meanwhile")
    {
      for (const auto* pool : { "orders-app", "planner-lm" }) {
        for (const auto& name : fleet.sidecars(pool)) {
          cr_assert(fleet.is_running(name));
          cr_assert_lt(peak_memory_of(fleet.pid_of(name)), max_memory);
        }
      }
    }
    io.stop();
    serving.join();
  }
}
