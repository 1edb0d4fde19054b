// The client of the object store against a store that never ends a response.
#include "cactusford/platform/client.h"

#include "cactusford/http/clock.h"
#include "cactusford/testing/section.h"
#include "standins/flooding_server.h"

#include <criterion/criterion.h>

#include <cstring>
#include <thread>

using namespace cactusford;
using namespace cactusford::platform;

namespace {

struct endless_response
{
  const char* what;
  const char* prefix;
  const char* filler;
};

const endless_response endless_responses[] = {
  { "a header's value", "HTTP/1.1 200 OK\r\nA: ", "b" },
  { "headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
  { "a body", "HTTP/1.1 200 OK\r\n\r\n", "x" },
};

} // namespace

// Guards against a process that reads one answer of the store until its memory
// is full.
Test(platform_client, ends_with_a_bound_on_each_endless_response, .timeout = 60)
{
  // The longest list with its overhead, and what the sockets of both sides
  // hold.
  constexpr std::uint64_t max_bytes = (65U << 20) + (16U << 20);
  for (const auto& each : endless_responses) {
    SECTION(each.what)
    {
      asio::io_context io;
      standins::flooding_server server{ io, each.prefix, each.filler };
      std::thread serving{ [&] { io.run(); } };
      client c{ server.address() };
      cr_assert(c.get("pool", "x").error.kind ==
                error_kind::platform_unavailable);
      cr_assert(c.changes(0, 0).error.kind == error_kind::platform_unavailable);
      cr_assert(c.put({ "pool", "x", 0, "{}", "r1", false }).error.kind ==
                error_kind::platform_unavailable);
      io.stop();
      serving.join();
      cr_assert_leq(server.max_sent(), max_bytes);
    }
  }
}

// Guards against a process that ends because the store's JSON is not what it
// expects.
Test(platform_client, refuses_answers_of_other_types, .timeout = 30)
{
  for (const auto* body : { "5",
                            "no JSON",
                            "{}",
                            "{\"kind\":1,\"name\":\"x\",\"version\":-1}",
                            "{\"version\":\"1\"}",
                            "{\"revision\":1,\"objects\":5}",
                            "{\"revision\":1,\"objects\":[5]}" }) {
    SECTION(body)
    {
      asio::io_context io;
      standins::flooding_server server{ io,
                                        "HTTP/1.1 200 OK\r\nContent-Length: " +
                                          std::to_string(std::strlen(body)) +
                                          "\r\n\r\n" + body,
                                        "x" };
      std::thread serving{ [&] { io.run(); } };
      client c{ server.address() };
      cr_assert(c.get("pool", "x").error.kind ==
                error_kind::platform_unavailable);
      cr_assert(c.changes(0, 0).error.kind == error_kind::platform_unavailable);
      cr_assert(c.put({ "pool", "x", 0, "{}", "r1", false }).error.kind ==
                error_kind::platform_unavailable);
      io.stop();
      serving.join();
    }
  }
}

// Guards against a process that follows no change any more, because one object
// among those that changed cannot be read.
Test(platform_client, leaves_out_an_unreadable_object, .timeout = 30)
{
  constexpr std::size_t deep = 400'000;
  const auto arrays = std::string(deep, '[') + std::string(deep, ']');
  for (const std::string& odd :
       { std::string{ R"({"kind":1,"name":"x","version":2})" },
         std::string{ R"({"kind":"pool","name":"x","version":-1})" },
         std::string{ R"({"kind":"pool","name":"x","version":1e400})" },
         std::string{ R"({"kind":"pool","name":"x","version":2,"spec":7})" },
         R"({"kind":"pool","name":"x","version":2,"spec":)" + arrays + "}" }) {
    SECTION(odd.substr(0, 60).c_str())
    {
      const auto body =
        R"({"revision":9,"objects":[{"kind":"pool","name":"a","version":1},)" +
        odd + R"(,{"kind":"pool","name":"z","version":3}]})";
      asio::io_context io;
      standins::flooding_server server{ io,
                                        "HTTP/1.1 200 OK\r\nContent-Length: " +
                                          std::to_string(body.size()) +
                                          "\r\n\r\n" + body,
                                        "x" };
      std::thread serving{ [&] { io.run(); } };
      client c{ server.address() };
      const auto list = c.changes(0, 0);
      cr_expect(static_cast<bool>(list));
      cr_expect_eq(list.value.objects.size(), 2U);
      cr_expect_eq(list.value.revision, 9U);
      io.stop();
      serving.join();
    }
  }
}

// Guards against a call that waits for a store that has stopped to send.
Test(platform_client, ends_in_time_while_the_store_is_silent, .timeout = 60)
{
  asio::io_context io;
  const std::chrono::milliseconds pause{ 60000 };
  standins::flooding_server server{ io, "HTTP/1.1 200 OK\r\n", "A", pause };
  std::thread serving{ [&] { io.run(); } };
  client c{ server.address(), 300 };
  const auto started_ms = http::now_ms();
  cr_assert(c.get("pool", "x").error.kind == error_kind::platform_unavailable);
  cr_assert_lt(http::now_ms() - started_ms, 2000);
  io.stop();
  serving.join();
}
