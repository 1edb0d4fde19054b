// Address parsing and socket options shared by the HTTP client and server.
#pragma once

#include "cactusford/http/clock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::http {

// Parses "ip:port". Returns nullopt if the address is malformed.
std::optional<asio::ip::tcp::endpoint>
endpoint_from(std::string_view address);

// Opens a socket for an outgoing connection. Its local port does not keep a
// listener of this machine from binding it, not even in TIME_WAIT. On an error
// the socket stays closed, and connecting it reports the error.
void
open_outgoing(asio::ip::tcp::socket& socket,
              const asio::ip::tcp::endpoint& peer);

// Returns true, and resets the connection, if it leads to the socket itself: a
// connection to a port on which nobody listens succeeds if the kernel chooses
// the same port as its local port.
bool
reset_if_self_connected(asio::ip::tcp::socket& socket);

// Returns true if a connection to "ip:port" can be opened: the address is that
// of one machine, and the port is not 0.
bool
is_connectable(std::string_view address);

// Disables Nagle's algorithm, enables keep-alive probes that detect an
// unreachable peer, and makes the socket non-blocking.
void
configure_socket(asio::ip::tcp::socket& socket);

// What became of the bytes that were written to a socket.
enum class output_state
{
  unknown,
  // The peer has acknowledged all of them.
  delivered,
  // The peer has not acknowledged some that were sent.
  unacknowledged,
  // The peer has acknowledged all that were sent and has no room for more.
  held_by_peer,
};

output_state
output_state_of(asio::ip::tcp::socket& socket);

// How long a peer may acknowledge nothing before the kernel ends the
// connection. The kernel also counts the time in which the peer acknowledges
// but has no room.
constexpr std::uint64_t unacknowledged_limit_ms = 2500;

void
set_unacknowledged_limit(asio::ip::tcp::socket& socket, std::uint64_t ms);

// Returns true if a read found no data and must be retried.
bool
is_would_block(const asio::error_code& ec);

} // namespace cactusford::http
