// Sends a single request and a single reply over a stream.
#pragma once

#include "cactusford/error.h"
#include "cactusford/link/link.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace cactusford::link {

// Sends a request and waits for the reply. `done` runs once, on the thread of
// `io`, with the reply or an error: no_backend if the request was not sent,
// outcome_unknown otherwise.
void
send_request(asio::io_context& io,
             endpoint& links,
             const address& peer,
             const std::string& path,
             const std::string& request,
             std::uint32_t timeout_ms,
             std::function<void(result<std::string>)> done);

// Sends the reply on an accepted stream and finishes the stream.
void
reply(stream& s, std::string_view message);

} // namespace cactusford::link
