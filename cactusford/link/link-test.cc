#include "cactusford/link/link.h"

#include "cactusford/link/request.h"
#include "cactusford/testing/section.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <optional>

#include <sys/resource.h>

using namespace cactusford;
using namespace cactusford::link;

namespace {

// A client and a server endpoint on one event loop. `handler` is the server's.
struct endpoint_pair
{
  explicit endpoint_pair(accept_handler handler, limits l = {})
    : server{ io, l }
    , client{ io, l }
  {
    const auto ec =
      server.listen({ "127.0.0.1", 0 }, std::move(handler), bound);
    cr_assert(!ec);
  }

  void run_until(const std::function<bool()>& done)
  {
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds{ 20 };
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds{ 100 });
      io.restart();
    }
    cr_assert(done(), "condition not met within 20 seconds");
  }

  asio::io_context io;
  endpoint server;
  endpoint client;
  address bound;
};

} // namespace

Test(link, messages_arrive_complete_and_in_order)
{
  std::vector<stream_ptr> open;
  endpoint_pair endpoints{ [&](const stream_ptr& s) {
    open.push_back(s);
    s->on_message = [raw = s.get()](std::string_view m) {
      raw->send(std::string{ "<" } + std::string{ m } + ">");
      raw->finish();
    };
  } };
  const std::string large(3'000'000, 'x');
  std::optional<std::string> received;
  send_request(endpoints.io,
               endpoints.client,
               endpoints.bound,
               "/echo",
               large,
               10000,
               [&](const auto& r) {
                 cr_assert(static_cast<bool>(r));
                 received = r.value;
               });
  endpoints.run_until([&] { return received.has_value(); });
  cr_assert_eq(received->size(), large.size() + 2);
}

// If the peer's process does not exist, the caller must learn that its request
// was not sent: only then may a non-idempotent request be sent elsewhere at
// once.
Test(link, distinguishes_a_dead_peer_from_a_reset_stream)
{
  std::vector<stream_ptr> open;
  endpoint_pair endpoints{ [&](const stream_ptr& s) { open.push_back(s); } };
  SECTION("no process listens: not_connected")
  {
    address unused_address;
    {
      asio::ip::tcp::acceptor a{ endpoints.io,
                                 { asio::ip::make_address("127.0.0.1"), 0 } };
      unused_address = { "127.0.0.1", a.local_endpoint().port() };
    }
    std::optional<std::error_code> end;
    auto s = endpoints.client.open(unused_address, "/x");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send("booking");
    endpoints.run_until([&] { return end.has_value(); });
    cr_assert(*end == link_error::not_connected);
  }
  SECTION("the server resets the stream: closed_early")
  {
    std::optional<std::error_code> end;
    auto s = endpoints.client.open(endpoints.bound, "/x");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send("booking");
    endpoints.run_until([&] { return !open.empty(); });
    open[0]->cancel();
    endpoints.run_until([&] { return end.has_value(); });
    cr_assert(*end == link_error::closed_early);
  }
}

// A draining server sends GOAWAY. A request sent before the client receives it
// ends as not_connected, and one accepted earlier completes.
Test(link, a_draining_server_completes_open_streams)
{
  std::vector<stream_ptr> open;
  endpoint_pair endpoints{ [&](const stream_ptr& s) { open.push_back(s); } };
  std::optional<std::string> received;
  send_request(endpoints.io,
               endpoints.client,
               endpoints.bound,
               "/slow",
               "q",
               10000,
               [&](const auto& r) {
                 cr_assert(
                   static_cast<bool>(r), "%s", message_of(r.error).c_str());
                 received = r.value;
               });
  endpoints.run_until([&] { return !open.empty(); });
  endpoints.server.stop_listening();
  std::optional<error_kind> late_error;
  send_request(endpoints.io,
               endpoints.client,
               endpoints.bound,
               "/late",
               "q",
               10000,
               [&](const auto& r) { late_error = r.error.kind; });
  endpoints.run_until([&] { return late_error.has_value(); });
  cr_assert(*late_error == error_kind::no_backend);
  reply(*open[0], "answer");
  endpoints.run_until([&] { return received.has_value(); });
  cr_assert(*received == "answer");
}

