// What every TCP connection of the edges has in common.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cactusford::http {

// "ip:port"; nothing when malformed.
std::optional<asio::ip::tcp::endpoint>
endpoint_from(std::string_view address);

// Sends small messages at once, and notices a peer that has gone silent.
void
tune(asio::ip::tcp::socket& socket);

// Milliseconds of the steady clock.
std::uint64_t
now_ms();

} // namespace cactusford::http
