// Checks whether a process listens on an address by opening and closing a
// connection.
#pragma once

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace cactusford::http {

enum class probe_result
{
  accepted,
  // The machine is reachable, but no process listens on the port.
  refused,
  // No response within the timeout, or an invalid address.
  no_response,
};

void
probe(asio::io_context& io,
      const std::string& address,
      std::uint64_t timeout_ms,
      std::function<void(probe_result)> done);

} // namespace cactusford::http
