// Whether something listens on an address: a connection is opened and closed.
#pragma once

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace cactusford::http {

enum class probe_result
{
  accepted,
  // The machine is there, and no process listens.
  refused,
  // No answer in time, or no such address.
  no_response,
};

void
probe(asio::io_context& io,
      const std::string& address,
      std::uint64_t timeout_ms,
      std::function<void(probe_result)> done);

} // namespace cactusford::http
