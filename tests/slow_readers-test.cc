// Callers of an entry process that read slowly or not at all, beside callers
// that read at once.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

using namespace cactusford;
using namespace cactusford::testing;

namespace {

constexpr std::size_t reader_count = 100;

// A caller that asks for a large answer and reads it only when told.
struct slow_reader
{
  asio::ip::tcp::socket socket;
  std::string received;
  bool at_end = false;

  slow_reader(process_cluster& c, const std::string& body)
    : socket{ c.io }
  {
    socket.open(asio::ip::tcp::v4());
    // A small window, so that the answer waits in the entry.
    socket.set_option(asio::socket_base::receive_buffer_size{ 16 << 10 });
    socket.connect(*http::endpoint_from(c.entries.front().callers));
    const auto id = "slow-" + std::to_string(++c.next_id);
    asio::write(socket,
                asio::buffer("POST /look/ HTTP/1.1\r\nHost: h\r\nId: " + id +
                             "\r\nWait: 2000\r\nConnection: close\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
    socket.non_blocking(true);
  }

  void read(std::size_t limit = 64U << 10)
  {
    std::string buffer(limit, '\0');
    asio::error_code ec;
    const auto count = socket.read_some(asio::buffer(buffer), ec);
    received.append(buffer, 0, count);
    at_end = at_end || (ec && ec != asio::error::would_block);
  }

  bool is_served(std::size_t body_bytes) const
  {
    return received.starts_with("HTTP/1.1 200 ") &&
           received.size() > body_bytes;
  }

  bool is_refused() const
  {
    return received.starts_with("HTTP/1.1 503 ") &&
           received.find("Retry-After: ") != std::string::npos;
  }
};

std::uint64_t
metric(process_cluster& c, const std::string& name)
{
  const auto text =
    c.send_request(c.entries.front().metrics,
                   { "GET", "/metrics", { { "Host", "h" } }, "" })
      .value.body;
  const auto at = text.find("\ncactusford_" + name + " ");
  return at == std::string::npos ? 0
                                 : static_cast<std::uint64_t>(std::stod(
                                     text.substr(text.find(' ', at) + 1)));
}

// The body of a request is the size of its answer.
std::string
body_of_size(const http::request& r)
{
  return std::string(http::parse_number(r.body).value_or(0), 'a');
}

// Reads a little from each, as the kernel closes a connection whose caller has
// read nothing for 2.5 s.
void
read_slowly(std::vector<slow_reader>& readers)
{
  for (auto& r : readers) {
    r.read(8U << 10);
  }
}

void
read_all(process_cluster& c, std::vector<slow_reader>& readers)
{
  c.run_until([&] {
    bool at_end = true;
    for (auto& r : readers) {
      r.read();
      at_end = at_end && r.at_end;
    }
    return at_end;
  });
}

} // namespace

// Guards against callers that read at once being refused or waiting because of
// a hundred slow readers whose answers fit into the bound.
Test(slow_readers, beside_fast_ones_below_the_bound, .timeout = 120)
{
  process_cluster cluster{ "slow-below", 1, { { "memory_mb", 120 } } };
  cluster.answer_body = body_of_size;
  cluster.wait_for_servers();
  constexpr std::size_t size = 250U << 10;
  std::vector<slow_reader> readers;
  for (std::size_t i = 0; i < reader_count; ++i) {
    readers.emplace_back(cluster, std::to_string(size));
    if (i % 10 == 0) {
      cr_assert_eq(cluster.call(0, "10").value.status, 200);
    }
  }
  for (int i = 0; i < 40; ++i) {
    cr_assert_eq(cluster.call(0, "10").value.status, 200);
    if (i % 10 == 0) {
      read_slowly(readers);
    }
  }
  cr_assert_gt(metric(cluster, "buffered_bytes"), 0);
  read_all(cluster, readers);
  cr_assert(std::all_of(readers.begin(), readers.end(), [&](const auto& r) {
    return r.is_served(size);
  }));
  cr_assert_eq(metric(cluster, "calls_refused_memory"), 0);
}

// Guards against an entry that takes calls until its memory is exhausted, and
// against one that stays closed after its slow readers have gone.
Test(slow_readers, above_the_bound, .timeout = 120)
{
  process_cluster cluster{ "slow-above", 1, { { "memory_mb", 120 } } };
  cluster.answer_body = body_of_size;
  cluster.wait_for_servers();
  constexpr std::size_t size = 1U << 20;
  std::vector<slow_reader> readers;
  const auto connect_some = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      readers.emplace_back(cluster, std::to_string(size));
    }
    cluster.run_for(100);
    read_slowly(readers);
  };
  for (std::size_t i = 0; i < reader_count / 10; ++i) {
    connect_some(10);
  }
  const auto refused = cluster.call(0, "10", "/book/");
  cr_assert_eq(refused.value.status, 503);
  cr_assert(http::find(refused.value.fields, "Retry-After"));
  cr_assert(cluster.last_request.body != "10", "a refused call must not run");
  SECTION("readiness is not affected")
  {
    const auto& e = cluster.entries.front();
    const http::request r{ "GET", "/", { { "Host", "h" } }, "" };
    cr_assert_eq(cluster.send_request(e.ready, r).value.status, 200);
  }
  SECTION("answers that have begun are complete, and the others are refused")
  {
    read_all(cluster, readers);
    std::size_t served = 0;
    for (const auto& r : readers) {
      cr_assert(r.is_served(size) || r.is_refused());
      served += r.is_served(size) ? 1 : 0;
    }
    cr_assert_gt(served, 0);
    cr_assert_lt(served, reader_count);
    cr_assert_eq(cluster.call(0, "10").value.status, 200);
  }
  SECTION("calls are served again once the readers have disconnected")
  {
    connect_some(40);
    readers.clear();
    cluster.run_until([&] { return metric(cluster, "buffered_bytes") == 0; });
    cr_assert_eq(cluster.call(0, "10").value.status, 200);
  }
}

