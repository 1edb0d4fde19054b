// Tests the accounting of answers over loopback, with callers that read slowly
// or not at all.
#include "cactusford/http/client.h"
#include "cactusford/http/clock.h"
#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"

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

constexpr std::size_t answer_bytes = 12U << 20;

// Longer than any step of these tests; exceeded only if something hangs.
constexpr std::uint64_t max_wait_ms = 10000;

// A server whose answers have `answer_bytes`, and callers that read when told.
struct fixture
{
  asio::io_context io;
  std::shared_ptr<buffer_budget> buffers = std::make_shared<buffer_budget>();
  std::size_t size = answer_bytes;
  int calls = 0;
  http::server server;

  explicit fixture(const server_limits& limits = {})
    : server{ io,
              limits,
              [this](const call& c) {
                ++calls;
                c.respond({ 200, {}, std::string(size, 'a') });
              },
              buffers }
  {
    // With a bound, the kernel holds little of an answer.
    buffers->limit_bytes = 1U << 30;
    cr_assert_not(server.listen("127.0.0.1:0"));
  }

  asio::ip::tcp::socket connect(const std::string& bytes)
  {
    asio::ip::tcp::socket s{ io };
    s.open(asio::ip::tcp::v4());
    // A small window, so that the bytes wait in the server.
    s.set_option(asio::socket_base::receive_buffer_size{ 16 << 10 });
    s.connect({ asio::ip::address_v4::loopback(), server.port() });
    asio::write(s, asio::buffer(bytes));
    s.non_blocking(true);
    return s;
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

  // Reads what has arrived, up to `limit` bytes. Returns nullopt at the end of
  // the connection.
  static std::optional<std::size_t> read_some(asio::ip::tcp::socket& s,
                                              std::size_t limit)
  {
    std::string buffer(limit, '\0');
    asio::error_code ec;
    const auto count = s.read_some(asio::buffer(buffer), ec);
    if (ec && ec != asio::error::would_block) {
      return std::nullopt;
    }
    return count;
  }

  std::size_t read_to_the_end(asio::ip::tcp::socket& s)
  {
    std::size_t sum = 0;
    bool at_end = false;
    run_until([&] {
      const auto count = read_some(s, 1U << 20);
      sum += count.value_or(0);
      at_end = !count;
      return at_end;
    });
    return sum;
  }
};

std::size_t
allocated_bytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

const std::string last_request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
const std::string request_text = "GET / HTTP/1.1\r\n\r\n";

} // namespace

// Guards against answers that are held without being counted, and against
// answers above 8 MB, which were cut although 16 MB are collected for a caller.
Test(slow_reader, counts_an_answer_until_it_is_read)
{
  fixture f;
  auto s = f.connect(last_request);
  f.run_until([&] { return f.calls == 1; });
  cr_assert_geq(f.buffers->bytes, answer_bytes);
  cr_assert_geq(f.server.unsent_bytes(), answer_bytes);
  cr_assert_geq(f.read_to_the_end(s), answer_bytes);
  cr_assert_eq(f.buffers->bytes, 0);
  cr_assert_eq(f.server.unsent_bytes(), 0);
  cr_assert_geq(f.buffers->peak_bytes, answer_bytes);
  cr_assert_eq(f.server.active_requests(), 0);
}

// Guards against bytes that stay counted, so that calls are refused, after the
// caller has disconnected.
Test(slow_reader, releases_an_answer_when_its_caller_disconnects)
{
  fixture f;
  {
    const auto s = f.connect(request_text);
    f.run_until([&] { return f.calls == 1; });
    cr_assert_geq(f.buffers->bytes, answer_bytes);
  }
  f.run_until([&] { return f.buffers->bytes == 0; });
  SECTION("and when the server closes all connections")
  {
    const auto s = f.connect(request_text);
    f.run_until([&] { return f.calls == 2; });
    f.server.close();
    cr_assert_eq(f.buffers->bytes, 0);
  }
}

