// Structured log to standard output. Writing never blocks, and the number of
// lines and the memory for them are limited.
#pragma once

#include "cactusford/timeline/event.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace cactusford::process {

// Limits of the log.
struct log_limits
{
  // Lines per event name and second. Further lines are skipped, and their
  // number is logged after the second has ended.
  std::uint32_t lines_per_second = 40;
  // Buffered text while standard output does not accept more. Lines that do not
  // fit are dropped.
  std::size_t buffer_bytes = 256U << 10;
};

// Opens the log of this process. Lines logged before are discarded, so tests of
// the library print nothing.
void
open_line_log(asio::io_context& io,
              const std::string& process,
              log_limits limits = {});

void
log_line(const timeline::event& e);

// Writes the buffered lines, as far as standard output accepts them.
void
flush_line_log();

} // namespace cactusford::process
