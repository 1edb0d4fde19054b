#include "cactusford/http/socket.h"

#include "cactusford/http/message.h"

#include <asio/ip/address_v4.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cactusford::http {

namespace {

// A connection whose peer lost power or sits behind a partition stays open
// for minutes by default, and a request on it hangs as long. Probes end it
// after about three seconds: shorter than any deadline of a batch, longer
// than a delayed acknowledgement.
constexpr int probe_after_s = 1;
constexpr int probe_every_s = 1;
constexpr int probe_count = 2;
constexpr int unacknowledged_limit_ms = 2500;

void
set_option(asio::ip::tcp::socket& socket, int level, int name, int value)
{
  // A socket that refuses the option still works; the timeouts of each
  // request remain.
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

void
configure_socket(asio::ip::tcp::socket& socket)
{
  set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_every_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
  set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
  // A wait for bytes may end without any. A read that then waited for them
  // would hold up the one thread, and with it every other connection, for ever.
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
}

bool
is_early(const asio::error_code& ec)
{
  return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace cactusford::http
