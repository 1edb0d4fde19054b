#include "cactusford/http/probe.h"

#include "cactusford/http/socket.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <memory>

namespace cactusford::http {

void
probe(asio::io_context& io,
      const std::string& address,
      std::uint64_t timeout_ms,
      std::function<void(probe_result)> done)
{
  const auto endpoint = endpoint_from(address);
  if (!endpoint) {
    asio::post(io, [done] { done(probe_result::no_response); });
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(io);
  auto timer =
    std::make_shared<http::timer>(io, std::chrono::milliseconds{ timeout_ms });
  timer->async_wait([socket](asio::error_code ec) {
    if (!ec) {
      asio::error_code ignored;
      socket->close(ignored);
    }
  });
  open_outgoing(*socket, *endpoint);
  socket->async_connect(*endpoint, [socket, timer, done](asio::error_code ec) {
    timer->cancel();
    const bool is_refused = ec == asio::error::connection_refused ||
                            (!ec && reset_if_self_connected(*socket));
    if (is_refused) {
      done(probe_result::refused);
    } else if (!ec) {
      done(probe_result::accepted);
    } else {
      done(probe_result::no_response);
    }
  });
}

} // namespace cactusford::http
