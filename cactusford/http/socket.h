// What every TCP connection of the edges has in common.
#pragma once

#include "cactusford/http/clock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cactusford::http {

// "ip:port"; nothing when malformed.
std::optional<asio::ip::tcp::endpoint>
endpoint_from(std::string_view address);

// Sends small messages at once, notices a peer that has gone silent, and never
// waits in a read.
void
configure_socket(asio::ip::tcp::socket& socket);

// A read found no bytes yet: to be tried again.
bool
is_early(const asio::error_code& ec);

} // namespace cactusford::http
