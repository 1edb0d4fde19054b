// One request and one reply over a stream.
#pragma once

#include "cactusford/error.h"
#include "cactusford/link/link.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace cactusford::link {

// `done` runs once on the io thread: with the reply, or with no_backend (the
// request never left), or outcome_unknown.
void
ask(asio::io_context& io,
    endpoint& links,
    const address& peer,
    const std::string& path,
    const std::string& request,
    std::uint32_t timeout_ms,
    std::function<void(result<std::string>)> done);

// Sends the one reply on a stream that was accepted, and ends it.
void
reply(stream& s, std::string_view message);

} // namespace cactusford::link
