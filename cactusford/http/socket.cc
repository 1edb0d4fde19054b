#include "cactusford/http/socket.h"

#include "cactusford/http/message.h"

#include <asio/ip/address_v4.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cactusford::http {

namespace {

// By default, a connection whose peer lost power or is partitioned stays open
// for minutes, and so does a request on it. Keep-alive probes close it after
// about three seconds: shorter than any batch deadline, longer than a delayed
// acknowledgement.
constexpr int probe_after_s = 1;
constexpr int probe_every_s = 1;
constexpr int probe_count = 2;

void
set_option(asio::ip::tcp::socket& socket, int level, int name, int value)
{
  // Errors are ignored: without the option the socket still works, and the
  // timeout of each request applies.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

std::optional<asio::ip::tcp::endpoint>
endpoint_from(std::string_view address)
{
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  asio::error_code ec;
  const auto ip =
    asio::ip::make_address_v4(std::string{ address.substr(0, colon) }, ec);
  const auto port = parse_number(address.substr(colon + 1));
  constexpr std::uint64_t max_port = 65535;
  if (ec || !port || *port > max_port) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint{ ip, static_cast<std::uint16_t>(*port) };
}

bool
is_connectable(std::string_view address)
{
  const auto at = endpoint_from(address);
  if (!at || at->port() == 0) {
    return false;
  }
  const auto ip = at->address().to_v4();
  // A text with more behind the digits is another address than it seems.
  const bool is_exact = address.starts_with(ip.to_string() + ":");
  return is_exact && !ip.is_unspecified() && !ip.is_multicast() &&
         ip != asio::ip::address_v4::broadcast();
}

void
open_outgoing(asio::ip::tcp::socket& socket,
              const asio::ip::tcp::endpoint& peer)
{
  asio::error_code ec;
  socket.open(peer.protocol(), ec);
  if (!ec) {
    // Without the option the socket still works.
    socket.set_option(asio::socket_base::reuse_address{ true }, ec);
  }
}

bool
reset_if_self_connected(asio::ip::tcp::socket& socket)
{
  asio::error_code no_local;
  asio::error_code no_remote;
  const auto local = socket.local_endpoint(no_local);
  const auto remote = socket.remote_endpoint(no_remote);
  if (no_local || no_remote || local != remote) {
    return false;
  }
  // An orderly close would leave the port of the absent listener in TIME_WAIT.
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  socket.close(ignored);
  return true;
}

void
configure_socket(asio::ip::tcp::socket& socket)
{
  set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_every_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
  set_unacknowledged_limit(socket, unacknowledged_limit_ms);
  // A socket can be reported readable without any data. A blocking read would
  // then block the only thread, and so all other connections, indefinitely.
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
}

output_state
output_state_of(asio::ip::tcp::socket& socket)
{
  int kept = 0;
  int unsent = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &kept) != 0 ||
      ::ioctl(socket.native_handle(), SIOCOUTQNSD, &unsent) != 0) {
    return output_state::unknown;
  }
  if (kept == 0) {
    return output_state::delivered;
  }
  return kept > unsent ? output_state::unacknowledged
                       : output_state::held_by_peer;
}

void
set_unacknowledged_limit(asio::ip::tcp::socket& socket, std::uint64_t ms)
{
  set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

bool
is_would_block(const asio::error_code& ec)
{
  return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace cactusford::http
