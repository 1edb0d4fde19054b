// Binds sockets of tests to ports that no other process takes on its own.
#pragma once

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <random>

namespace cactusford::standins {

// Binds an open socket to a free port of the loopback address below the
// kernel's range for outgoing connections: a connection of another process
// would take a port of that range as soon as it is released.
template<typename Socket>
void
bind_free_port(Socket& s)
{
  constexpr std::uint16_t first = 20000;
  constexpr std::uint16_t last = 32000;
  std::random_device seed;
  std::uniform_int_distribution<std::uint16_t> port{ first, last };
  asio::error_code ec;
  do {
    s.bind({ asio::ip::address_v4::loopback(), port(seed) }, ec);
  } while (ec);
}

} // namespace cactusford::standins
