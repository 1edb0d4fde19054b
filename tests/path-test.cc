// Tests the whole request path with real processes on the loopback interface.

#include "cactusford/testing/section.h"
#include "tests/fixture.h"

#include <fstream>

using namespace cactusford;
using namespace cactusford::testing;
using nlohmann::json;

namespace {

json
post(httplib::Client& c, const char* path, const json& body, int& status)
{
  const auto r = c.Post(path, body.dump(), "application/json");
  status = r ? r->status : 0;
  return r ? json::parse(r->body, nullptr, false) : json{};
}

} // namespace

Test(path, a_request_is_served_end_to_end, .timeout = 120)
{
  standins::fleet fleet{ small_fleet("path") };
  start_and_wait_until_served(fleet);
  auto c = client_for(fleet, "entry-0");
  int status = 0;
  SECTION("a completion is answered as a whole")
  {
    const auto j = post(c,
                        "/v1/completions",
                        { { "model", "planner-lm" },
                          { "prompt", "cut list" },
                          { "max_tokens", 12 } },
                        status);
    cr_assert_eq(status, 200);
    cr_assert_eq(j["usage"]["completion_tokens"], 12);
    cr_assert_eq(j["choices"][0]["weight_version"], 1);
  }
  SECTION("a completion is streamed")
  {
    const auto r = c.Post("/v1/completions",
                          json{ { "model", "planner-lm" },
                                { "prompt", "cut list" },
                                { "max_tokens", 12 },
                                { "stream", true } }
                            .dump(),
                          "application/json");
    cr_assert(r && r->status == 200);
    cr_assert(r->body.ends_with("data: [DONE]\n\n"));
  }
  SECTION("a booking repeated through the other entry runs once")
  {
    const httplib::Headers key{ { "Idempotency-Key", process::generate_id() } };
    const auto first =
      c.Post("/service/orders-app/book", key, "beef", "text/plain");
    auto other = client_for(fleet, "entry-1");
    const auto second =
      other.Post("/service/orders-app/book", key, "beef", "text/plain");
    cr_assert(first && second);
    cr_assert_eq(first->status, 200);
    cr_assert(first->body == second->body);
    cr_assert(second->get_header_value("Idempotent-Replayed") == "true");
  }
  SECTION("invalid input gets a typed error with outcome not_run")
  {
    const auto bad = post(c, "/v1/completions", { { "model", 7 } }, status);
    cr_assert_eq(status, 400);
    cr_assert_eq(bad["error"]["kind"], "bad_request");
    cr_assert_eq(bad["error"]["outcome"], "not_run");
    post(
      c, "/v1/completions", { { "model", "none" }, { "prompt", "x" } }, status);
    cr_assert_eq(status, 404);
    const auto r = c.Post("/service/orders-app/book",
                          { { "Idempotency-Key", "no-time" } },
                          "x",
                          "text/plain");
    cr_assert(r && r->status == 400);
    const auto unknown_path = c.Get("/nowhere");
    cr_assert(unknown_path && unknown_path->status == 404);
  }
  SECTION("a training step is delivered and its weights are published")
  {
    fleet.start_trainers(1);
    cr_assert_eq(fleet.wait_exit("trainers", 60000), 0);
    const auto [code, text] = fleet.run_operator_command({ "get", "weights" });
    cr_assert_eq(code, 0);
    cr_assert(
      text.find(R"("version":2)") != std::string::npos, "%s", text.c_str());
  }
  SECTION("the status command lists all processes")
  {
    const auto [code, text] = fleet.run_operator_command({ "status" });
    cr_assert_eq(code, 0);
    cr_assert(
      text.find("in force on 8 of 8") != std::string::npos, "%s", text.c_str());
  }
}

// Two operators change the same object. The second one's change is based on an
// older version: applying it would silently undo the first change.
Test(path, racing_operators_get_a_conflict, .timeout = 120)
{
  standins::fleet fleet{ small_fleet("race") };
  start_and_wait_until_served(fleet);
  const json spec{ { "model", "planner-lm" }, { "share", 0.5 } };
  cr_assert(fleet.apply("trainer", "plans", spec).empty());
  const auto file = fleet.folder() + "/declare-trainer-plans-a.json";
  std::ofstream{ file } << json{ { "kind", "trainer" },
                                 { "name", "plans" },
                                 { "spec", { { "model", "x" } } } };
  const auto [code, text] = fleet.run_operator_command(
    { "apply", "-f", file, "--expected-version", "1" });
  cr_assert_eq(code, 3, "%s", text.c_str());
  cr_assert(text.find("conflict") != std::string::npos);
  cr_assert(text.find("cactusford get") != std::string::npos);
}

Test(settings, an_invalid_file_stops_the_start_with_one_line, .timeout = 60)
{
  const auto folder = std::string{ CACTUSFORD_BINARY } + "/tests";
  const auto program =
    std::string{ CACTUSFORD_BINARY } + "/bin/cactusford-entry";
  const auto run = [&](const std::string& text) {
    std::ofstream{ folder + "/wrong.json" } << text;
    const auto command = program + " --settings " + folder + "/wrong.json 2>" +
                         folder + "/wrong.out";
    const int status = std::system(command.c_str());
    std::ifstream in{ folder + "/wrong.out" };
    std::string line;
    std::getline(in, line);
    return std::pair{ WEXITSTATUS(status), line };
  };
  const auto settings_with = [](const std::string& extra) {
    return R"({"instance":"e","data_centre":"d","link":"127.0.0.1:0",
      "admin":"127.0.0.1:0","platform":"127.0.0.1:1","http":"127.0.0.1:0",
      "rpc":"127.0.0.1:0")" +
           extra + "}";
  };
  SECTION("not JSON")
  {
    const auto [code, line] = run("{");
    cr_assert_eq(code, 2);
    cr_assert(line.find("not JSON") != std::string::npos, "%s", line.c_str());
  }
  SECTION("the message names an unknown key")
  {
    const auto [code, line] = run(settings_with(R"(,"lease_s":5)"));
    cr_assert_eq(code, 2);
    cr_assert(line.find("lease_s") != std::string::npos, "%s", line.c_str());
  }
  SECTION("the message names a key with a wrong unit")
  {
    const auto [code, line] = run(settings_with(R"(,"lease_ms":"5s")"));
    cr_assert_eq(code, 2);
    cr_assert(line.find("lease_ms") != std::string::npos, "%s", line.c_str());
  }
  SECTION("the message names the key of an address that cannot be served")
  {
    auto text = settings_with("");
    text.replace(text.find("127.0.0.1:0"), 11, "127.0.0.300:7000");
    const auto [code, line] = run(text);
    cr_assert_eq(code, 2);
    cr_assert(line.find("key link") != std::string::npos, "%s", line.c_str());
  }
}
