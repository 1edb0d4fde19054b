// A server that drains, over loopback.
#include "cactusford/http/clock.h"
#include "cactusford/http/server.h"

#include "cactusford/testing/section.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <vector>

using namespace cactusford;
using namespace cactusford::http;

namespace {

// Longer than any step of these tests; exceeded only if something hangs.
constexpr std::uint64_t max_wait_ms = 10000;

constexpr const char* one_request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

// A server that holds requests until `answer_held`, unless it refuses them.
struct fixture
{
  asio::io_context io;
  std::vector<call> held;
  bool refuses = false;
  http::server server{ io, {}, [this](const call& c) {
                        if (refuses) {
                          c.respond({ 503, {}, "" });
                        } else {
                          held.push_back(c);
                        }
                      } };
  asio::ip::tcp::socket caller{ io };
  std::string received;
  bool at_end = false;

  fixture()
  {
    cr_assert_not(server.listen("127.0.0.1:0"));
    caller.connect({ asio::ip::address_v4::loopback(), server.port() });
    caller.non_blocking(true);
  }

  void send(const std::string& bytes)
  {
    asio::write(caller, asio::buffer(bytes));
  }

  template<typename Condition>
  void run_until(Condition done)
  {
    const auto until = now_ms() + max_wait_ms;
    while (!done()) {
      cr_assert_lt(now_ms(), until);
      io.run_one_for(std::chrono::milliseconds{ 2 });
      std::string buffer(4096, '\0');
      asio::error_code ec;
      const auto count = caller.read_some(asio::buffer(buffer), ec);
      received.append(buffer, 0, count);
      at_end = at_end || (ec && ec != asio::error::would_block);
    }
  }

  int count(const std::string& text) const
  {
    int n = 0;
    for (auto at = received.find(text); at != std::string::npos;
         at = received.find(text, at + 1)) {
      ++n;
    }
    return n;
  }
};

} // namespace

// Guards against requests that were read behind another one and never answered,
// because the answer to the first one closed the connection.
Test(draining, answers_every_request_that_has_been_read)
{
  SECTION("two requests that arrived together, answered one by one")
  {
    fixture f;
    f.server.start_draining();
    f.send(std::string{ one_request } + one_request);
    f.run_until([&] { return f.held.size() == 1; });
    f.held[0].respond({ 200, {}, "" });
    f.run_until([&] { return f.held.size() == 2; });
    cr_assert_eq(f.count("Connection: close"), 0);
    f.held[1].respond({ 200, {}, "" });
    f.run_until([&] { return f.at_end; });
    cr_assert_eq(f.count("HTTP/1.1 200"), 2);
    cr_assert_eq(f.count("Connection: close"), 1);
  }
  SECTION("a handler that answers at once")
  {
    fixture f;
    f.refuses = true;
    f.server.start_draining();
    f.send(std::string{ one_request } + one_request + one_request);
    f.run_until([&] { return f.at_end; });
    cr_assert_eq(f.count("HTTP/1.1 503"), 3);
  }
  SECTION("input that the handler has not seen is known")
  {
    fixture f;
    cr_assert_not(f.server.has_unhandled_input());
    f.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    f.run_until([&] { return f.server.has_unhandled_input(); });
  }
}

// Guards against open requests that a process cuts when its time is up.
Test(draining, gives_open_requests_a_last_answer)
{
  SECTION("a request that runs, and one behind it that never starts")
  {
    fixture f;
    f.server.start_draining();
    f.send(std::string{ one_request } + one_request);
    f.run_until([&] { return f.server.has_unhandled_input(); });
    f.refuses = true;
    cr_assert_eq(f.server.answer_all({ 502, {}, "" }), 1);
    f.run_until([&] { return f.at_end; });
    cr_assert_eq(f.count("HTTP/1.1 502"), 1);
    cr_assert_eq(f.count("HTTP/1.1 503"), 1);
    f.held[0].respond({ 200, {}, "" });
    cr_assert_eq(f.server.active_requests(), 0);
  }
  SECTION("an incomplete request has not run")
  {
    fixture f;
    f.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    f.run_until([&] { return f.server.has_unhandled_input(); });
    cr_assert_eq(f.server.answer_all({ 502, {}, "" }), 0);
    f.run_until([&] { return f.at_end; });
    cr_assert_eq(f.count("HTTP/1.1 503"), 1);
  }
  SECTION("a response that has begun does not look complete")
  {
    fixture f;
    f.send(one_request);
    f.run_until([&] { return f.held.size() == 1; });
    f.held[0].begin(200, {});
    f.held[0].write("part");
    f.run_until([&] { return f.count("part") == 1; });
    cr_assert_eq(f.server.answer_all({ 502, {}, "" }), 0);
    f.run_until([&] { return f.at_end; });
    cr_assert_eq(f.count(std::string{ last_chunk }), 0);
  }
}
