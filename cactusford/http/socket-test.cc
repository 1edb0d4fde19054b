#include "cactusford/http/socket.h"

#include "cactusford/http/client.h"
#include "cactusford/http/probe.h"
#include "cactusford/http/server.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusford;
using asio::ip::tcp;

// A socket can be reported readable without data, for example because another
// read on it consumed the data. A server that then reads must not block: in a
// soak run, one entry and all its callers hung until the entry was killed.
Test(socket, never_blocks_in_a_read, .timeout = 10)
{
  asio::io_context io;
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket client{ io };
  client.connect(acceptor.local_endpoint());
  auto accepted = acceptor.accept();
  http::configure_socket(accepted);
  std::array<char, 8> buffer{};
  asio::error_code ec;
  accepted.read_some(asio::buffer(buffer), ec);
  cr_assert(http::is_would_block(ec));
  SECTION("a closed connection is not reported as would-block")
  {
    client.close();
    accepted.wait(tcp::socket::wait_read, ec);
    accepted.read_some(asio::buffer(buffer), ec);
    cr_assert_not(http::is_would_block(ec));
    cr_assert(ec);
  }
}

// A port that is not bound and of the parity that the kernel prefers for
// outgoing connections.
namespace {

tcp::endpoint
unused_endpoint(asio::io_context& io)
{
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket outgoing{ io };
  outgoing.connect(acceptor.local_endpoint());
  const auto at = outgoing.local_endpoint();
  outgoing.set_option(asio::socket_base::linger{ true, 0 });
  return at;
}

} // namespace

// The local port of an outgoing connection may be the port of a process that is
// down. If the connection held the port, the process could not listen again
// before it has ended, and for a minute of TIME_WAIT after that.
Test(socket, outgoing_connections_hold_no_port, .timeout = 10)
{
  asio::io_context io;
  tcp::acceptor peer{ io, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket outgoing{ io };
  http::open_outgoing(outgoing, peer.local_endpoint());
  // The kernel shares a port that it chooses in connect with other programs.
  outgoing.bind({ asio::ip::address_v4::loopback(), 0 });
  outgoing.connect(peer.local_endpoint());
  const auto local = outgoing.local_endpoint();
  auto accepted = peer.accept();
  const auto listen = [&] {
    http::server server{ io, {}, [](const http::call&) {} };
    return server.listen("127.0.0.1:" + std::to_string(local.port()));
  };
  SECTION("while they exist")
  {
    cr_assert_not(listen());
  }
  SECTION("while they are in TIME_WAIT")
  {
    outgoing.close();
    accepted.close();
    cr_assert_not(listen());
  }
}

// A connection to a process that is down may get that process's port as its
// local port, and then leads to itself. A caller would read its own request as
// the answer, and the process could not listen at its port.
Test(socket, connections_to_themselves_are_reset, .timeout = 10)
{
  asio::io_context io;
  tcp::socket s{ io };
  http::open_outgoing(s, { asio::ip::address_v4::loopback(), 0 });
  s.bind({ asio::ip::address_v4::loopback(), 0 });
  const auto at = s.local_endpoint();
  s.connect(at);
  cr_assert(http::reset_if_self_connected(s));
  cr_assert_not(s.is_open());
  SECTION("and leave the port free")
  {
    asio::error_code ec;
    tcp::acceptor acceptor{ io, tcp::v4() };
    acceptor.bind(at, ec);
    cr_assert_not(ec, "%s", ec.message().c_str());
  }
  SECTION("but not those to others")
  {
    tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
    tcp::socket other{ io };
    other.connect(acceptor.local_endpoint());
    cr_assert_not(http::reset_if_self_connected(other));
  }
}

namespace {

// The kernel tries one local port after another for connections to the same
// address, so one of these leads to itself.
constexpr int all_local_ports = 40000;

} // namespace

// Callers got "malformed", an outcome that may not be repeated, although nobody
// had received the request.
Test(socket, requests_to_themselves_are_not_sent, .timeout = 120)
{
  asio::io_context io;
  const auto at = unused_endpoint(io);
  const auto address = "127.0.0.1:" + std::to_string(at.port());
  SECTION("by the client")
  {
    http::client client{ io };
    int not_sent = 0;
    for (int i = 0; i < all_local_ports; ++i) {
      bool is_done = false;
      client.fetch(address,
                   { "GET", "/", { { "Host", "x" } }, "" },
                   {},
                   [&](http::exchange_outcome e, http::response&&) {
                     is_done = true;
                     not_sent += e == http::exchange_outcome::not_sent ? 1 : 0;
                   });
      while (!is_done) {
        io.restart();
        io.run_one();
      }
    }
    cr_assert_eq(not_sent, all_local_ports);
  }
  SECTION("by a probe, which would find the dead process alive")
  {
    int refused = 0;
    for (int i = 0; i < all_local_ports; ++i) {
      bool is_done = false;
      http::probe(io, address, 1000, [&](http::probe_result r) {
        is_done = true;
        refused += r == http::probe_result::refused ? 1 : 0;
      });
      while (!is_done) {
        io.restart();
        io.run_one();
      }
    }
    cr_assert_eq(refused, all_local_ports);
  }
}
