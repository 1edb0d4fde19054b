// Tests the bounds of a server over loopback, with callers that send more, more
// slowly or in other pieces than a server expects.
#include "cactusford/http/clock.h"
#include "cactusford/http/server.h"

#include "cactusford/testing/section.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>
#include <malloc.h>

#include <optional>
#include <vector>

using namespace cactusford;
using namespace cactusford::http;

namespace {

constexpr std::uint64_t kib = 1U << 10;
constexpr std::uint64_t mib = 1U << 20;

// Longer than any step of these tests; exceeded only if something hangs.
constexpr std::uint64_t max_wait_ms = 10000;

server_limits
limits_with(std::uint64_t head_ms, std::size_t body_bytes)
{
  server_limits l;
  l.head_ms = head_ms;
  l.body_bytes = body_bytes;
  return l;
}

struct caller
{
  asio::ip::tcp::socket socket;
  std::string received;
  bool at_end = false;

  void send(const std::string& bytes)
  {
    asio::error_code ec;
    socket.non_blocking(false);
    asio::write(socket, asio::buffer(bytes), ec);
    socket.non_blocking(true);
  }

  void read()
  {
    std::string buffer(mib, '\0');
    asio::error_code ec;
    const auto count = socket.read_some(asio::buffer(buffer), ec);
    received.append(buffer, 0, count);
    at_end = at_end || (ec && ec != asio::error::would_block);
  }

  std::string status() const
  {
    return received.size() < 12 ? "" : received.substr(9, 3);
  }
};

// A server that answers each request with the length of its body.
struct fixture
{
  asio::io_context io;
  std::shared_ptr<request_memory> memory = std::make_shared<request_memory>();
  std::vector<call> held;
  bool holds_calls = false;
  int calls = 0;
  std::string last_body;
  http::server server;

  explicit fixture(server_limits limits = {},
                   server_options options = {},
                   std::uint64_t memory_mb = 160)
    : server{ io,
              limits,
              [this](const call& c) {
                ++calls;
                last_body = c.request().body;
                if (holds_calls) {
                  held.push_back(c);
                  return;
                }
                c.respond({ 200, {}, std::to_string(last_body.size()) });
              },
              std::shared_ptr<buffer_budget>{ memory, &memory->budget.answers },
              with_memory(std::move(options)) }
  {
    memory->budget.limits = memory_limits_for(memory_mb, 0);
    cr_assert_not(server.listen("127.0.0.1:0"));
  }

  server_options with_memory(server_options o) const
  {
    o.memory = memory;
    return o;
  }

  caller connect()
  {
    caller c{ asio::ip::tcp::socket{ io }, {}, false };
    c.socket.connect({ asio::ip::address_v4::loopback(), server.port() });
    c.socket.non_blocking(true);
    return c;
  }

