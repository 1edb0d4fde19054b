// Writes to the log which backend servers have become cold.
#pragma once

#include "cactusford/backends/registry.h"

#include <cstdint>

namespace cactusford::edge {

void
log_cold_servers(backends::registry& r);

// Records the failure of an attempt that could not be sent, if the server's
// machine refused the connection.
void
note_unsent(backends::registry& r,
            backends::backend& b,
            std::uint64_t started_ms,
            std::uint64_t now_ms);

} // namespace cactusford::edge