// Invalid input from a foreign or faulty peer must close its own connection and
// affect nothing else.
Test(link, invalid_input_closes_only_its_own_connection)
{
  limits l;
  l.max_message = 1000;
  std::vector<stream_ptr> open;
  std::size_t messages = 0;
  endpoint_pair endpoints{ [&](const stream_ptr& s) {
                            open.push_back(s);
                            s->on_message = [&](std::string_view) {
                              ++messages;
                            };
                          },
                           l };
  SECTION("the input is not HTTP/2")
  {
    asio::ip::tcp::socket raw{ endpoints.io };
    raw.connect({ asio::ip::make_address("127.0.0.1"), endpoints.bound.port });
    asio::write(raw, asio::buffer(std::string(4096, 'g')));
    endpoints.run_until([&] { return endpoints.server.connections() == 1; });
    endpoints.run_until([&] { return endpoints.server.connections() == 0; });
  }
  SECTION("a message over the limit")
  {
    std::optional<std::error_code> end;
    auto s = endpoints.client.open(endpoints.bound, "/big");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send(std::string(2000, 'b'));
    endpoints.run_until([&] { return end.has_value(); });
    cr_assert(static_cast<bool>(*end));
    cr_assert_eq(messages, 0);
  }
  SECTION("the next peer is served")
  {
    auto s = endpoints.client.open(endpoints.bound, "/fine");
    s->send("hello");
    endpoints.run_until([&] { return messages == 1; });
  }
}

// Guards against calls into objects that are gone: a process that ends with
// open streams destroys their owners before its endpoint.
Test(link, an_endpoint_that_is_destroyed_calls_no_handler)
{
  int closed = 0;
  int reached = 0;
  std::vector<stream_ptr> open;
  const auto count = [&](std::error_code) { ++closed; };
  {
    endpoint_pair endpoints{ [&](const stream_ptr& s) {
      ++reached;
      s->on_close = count;
      open.push_back(s);
    } };
    SECTION("a stream that is open at both ends")
    {
      const auto s = endpoints.client.open(endpoints.bound, "/open");
      s->on_close = count;
      s->send("hello");
      open.push_back(s);
      endpoints.run_until([&] { return reached == 1; });
    }
    SECTION("a stream whose connection is not open yet")
    {
      open.push_back(
        endpoints.client.open({ "127.0.0.1", 1 }, "/not-connected"));
      open.back()->on_close = count;
    }
  }
  cr_assert_eq(closed, 0);
}

// Without descriptors, accepting fails at once, and the process did nothing
// else but try until a caller left.
Test(link, a_server_without_descriptors_pauses, .timeout = 60)
{
  endpoint_pair endpoints{ [](const stream_ptr&) {} };
  asio::ip::tcp::socket caller{ endpoints.io };
  caller.open(asio::ip::tcp::v4());
  rlimit before{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
  const rlimit none{ 0, before.rlim_max };
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
  caller.connect({ asio::ip::make_address("127.0.0.1"), endpoints.bound.port });
  // Each pause is one handler.
  constexpr std::size_t many = 1000;
  std::size_t handlers = 0;
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds{ 200 };
  while (std::chrono::steady_clock::now() < end && handlers < many) {
    handlers += endpoints.io.run_one_for(std::chrono::milliseconds{ 10 });
  }
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
  cr_assert_lt(handlers, many);
  endpoints.run_until([&] { return endpoints.server.connections() == 1; });
}

// A connection to a process that is down may lead to itself. The request was
// then cut, an outcome that may not be repeated, although nobody had received
// it.
Test(link, a_connection_to_itself_is_not_connected, .timeout = 120)
{
  asio::io_context io;
  endpoint client{ io, {} };
  address absent{ "127.0.0.1", 0 };
  {
    // A port that the kernel chooses for a connection, so that it will do so
    // again.
    endpoint_pair other{ [](const stream_ptr&) {} };
    asio::ip::tcp::socket s{ other.io };
    s.connect({ asio::ip::make_address("127.0.0.1"), other.bound.port });
    absent.port = s.local_endpoint().port();
    s.set_option(asio::socket_base::linger{ true, 0 });
  }
  constexpr int all_local_ports = 40000;
  int not_connected = 0;
  for (int i = 0; i < all_local_ports; ++i) {
    bool is_done = false;
    auto s = client.open(absent, "/x");
    s->on_close = [&](std::error_code ec) {
      is_done = true;
      not_connected += ec == link_error::not_connected ? 1 : 0;
    };
    while (!is_done) {
      io.restart();
      io.run_one();
    }
  }
  cr_assert_eq(not_connected, all_local_ports);
}