// Guards against a shutdown that cuts an answer which its caller still reads.
// The entry stopped once no call ran any more.
Test(slow_readers, get_their_answer_during_shutdown, .timeout = 60)
{
  process_cluster cluster{ "slow-leaving",
                           1,
                           { { "memory_mb", 120 }, { "grace_s", 20 } } };
  cluster.answer_body = body_of_size;
  cluster.wait_for_servers();
  constexpr std::size_t size = 6U << 20;
  slow_reader r{ cluster, std::to_string(size) };
  cluster.run_until([&] {
    r.read(1);
    return !r.received.empty();
  });
  auto& e = cluster.entries.front();
  kill(e.pid, SIGTERM);
  // At most 32 KB each 20 ms, so longer than the minimum time of a shutdown.
  while (!r.at_end) {
    cluster.run_for(20);
    r.read(32U << 10);
  }
  cr_assert(r.is_served(size));
  SECTION("and the entry exits then")
  {
    cr_assert_eq(waitpid(e.pid, nullptr, 0), e.pid);
    e.pid = 0;
  }
}

// Guards against a changed decision where the memory is not configured.
Test(slow_readers, are_not_bounded_without_the_setting, .timeout = 120)
{
  process_cluster cluster{ "slow-unbounded", 1 };
  cluster.answer_body = body_of_size;
  cluster.wait_for_servers();
  constexpr std::size_t size = 1U << 20;
  std::vector<slow_reader> readers;
  for (std::size_t i = 0; i < reader_count / 2; ++i) {
    readers.emplace_back(cluster, std::to_string(size));
    cr_assert_eq(cluster.call(0, "10").value.status, 200);
    read_slowly(readers);
  }
  read_all(cluster, readers);
  cr_assert(std::all_of(readers.begin(), readers.end(), [&](const auto& r) {
    return r.is_served(size);
  }));
  cr_assert_eq(metric(cluster, "calls_refused_memory"), 0);
}
