// An entry that has to stop while calls still run.

#include "cactusford/testing/section.h"
#include "tests/fixture.h"

#include <csignal>
#include <set>
#include <thread>

using namespace cactusford;
using namespace cactusford::testing;
using nlohmann::json;

namespace {

// A completion that takes many seconds.
std::string
long_completion(bool stream)
{
  return json{
    { "model", "planner-lm" },
    { "prompt", "p" },
    { "max_tokens", 400 },
    { "stream", stream }
  }.dump();
}

// Returns true if both completions have been sent to an engine.
bool
are_both_running(const std::string& folder)
{
  std::set<std::string> live;
  std::set<std::string> sent;
  for (const auto& r : timeline::read_logs(folder)) {
    if (r.name == "request_accepted" && r.value("class") == "live") {
      live.insert(r.value("request"));
    } else if (r.name == "call_sent" && live.contains(r.value("request"))) {
      sent.insert(r.value("request"));
    }
  }
  return sent.size() == 2;
}

} // namespace

// Guards against calls that the end of the drain limit cuts without an answer.
Test(stops, an_entry_answers_calls_that_outlast_its_limit, .timeout = 120)
{
  auto options = small_fleet("stops");
  options.entry_settings["drain_limit_ms"] = 200;
  options.engine_settings = { { "step_base_us", 50000 },
                              { "length_mean", 5000 },
                              { "length_sigma", 0.01 } };
  standins::fleet fleet{ options };
  start_and_wait_until_served(fleet);
  std::string answer;
  std::thread plain{ [&] {
    auto c = client_for(fleet, "entry-0");
    const auto r =
      c.Post("/v1/completions", long_completion(false), "application/json");
    answer = r ? r->body : "";
  } };
  auto c = client_for(fleet, "entry-0");
  std::string events;
  bool is_stopped = false;
  httplib::Request r;
  r.method = "POST";
  r.path = "/v1/completions";
  r.body = long_completion(true);
  r.content_receiver =
    [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t) {
      if (!is_stopped && are_both_running(options.folder)) {
        is_stopped = true;
        fleet.signal("entry-0", SIGTERM);
      }
      events.append(data, n);
      return true;
    };
  const bool is_whole = static_cast<bool>(c.send(r));
  plain.join();
  cr_expect_eq(fleet.wait_exit("entry-0", 10000), 0);
  SECTION("a call without an answer so far gets a typed error")
  {
    const auto j = json::parse(answer, nullptr, false);
    cr_assert(j.is_object() && j.contains("error"), "%s", answer.c_str());
    cr_expect_neq(j["error"]["outcome"], "not_run");
  }
  SECTION("a stream says that it has been broken off")
  {
    cr_expect(is_whole);
    cr_expect_neq(events.find("\"error\""), std::string::npos);
    cr_expect_eq(events.find("[DONE]"), std::string::npos);
  }
}
