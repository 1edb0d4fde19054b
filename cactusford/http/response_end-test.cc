// Tests how the client decides that a response is complete, with servers that
// close or reset the connection inside its head, or while the request is still
// being sent.
#include "cactusford/http/client.h"

#include "cactusford/testing/section.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cactusford;
using namespace cactusford::http;
using asio::ip::tcp;

namespace {

constexpr const char* unbounded_part =
  "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart of the body";

enum class ending
{
  reset,
  // The server has sent all, and reads on.
  in_order,
};

// Answers one request before it has read its body, and ends the connection.
struct early_server
{
  asio::io_context io;
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  std::thread thread;

  early_server(ending how, bool reads_all)
    : thread{ [this, how, reads_all] { serve(how, reads_all); } }
  {
  }
  ~early_server() { thread.join(); }
  early_server(const early_server&) = delete;
  early_server& operator=(const early_server&) = delete;

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  void serve(ending how, bool reads_all)
  {
    asio::error_code ec;
    auto s = acceptor.accept(ec);
    std::array<char, 4096> buffer{};
    s.read_some(asio::buffer(buffer), ec);
    while (reads_all && s.available(ec) > 0) {
      s.read_some(asio::buffer(buffer), ec);
    }
    asio::write(s, asio::buffer(std::string{ unbounded_part }), ec);
    if (how == ending::in_order) {
      s.shutdown(tcp::socket::shutdown_send, ec);
    }
    while (how == ending::in_order && !ec) {
      s.read_some(asio::buffer(buffer), ec);
    }
    s.set_option(asio::socket_base::linger{ true, 0 }, ec);
    s.close(ec);
  }
};

exchange_outcome
upload(const std::string& address, std::size_t body_bytes)
{
  asio::io_context io;
  client c{ io };
  exchange_options o;
  o.timeout_ms = 10000;
  o.echo = { "Id", "a" };
  o.body = std::make_shared<const std::string>(body_bytes, 'u');
  std::optional<exchange_outcome> end;
  c.fetch(address,
          { "POST", "/", { { "Host", "x" }, { "Id", "a" } }, "" },
          o,
          [&](exchange_outcome e, response&&) { end = e; });
  while (!end) {
    io.run_one();
  }
  return *end;
}

} // namespace

// Guards against a part of a body that is returned as the whole one: the server
// resets the connection while the request is being sent, the pending write
// takes the socket's error, and the read that follows sees an orderly end.
Test(response_end, is_not_complete_after_a_reset, .timeout = 120)
{
  constexpr int runs = 100;
  constexpr std::size_t sizes[] = { 100, 200U << 10, 3U << 20, 32U << 20 };
  for (const auto size : sizes) {
    int completed = 0;
    for (int i = 0; i < runs; ++i) {
      early_server server{ ending::reset, i % 2 == 0 };
      const auto end = upload(server.address(), size);
      completed += end == exchange_outcome::complete ? 1 : 0;
    }
    cr_expect_eq(completed, 0, "%d of %d at %zu bytes", completed, runs, size);
  }
}

// A server may answer before it has read the request, and end the connection in
// order. Guards against a complete response that is dropped.
Test(response_end, is_complete_when_the_server_ends_in_order, .timeout = 60)
{
  constexpr std::size_t sizes[] = { 100, 32U << 20 };
  for (const auto size : sizes) {
    early_server server{ ending::in_order, false };
    cr_assert(upload(server.address(), size) == exchange_outcome::complete);
  }
}

namespace {

// Sends the responses one after the other, each after it has read a request or,
// if it reads none, at once. The last one may be cut. Then ends the connection.
struct cutting_server
{
  asio::io_context io;
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  std::thread thread;

  cutting_server(std::vector<std::string> responses,
                 ending how,
                 bool reads_requests)
    : thread{ [this, responses = std::move(responses), how, reads_requests] {
      serve(responses, how, reads_requests);
    } }
  {
  }
  ~cutting_server() { thread.join(); }
  cutting_server(const cutting_server&) = delete;
  cutting_server& operator=(const cutting_server&) = delete;

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  void serve(const std::vector<std::string>& responses,
             ending how,
             bool reads_requests)
  {
    asio::error_code ec;
    auto s = acceptor.accept(ec);
    std::array<char, 4096> buffer{};
    for (const auto& r : responses) {
      if (reads_requests) {
        s.read_some(asio::buffer(buffer), ec);
      }
      asio::write(s, asio::buffer(r), ec);
    }
    if (how == ending::reset) {
      s.set_option(asio::socket_base::linger{ true, 0 }, ec);
    }
    s.close(ec);
  }
};

struct seen_response
{
  std::optional<exchange_outcome> end;
  response value;
};

// Sends a request for each response of the server; returns what was read of the
// last one.
seen_response
read_last(const std::vector<std::string>& responses,
          ending how,
          bool reads_requests)
{
  cutting_server server{ responses, how, reads_requests };
  asio::io_context io;
  client c{ io };
  seen_response last;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    last = {};
    exchange_options o;
    o.timeout_ms = 10000;
    c.fetch(server.address(),
            { "POST", "/", { { "Host", "x" } }, "request" },
            o,
            [&](exchange_outcome e, response&& r) {
              last = { e, std::move(r) };
            });
    while (!last.end) {
      io.run_one();
    }
  }
  return last;
}

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

// Heads of each kind of framing.
const std::vector<std::string> heads{
  ok_line + "Id: a\r\nContent-Length: 12\r\n\r\n",
  ok_line + "Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
  ok_line + "Id: a\r\nConnection: close\r\n\r\n",
  "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n" + ok_line + "Id: a\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok_line +
    "Content-Length: 0\r\n\r\n",
};

} // namespace

// Guards against a response whose head was cut that is returned as a whole one
// with an empty or short body: in the status line, in a name or a value, before
// the blank line, or behind an interim response.
Test(response_end, is_not_complete_inside_a_head, .timeout = 120)
{
  const std::string whole = ok_line + "Content-Length: 2\r\n\r\nok";
  for (const auto how : { ending::in_order, ending::reset }) {
    for (const auto reads_requests : { true, false }) {
      for (const auto& head : heads) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
          const auto part = head.substr(0, cut);
          const auto r = read_last({ part }, how, reads_requests);
          cr_expect(r.end != exchange_outcome::complete, "%s", part.c_str());
          cr_expect_eq(r.value.status, 0, "%s", part.c_str());
        }
      }
    }
  }
  SECTION("a whole head without a body is complete")
  {
    for (const auto at : { 2, 3, 4, 5, 6 }) {
      const auto& head = heads.at(static_cast<std::size_t>(at));
      const auto r = read_last({ head }, ending::in_order, true);
      cr_expect(r.end == exchange_outcome::complete, "%s", head.c_str());
    }
  }
  SECTION("on a connection that has carried a whole response")
  {
    for (const auto how : { ending::in_order, ending::reset }) {
      for (const auto& head : heads) {
        for (std::size_t cut = 1; cut < head.size(); ++cut) {
          const auto part = head.substr(0, cut);
          const auto r = read_last({ whole, part }, how, true);
          cr_expect(r.end != exchange_outcome::complete, "%s", part.c_str());
          cr_expect_eq(r.value.status, 0, "%s", part.c_str());
        }
      }
    }
  }
}
