// Injects failures into real processes.

#include "cactusford/testing/section.h"
#include "tests/fixture.h"

#include <csignal>
#include <map>
#include <mutex>

using namespace cactusford;
using namespace cactusford::testing;
using nlohmann::json;

namespace {

// Returns the number of requests that were never answered, in spite of repeats.
std::size_t
count_unanswered(const std::vector<timeline::record>& records)
{
  std::map<std::string, bool> keys;
  for (const auto& r : records) {
    if (r.name == "answer_received" && !r.value("key").empty()) {
      auto& answered = keys[r.value("key")];
      answered = answered || r.value("outcome") == "answered";
    }
  }
  std::size_t count = 0;
  for (const auto& [key, answered] : keys) {
    count += answered ? 0 : 1;
  }
  return count;
}

std::size_t
count_events(const std::vector<timeline::record>& records,
             const std::string& name,
             const std::string& outcome)
{
  std::size_t count = 0;
  for (const auto& r : records) {
    count += r.name == name && r.value("outcome") == outcome ? 1 : 0;
  }
  return count;
}

} // namespace

// The engine behind a stream is killed while a caller reads. The entry detects
// the lost connection and resumes on another backend server after the tokens
// already sent: no token is missing or duplicated.
Test(failure, a_stream_goes_on_when_its_engine_dies, .timeout = 120)
{
  auto options = small_fleet("stream");
  options.split_backends = true;
  options.engine_settings = { { "step_base_us", 20000 },
                              { "length_mean", 5000 },
                              { "length_sigma", 0.01 } };
  standins::fleet fleet{ options };
  start_and_wait_until_served(fleet);
  auto c = client_for(fleet, "entry-0");
  std::string body_text;
  bool is_killed = false;
  httplib::Request r;
  r.method = "POST";
  r.path = "/v1/completions";
  r.body = json{
    { "model", "planner-lm" },
    { "prompt", "p" },
    { "max_tokens", 120 },
    { "stream", true }
  }.dump();
  r.content_receiver =
    [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t) {
      body_text.append(data, n);
      if (!is_killed) {
        is_killed = true;
        // Only the engine that runs the stream is killed; the other keeps
        // running.
        for (const auto& name : fleet.sidecars("planner-lm")) {
          const auto engine = link::address_from(
            fleet.address("engine-" + name, "engine-" + name));
          httplib::Client load{ engine.ip, engine.port };
          const auto state = load.Get("/load");
          if (state && json::parse(state->body)["running"] != 0) {
            fleet.signal("engine-" + name, SIGKILL);
            break;
          }
        }
      }
      return true;
    };
  cr_assert(static_cast<bool>(c.send(r)));
  cr_assert(is_killed);
  std::string text;
  std::istringstream lines{ body_text };
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("data: {")) {
      const auto j = json::parse(line.substr(6));
      cr_assert(j.contains("choices"), "%s", line.c_str());
      text += j["choices"][0]["text"].get<std::string>();
    }
  }
  cr_assert(body_text.ends_with("data: [DONE]\n\n"));
  std::istringstream words{ text };
  std::string word;
  int next_token = 0;
  while (words >> word) {
    cr_assert(word.ends_with("." + std::to_string(next_token++)));
  }
  cr_assert_eq(next_token, 120);
}

// A rolling upgrade: every entry and sidecar is stopped by SIGTERM and
// replaced, one after another, while callers send bookings and lookups. Each
// process refuses new calls, completes running ones, hands over its keys and
// exits with 0. Every booking gets its answer, and none runs twice.
Test(failure, a_rolling_restart_loses_no_call, .timeout = 240)
{
  const auto options = small_fleet("rolling");
  {
    standins::fleet fleet{ options };
    start_and_wait_until_served(fleet);
    std::mutex mutex;
    std::string stopped_entry;
    bench::load_options load;
    load.entries = [&] {
      const std::lock_guard lock{ mutex };
      std::vector<std::string> available;
      for (const auto& e : fleet.entries()) {
        if (e != stopped_entry) {
          available.push_back(fleet.address(e, "http"));
        }
      }
      return available;
    };
    load.model = "planner-lm";
    load.service = "orders-app";
    load.booking_callers = 3;
    load.max_retries = 40;
    bench::load_generator callers{ load };
    callers.start();
    auto names = fleet.entries();
    for (const auto* serves : { "orders-app", "planner-lm", "scorer" }) {
      const auto sidecars = fleet.sidecars(serves);
      names.insert(names.end(), sidecars.begin(), sidecars.end());
    }
    for (const auto& name : names) {
      {
        const std::lock_guard lock{ mutex };
        stopped_entry = name;
      }
      fleet.signal(name, SIGTERM);
      cr_expect_eq(fleet.wait_exit(name, 30000),
                   0,
                   "%s did not exit with 0",
                   name.c_str());
      const std::lock_guard lock{ mutex };
      const auto error = fleet.restart(name);
      cr_assert(error.empty(), "%s", error.c_str());
      stopped_entry.clear();
    }
    callers.stop();
  }
  const auto records = timeline::read_logs(options.folder);
  cr_expect_eq(count_unanswered(records), 0);
  cr_expect_eq(count_events(records, "answer_received", "unreachable"), 0);
  cr_expect_eq(count_events(records, "answer_received", "not_whole"), 0);
  expect_promises_kept(options.folder);
}

// The platform is down while an entry is replaced. The new process must neither
// serve an older configuration nor run without one: it fetches the newest from
// its peers, and only then reports ready.
Test(failure,
     a_restart_in_an_outage_takes_the_configuration_from_peers,
     .timeout = 120)
{
  const auto options = small_fleet("outage");
  standins::fleet fleet{ options };
  start_and_wait_until_served(fleet);
  fleet.inject_platform_fault({ { "outage", true } });
  fleet.signal("entry-0", SIGKILL);
  const auto error = fleet.restart("entry-0");
  cr_assert(error.empty(), "%s", error.c_str());
  auto c = client_for(fleet, "entry-0");
  const auto r = c.Post(
    "/v1/completions",
    json{ { "model", "planner-lm" }, { "prompt", "x" }, { "max_tokens", 4 } }
      .dump(),
    "application/json");
  cr_assert(r && r->status == 200,
            "the entry must serve while the platform is down");
  SECTION("an operator gets platform_unavailable")
  {
    const auto output = fleet.apply(
      "trainer", "plans", { { "model", "planner-lm" }, { "share", 0.3 } });
    cr_assert(output.find("platform_unavailable") != std::string::npos,
              "%s",
              output.c_str());
  }
  SECTION(
    "bookings still work: the homes confirm the home map among themselves")
  {
    std::this_thread::sleep_for(std::chrono::seconds{ 3 });
    wait_until_served(fleet);
  }
}