  template<typename Condition>
  void run_until(Condition done)
  {
    const auto limit = now_ms() + max_wait_ms;
    while (!done()) {
      cr_assert_lt(now_ms(), limit, "timed out waiting for a condition");
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = now_ms() + ms;
    run_until([until] { return now_ms() >= until; });
  }

  // Sends bytes that may be more than the kernel takes, while the server runs.
  void send_all(caller& c, const std::string& bytes)
  {
    std::size_t sent = 0;
    run_until([&] {
      asio::error_code ec;
      sent += c.socket.write_some(
        asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
      return sent == bytes.size() || (ec && ec != asio::error::would_block);
    });
  }

  std::string status_of(caller& c)
  {
    run_until([&] {
      c.read();
      return !c.status().empty() || c.at_end;
    });
    return c.status();
  }
};

std::string
post(std::uint64_t length)
{
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

std::size_t
allocated_bytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

const std::string request_text = "GET / HTTP/1.1\r\n\r\n";

} // namespace

// Guards against a stack that grows with each request of a long row that its
// handler answers at once.
Test(server_limits, pipelined_requests_do_not_nest, .timeout = 30)
{
  fixture f;
  auto c = f.connect();
  constexpr int count = 20000;
  std::string bytes;
  for (int i = 0; i < count; ++i) {
    bytes += request_text;
  }
  std::size_t sent = 0;
  f.run_until([&] {
    asio::error_code ec;
    sent += c.socket.write_some(
      asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
    c.read();
    return f.calls == count;
  });
  SECTION("nothing stays held")
  {
    f.run_until([&] { return f.memory->budget.request_bytes == 0; });
  }
}

// Guards against a caller who sends ahead while its first request is answered:
// the bytes of all such callers together had no bound.
Test(server_limits, what_is_read_ahead_is_bounded, .timeout = 30)
{
  fixture f;
  f.holds_calls = true;
  auto c = f.connect();
  c.send(request_text);
  f.run_until([&] { return f.calls == 1; });
  const std::string more(mib, 'x');
  std::size_t sent = 0;
  const auto until = now_ms() + 300;
  f.run_until([&] {
    asio::error_code ec;
    sent += c.socket.write_some(asio::buffer(more), ec);
    return now_ms() > until;
  });
  cr_assert_leq(f.memory->budget.request_bytes, 64 * kib);
  cr_assert_eq(f.calls, 1);
}

// Guards against bodies that are each within the limit and fill the memory
// together.
Test(server_limits, bodies_of_all_connections_are_bounded, .timeout = 30)
{
  fixture f;
  f.holds_calls = true;
  std::vector<caller> callers;
  const std::string body(4 * mib, 'x');
  for (int i = 0; i < 12; ++i) {
    callers.push_back(f.connect());
    f.send_all(callers.back(), post(body.size()));
    f.run_for(5);
    callers.back().read();
    if (callers.back().received.empty()) {
      f.send_all(callers.back(), body);
    }
  }
  f.run_until([&] { return f.calls == 8; });
  std::size_t refused = 0;
  for (auto& c : callers) {
    c.read();
    const bool is_refusal =
      c.status() == "503" &&
      c.received.find("Retry-After: ") != std::string::npos;
    refused += is_refusal ? 1 : 0;
  }
  cr_assert_eq(refused, 4);
  SECTION("an ordinary request is served")
  {
    f.holds_calls = false;
    auto c = f.connect();
    c.send(post(3) + "abc");
    cr_assert(f.status_of(c) == "200");
  }
  SECTION("a long one is served again after the others")
  {
    f.holds_calls = false;
    for (auto& h : f.held) {
      h.respond({ 200, {}, "" });
    }
    cr_assert_eq(f.memory->budget.request_bytes, 0);
    auto c = f.connect();
    f.send_all(c, post(body.size()) + body);
    cr_assert(f.status_of(c) == "200");
    cr_assert(f.last_body == body);
  }
}

// Guards against a connection that keeps the memory of its longest body for as
// long as it is open.
Test(server_limits, an_answered_request_holds_nothing, .timeout = 30)
{
  fixture f;
  const auto before = allocated_bytes();
  std::vector<caller> callers;
  const std::string body(mib, 'x');
  for (int i = 0; i < 20; ++i) {
    callers.push_back(f.connect());
    f.send_all(callers.back(), post(body.size()) + body);
    cr_assert(f.status_of(callers.back()) == "200");
  }
  f.last_body.clear();
  f.last_body.shrink_to_fit();
  cr_assert_eq(f.memory->budget.request_bytes, 0);
  cr_assert_lt(allocated_bytes(), before + 4 * mib);
}

// Guards against memory that is announced and never sent: callers who stop
// would keep it from those who go on.
Test(server_limits, slow_requests_give_way_to_others, .timeout = 30)
{
  fixture f;
  std::vector<caller> slow;
  for (int i = 0; i < 8; ++i) {
    slow.push_back(f.connect());
    slow.back().send(post(4 * mib) + "x");
  }
  f.run_until([&] { return f.memory->receiving.size() == 8; });
  f.run_for(400);
  auto c = f.connect();
  const std::string body(8 * mib, 'x');
  f.send_all(c, post(body.size()) + body);
  cr_assert(f.status_of(c) == "200");
  cr_assert_gt(f.memory->evicted, 0);
  SECTION("the others learn that their requests have not run")
  {
    f.run_until([&] {
      std::size_t told = 0;
      for (auto& s : slow) {
        s.read();
        told += s.status() == "408" ? 1 : 0;
      }
      return told == f.memory->evicted;
    });
    cr_assert_eq(f.calls, 1);
  }
}

// Guards against a head of legal size whose fields take many times as much.
Test(server_limits, short_fields_count_as_what_they_take, .timeout = 30)
{
  fixture f;
  std::string fields;
  while (fields.size() < 15 * kib) {
    fields += "a:\r\n";
  }
  std::vector<caller> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(f.connect());
    callers.back().send("POST / HTTP/1.1\r\nContent-Length: 1\r\n" + fields +
                        "\r\n");
  }
  f.run_until([&] {
    return f.memory->refused + f.memory->evicted + f.memory->receiving.size() ==
           100;
  });
  cr_assert_gt(f.memory->refused, 0);
  cr_assert_gt(f.memory->budget.request_bytes,
               f.memory->receiving.size() * 200 * kib);
  SECTION("a single one is served")
  {
    callers.clear();
    f.run_until([&] { return f.memory->budget.request_bytes == 0; });
    auto c = f.connect();
    c.send("POST / HTTP/1.1\r\nContent-Length: 1\r\n" + fields + "\r\nx");
    cr_assert(f.status_of(c) == "200");
  }
}

// Guards against fields behind a chunked body, which had no limit.
Test(server_limits, trailers_are_dropped_and_bounded, .timeout = 30)
{
  fixture f;
  const std::string begin = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n3\r\nabc\r\n0\r\n";
  SECTION("a short one does no harm")
  {
    auto c = f.connect();
    c.send(begin + "Digest: x\r\n\r\n");
    cr_assert(f.status_of(c) == "200");
    cr_assert(f.last_body == "abc");
  }
  SECTION("a long one is refused")
  {
    auto c = f.connect();
    std::string fields;
    while (fields.size() < 40 * kib) {
      fields += "a: b\r\n";
    }
    f.send_all(c, begin + fields);
    cr_assert(f.status_of(c) == "431");
  }
}

// Guards against a body in chunks that needs its size twice while it grows, and
// against one of the longest size that is refused.
Test(server_limits, the_longest_body_arrives_in_chunks, .timeout = 60)
{
  fixture f{ limits_with(3000, 32 * mib) };
  auto c = f.connect();
  f.send_all(c, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(64 * kib, 'x') + "\r\n";
  std::string bytes;
  for (int i = 0; i < 16; ++i) {
    bytes += chunk;
  }
  for (int i = 0; i < 32; ++i) {
    f.send_all(c, bytes);
    cr_assert_leq(f.memory->budget.request_bytes, 33 * mib);
  }
  f.send_all(c, "0\r\n\r\n");
  cr_assert(f.status_of(c) == "200");
  cr_assert_eq(f.last_body.size(), 32 * mib);
  SECTION("one byte more is refused")
  {
    auto d = f.connect();
    f.send_all(d, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 32; ++i) {
      f.send_all(d, bytes);
    }
    f.send_all(d, "1\r\nx\r\n");
    cr_assert(f.status_of(d) == "413");
  }
}

// Guards against a full table of connections that shuts out everybody.
Test(server_limits, a_new_caller_takes_the_place_of_a_silent_one, .timeout = 30)
{
  server_options options;
  options.connections = 10;
  fixture f{ {}, options };
  auto known = f.connect();
  known.send(request_text);
  cr_assert(f.status_of(known) == "200");
  std::vector<caller> silent;
  for (int i = 0; i < 9; ++i) {
    silent.push_back(f.connect());
  }
  f.run_until([&] { return f.server.open_connections() == 10; });
  auto c = f.connect();
  c.send(request_text);
  cr_assert(f.status_of(c) == "200");
  cr_assert_eq(f.server.replaced_connections(), 1);
  SECTION("the connection that was silent longest is closed")
  {
    f.run_until([&] {
      silent.front().read();
      return silent.front().at_end;
    });
  }
  SECTION("not that of a caller that has been served")
  {
    known.received.clear();
    known.send(request_text);
    cr_assert(f.status_of(known) == "200");
  }
  SECTION("a crowd of incomplete requests gives way too")
  {
    std::vector<caller> incomplete;
    for (int i = 0; i < 30; ++i) {
      incomplete.push_back(f.connect());
      incomplete.back().send(post(kib) + "x");
    }
    f.run_for(20);
    auto d = f.connect();
    d.send(request_text);
    cr_assert(f.status_of(d) == "200");
  }
  SECTION("a caller whose call runs keeps its connection")
  {
    f.holds_calls = true;
    std::vector<caller> busy;
    for (int i = 0; i < 10; ++i) {
      busy.push_back(f.connect());
      busy.back().send(request_text);
      f.run_until([&] { return f.server.active_requests() == busy.size(); });
    }
    auto d = f.connect();
    f.run_until([&] {
      d.read();
      return d.at_end;
    });
    cr_assert_eq(f.server.refused_connections(), 1);
  }
}

// Guards against a body that is cut although it arrives at a fair rate, and
// against one that never ends.
Test(server_limits, a_body_may_take_longer_than_a_head, .timeout = 30)
{
  server_options options;
  options.min_body_rate = 1000;
  fixture f{ limits_with(400, mib), options };
  SECTION("at a fair rate")
  {
    auto c = f.connect();
    c.send(post(20 * kib));
    for (int i = 0; i < 20; ++i) {
      c.send(std::string(kib, 'x'));
      f.run_for(60);
    }
    cr_assert(f.status_of(c) == "200");
  }
  SECTION("but not a byte at a time")
  {
    auto c = f.connect();
    c.send(post(20 * kib));
    const auto started = now_ms();
    f.run_until([&] {
      c.send("x");
      f.run_for(50);
      c.read();
      return !c.status().empty();
    });
    cr_assert(c.status() == "408");
    cr_assert_lt(now_ms() - started, 3000);
  }
}

// Guards against a refusal that its caller cannot read, as closing the
// connection resets it while the caller still sends.
Test(server_limits, a_caller_that_still_sends_reads_its_refusal, .timeout = 30)
{
  fixture f{ limits_with(3000, mib) };
  auto c = f.connect();
  c.send(post(2 * mib) + std::string(8 * kib, 'x'));
  f.run_for(50);
  c.send(std::string(kib, 'x'));
  cr_assert(f.status_of(c) == "413");
  SECTION("and its connection is closed then")
  {
    f.run_until([&] { return f.server.open_connections() == 0; });
  }
}

// Guards against health checks whose bodies fill the memory.
Test(server_limits, bodies_that_nobody_reads_are_dropped, .timeout = 30)
{
  server_options options;
  options.keeps_bodies = false;
  fixture f{ {}, options };
  auto c = f.connect();
  f.send_all(c, post(8 * mib) + std::string(8 * mib, 'x'));
  cr_assert(f.status_of(c) == "200");
  cr_assert(f.last_body.empty());
  cr_assert_lt(f.memory->budget.peak_request_bytes, 64 * kib);
}
