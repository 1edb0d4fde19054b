// Structured lines to standard output that never block and stay bounded.
#pragma once

#include "cactusford/timeline/event.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace cactusford::process {

// Lines kept of one event name in a second; the rest are counted, and the
// count is logged when the second ends.
struct log_limits
{
  std::uint32_t lines_per_second = 40;
  // Text that waits for a reader that does not read. More is dropped.
  std::size_t buffer_bytes = 256U << 10;
};

// Call it before the first line. Without it lines are dropped: tests of the
// library print nothing.
void
open_line_log(asio::io_context& io,
              const std::string& process,
              log_limits limits = {});

void
log_line(const timeline::event& e);

// Writes what waits, as far as the reader takes it.
void
flush_line_log();

} // namespace cactusford::process