// Guards against connections that keep the memory of their largest answer while
// they are open, which no total counts.
Test(slow_reader, frees_the_memory_of_an_answer_once_it_is_read)
{
  fixture f;
  auto s = f.connect(request_text);
  f.run_until([&] { return f.calls == 1; });
  const auto before = allocated_bytes();
  f.run_until([&] {
    fixture::read_some(s, 1U << 20);
    return f.buffers->bytes == 0;
  });
  cr_assert_eq(f.server.idle_connections(), 1);
  cr_assert_leq(allocated_bytes() + answer_bytes / 2, before);
}

// Guards against a caller that sends many requests without reading an answer:
// all of its answers were held at the same time.
Test(slow_reader, starts_no_further_request_of_a_caller_that_does_not_read)
{
  fixture f;
  std::string requests;
  constexpr int count = 9;
  for (int i = 1; i < count; ++i) {
    requests += request_text;
  }
  auto s = f.connect(requests + last_request);
  f.run_until([&] { return f.calls > 0; });
  f.io.poll();
  cr_assert_eq(f.calls, 1);
  SECTION("the others are answered once it reads")
  {
    cr_assert_geq(f.read_to_the_end(s), count * answer_bytes);
    cr_assert_eq(f.calls, count);
  }
}

// Guards against cutting an answer because the time for idle connections passes
// while its caller still reads.
Test(slow_reader, is_not_idle_while_it_reads)
{
  server_limits limits;
  limits.idle_ms = 600;
  fixture f{ limits };
  f.size = 3U << 20;
  auto s = f.connect(last_request);
  std::size_t sum = 0;
  bool at_end = false;
  auto next_read_ms = now_ms();
  const auto started_ms = now_ms();
  f.run_until([&] {
    if (now_ms() >= next_read_ms) {
      next_read_ms += 20;
      const auto count = fixture::read_some(s, 32U << 10);
      sum += count.value_or(0);
      at_end = !count;
    }
    return at_end;
  });
  cr_assert_geq(sum, f.size);
  cr_assert_gt(now_ms() - started_ms, limits.idle_ms + 500);
}

// Guards against a live caller whose connection is reset in the middle of its
// answer, because it has no room for some seconds.
Test(slow_reader, is_not_dead_while_it_has_no_room, .timeout = 30)
{
  fixture f;
  // Far below the fixture's bound on buffered bytes.
  f.size = 3U << 20;
  auto s = f.connect(last_request);
  constexpr std::uint64_t pause_ms = 2 * unacknowledged_limit_ms;
  const auto until_ms = now_ms() + pause_ms;
  f.run_until([&] { return now_ms() >= until_ms; });
  cr_assert_geq(f.read_to_the_end(s), f.size);
  SECTION("unless memory for answers is short")
  {
    f.buffers->limit_bytes = f.size;
    auto slow = f.connect(last_request);
    f.run_until([&] { return f.calls == 2; });
    f.run_until([&] { return f.buffers->bytes == 0; });
  }
}

// Guards against answers that are collected for many callers at once and count
// only when they are complete.
Test(slow_reader, counts_what_the_client_collects_from_its_arrival)
{
  fixture f;
  const auto collected = std::make_shared<buffer_budget>();
  http::client client{ f.io };
  client.count_collected(collected);
  const auto address = "127.0.0.1:" + std::to_string(f.server.port());
  bool done = false;
  std::size_t head_bytes = 0;
  const auto fetch = [&] {
    return client.fetch(address,
                        { "GET", "/", {}, "" },
                        {},
                        [&](exchange_outcome e, response&& r) {
                          head_bytes = memory_of(r.fields);
                          done = e == exchange_outcome::complete &&
                                 r.body.size() == answer_bytes;
                        });
  };
  auto pending = fetch();
  f.run_until([&] { return collected->bytes > 0; });
  cr_assert_lt(collected->bytes, answer_bytes);
  SECTION("until the answer is handed over")
  {
    f.run_until([&] { return done; });
    cr_assert_eq(collected->bytes, 0);
    cr_assert_gt(head_bytes, 0);
    cr_assert_eq(collected->peak_bytes, head_bytes + answer_bytes);
  }
  SECTION("or the request is cancelled")
  {
    pending = fetch();
    f.run_until([&] { return collected->bytes > 0; });
    pending.cancel();
    f.run_until([&] { return collected->bytes == 0; });
  }
}
