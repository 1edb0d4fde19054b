#include "cactusford/link/link.h"

#include "cactusford/link/request.h"
#include "cactusford/testing/section.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <optional>

using namespace cactusford;
using namespace cactusford::link;

namespace {

// Two endpoints in one loop; `handler` is the server's.
struct pair
{
  explicit pair(accept_handler handler, limits l = {})
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
    cr_assert(done(), "it did not come about");
  }

  asio::io_context io;
  endpoint server;
  endpoint client;
  address bound;
};

} // namespace

Test(link, messages_arrive_whole_and_in_order)
{
  std::vector<stream_ptr> open;
  pair p{ [&](const stream_ptr& s) {
    open.push_back(s);
    s->on_message = [raw = s.get()](std::string_view m) {
      raw->send(std::string{ "<" } + std::string{ m } + ">");
      raw->finish();
    };
  } };
  const std::string large(3'000'000, 'x');
  std::optional<std::string> got;
  ask(p.io, p.client, p.bound, "/echo", large, 10000, [&](const auto& r) {
    cr_assert(static_cast<bool>(r));
    got = r.value;
  });
  p.run_until([&] { return got.has_value(); });
  cr_assert_eq(got->size(), large.size() + 2);
}

// The peer's process is gone. The caller learns that its request never left,
// which is the one case in which a booking may be sent elsewhere at once.
Test(link, a_dead_peer_is_told_from_a_cut_stream)
{
  std::vector<stream_ptr> open;
  pair p{ [&](const stream_ptr& s) { open.push_back(s); } };
  SECTION("nobody listens: not connected")
  {
    address nobody;
    {
      asio::ip::tcp::acceptor a{ p.io,
                                 { asio::ip::make_address("127.0.0.1"), 0 } };
      nobody = { "127.0.0.1", a.local_endpoint().port() };
    }
    std::optional<std::error_code> end;
    auto s = p.client.open(nobody, "/x");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send("booking");
    p.run_until([&] { return end.has_value(); });
    cr_assert(*end == link_error::not_connected);
  }
  SECTION("the server resets the stream: cut")
  {
    std::optional<std::error_code> end;
    auto s = p.client.open(p.bound, "/x");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send("booking");
    p.run_until([&] { return !open.empty(); });
    open[0]->cancel();
    p.run_until([&] { return end.has_value(); });
    cr_assert(*end == link_error::cut);
  }
}

// A server that leaves sends GOAWAY. A request that crosses it on the wire
// ends as "not connected", and one that was accepted before ends whole.
Test(link, a_leaving_server_cuts_nothing)
{
  std::vector<stream_ptr> open;
  pair p{ [&](const stream_ptr& s) { open.push_back(s); } };
  std::optional<std::string> got;
  ask(p.io, p.client, p.bound, "/slow", "q", 10000, [&](const auto& r) {
    cr_assert(static_cast<bool>(r), "%s", message_of(r.error).c_str());
    got = r.value;
  });
  p.run_until([&] { return !open.empty(); });
  p.server.stop_listening();
  std::optional<error_kind> late;
  ask(p.io, p.client, p.bound, "/late", "q", 10000, [&](const auto& r) {
    late = r.error.kind;
  });
  p.run_until([&] { return late.has_value(); });
  cr_assert(*late == error_kind::no_backend);
  reply(*open[0], "answer");
  p.run_until([&] { return got.has_value(); });
  cr_assert(*got == "answer");
}

// A peer that is not one of ours, or broken: its bytes cost a closed
// connection and nothing else.
Test(link, garbage_and_oversize_close_only_their_own_connection)
{
  limits l;
  l.max_message = 1000;
  std::vector<stream_ptr> open;
  std::size_t messages = 0;
  pair p{ [&](const stream_ptr& s) {
           open.push_back(s);
           s->on_message = [&](std::string_view) { ++messages; };
         },
          l };
  SECTION("garbage")
  {
    asio::ip::tcp::socket raw{ p.io };
    raw.connect({ asio::ip::make_address("127.0.0.1"), p.bound.port });
    asio::write(raw, asio::buffer(std::string(4096, 'g')));
    p.run_until([&] { return p.server.connections() == 1; });
    p.run_until([&] { return p.server.connections() == 0; });
  }
  SECTION("a message over the limit")
  {
    std::optional<std::error_code> end;
    auto s = p.client.open(p.bound, "/big");
    s->on_close = [&](std::error_code ec) { end = ec; };
    s->send(std::string(2000, 'b'));
    p.run_until([&] { return end.has_value(); });
    cr_assert(static_cast<bool>(*end));
    cr_assert_eq(messages, 0);
  }
  SECTION("the next peer is served")
  {
    auto s = p.client.open(p.bound, "/fine");
    s->send("hello");
    p.run_until([&] { return messages == 1; });
  }
}
