// Listening on a port that another socket may still hold.
#pragma once

#include "cactusford/timeline/event.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <system_error>

namespace cactusford::http {

struct port_listener
{
  // Key of the address in the settings.
  std::string key;
  std::string address;
  // Called again after an error that may pass.
  std::function<std::error_code()> listen;
  // Called if an error that cannot pass follows one that could.
  std::function<void(std::error_code)> on_failed;
  // Returns true once the port is no longer needed.
  std::function<bool()> is_abandoned;
  std::function<void(const timeline::event&)> log;
};

// Listens at once if possible. While the port is in use, the address does not
// exist yet or descriptors are short, tries again at a fixed interval on `io`.
// Returns other errors, after which it does not try again.
std::error_code
listen_when_free(asio::io_context& io, port_listener p);

} // namespace cactusford::http
