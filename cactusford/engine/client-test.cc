// The client of a backend server against servers that never end a response.
#include "cactusford/engine/client.h"

#include "cactusford/http/clock.h"
#include "cactusford/testing/section.h"
#include "standins/flooding_server.h"

#include <criterion/criterion.h>

#include <cstring>
#include <functional>
#include <thread>

using namespace cactusford;
using namespace cactusford::engine;
using std::chrono::milliseconds;

namespace {

// Runs a flooding server on a thread of its own, as the client blocks.
class server_thread
{
public:
  server_thread(const char* prefix, const char* filler, milliseconds pause = {})
    : server{ io, prefix, filler, pause }
    , thread_{ [this] { io.run(); } }
  {
  }
  ~server_thread()
  {
    io.stop();
    thread_.join();
  }
  server_thread(const server_thread&) = delete;
  server_thread& operator=(const server_thread&) = delete;

  // Stops the server and returns the most bytes sent on one connection.
  std::uint64_t sent()
  {
    io.stop();
    thread_.join();
    thread_ = std::thread{ [] {} };
    return server.max_sent();
  }

  asio::io_context io;
  standins::flooding_server server;

private:
  std::thread thread_;
};

struct endless_response
{
  const char* what;
  const char* prefix;
  const char* filler;
};

const endless_response endless_responses[] = {
  { "a header's value", "HTTP/1.1 200 OK\r\nA: ", "b" },
  { "headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
  { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "a body", "HTTP/1.1 200 OK\r\n\r\n", "x" },
  { "lines that are no event", "HTTP/1.1 200 OK\r\n\r\n", ": wait\n" },
  { "events without text",
    "HTTP/1.1 200 OK\r\n\r\n",
    "data: {\"count\":0,\"text\":\"\"}\n\n" },
  { "chunk extensions",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    "e" },
};

// The longest response of any channel, and what the sockets of both sides hold.
constexpr std::uint64_t max_bytes = (17U << 20) + (16U << 20);

// Runs `use` against a server with each kind of response.
void
expect_bounds(const std::function<void(client&)>& use)
{
  for (const auto& each : endless_responses) {
    SECTION(each.what)
    {
      server_thread running{ each.prefix, each.filler };
      client c{ running.server.address() };
      use(c);
      cr_assert_leq(running.sent(), max_bytes);
    }
  }
}

const std::atomic<bool> not_cancelled{ false };

generation_result
generate(client& c, const std::atomic<bool>& cancelled = not_cancelled)
{
  generation_request g;
  g.model = "m";
  g.max_tokens = 10;
  return c.generate(g, cancelled, [](const token_chunk&) {});
}

} // namespace

// Guards against a sidecar that reads one engine's answer until its memory is
// full.
Test(engine_client, ends_with_a_bound_on_each_endless_response, .timeout = 60)
{
  SECTION("a generation counts as cut")
  {
    expect_bounds([](client& c) {
      cr_assert(generate(c).error.kind == error_kind::stream_cut);
    });
  }
  SECTION("a call has an unknown outcome")
  {
    expect_bounds([](client& c) {
      const auto answer = c.call({ "POST", "/book", "", "x", "r1" }, 20000);
      cr_assert(answer.error.kind == error_kind::outcome_unknown);
    });
  }
  SECTION("an order has an unknown outcome")
  {
    expect_bounds([](client& c) {
      const auto error = c.submit_order({ order_kind::stage, "m", 2, 1 });
      cr_assert(error.kind == error_kind::outcome_unknown);
    });
  }
  SECTION("versions cannot be read")
  {
    expect_bounds([](client& c) {
      cr_assert(c.read_versions("m").error.kind == error_kind::backend_failed);
    });
  }
}

// Guards against a sidecar that ends because its engine's JSON has fields of
// other types.
Test(engine_client, refuses_fields_of_other_types, .timeout = 30)
{
  for (const auto* event : { "5",
                             "[]",
                             "{\"count\":\"x\"}",
                             "{\"count\":-1}",
                             "{\"text\":7}",
                             "{\"finish_reason\":null}" }) {
    SECTION(event)
    {
      const auto lines = "data: " + std::string{ event } + "\n\n";
      server_thread running{ "HTTP/1.1 200 OK\r\n\r\n", lines.c_str() };
      client c{ running.server.address() };
      cr_assert(generate(c).error.kind == error_kind::stream_cut);
    }
  }
  for (const auto* body : { "5", "[]", "{\"active\":\"x\"}" }) {
    SECTION(body)
    {
      const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(std::strlen(body)) + "\r\n\r\n" + body;
      server_thread running{ answer.c_str(), "x" };
      client c{ running.server.address() };
      cr_assert(c.read_versions("m").error.kind == error_kind::backend_failed);
    }
  }
}

// Guards against a worker that a server keeps busy with a byte now and then.
Test(engine_client, ends_in_time_while_bytes_arrive, .timeout = 60)
{
  constexpr milliseconds pause{ 20 };
  const char* prefixes[] = { "HTTP/1.1 200 OK\r\nA: ",
                             "HTTP/1.1 200 OK\r\n\r\n" };
  for (const auto* prefix : prefixes) {
    server_thread running{ prefix, "b", pause };
    client c{ running.server.address() };
    const auto started_ms = http::now_ms();
    SECTION("a call at its deadline")
    {
      const auto answer = c.call({ "POST", "/book", "", "x", "r1" }, 300);
      cr_assert(answer.error.kind == error_kind::outcome_unknown);
    }
    SECTION("a generation when it is cancelled")
    {
      std::atomic<bool> cancelled{ false };
      std::thread caller{ [&] {
        std::this_thread::sleep_for(milliseconds{ 300 });
        cancelled = true;
      } };
      cr_assert(generate(c, cancelled).error.kind == error_kind::cancelled);
      caller.join();
    }
    SECTION("a question for versions")
    {
      cr_assert(c.read_versions("m").error.kind == error_kind::backend_failed);
    }
    cr_assert_lt(http::now_ms() - started_ms, 5000);
  }
}
