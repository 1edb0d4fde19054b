// Settings of the programs that run on the platform: JSON, checked against a
// schema before the start.
#pragma once

#include "cactusford/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::edge {

// Addresses are "ip:port"; port 0 lets the kernel choose. Empty: not served.
struct hosted_settings
{
  std::string instance;
  std::string data_centre;
  // Where callers, the balancer's health checks, other instances and metrics
  // readers connect to.
  std::string callers;
  std::string ready;
  std::string peer;
  std::string metrics;
  std::string store;
  // Instances that make store calls for others; stale ones do no harm.
  std::vector<std::string> peers;
  // Its share of a core: larger entries run the batches of the smaller ones.
  double capacity = 1;
  // Where this instance stood in `peers`; it is left out there.
  std::optional<std::size_t> peer_rank;
  // Where the platform takes reports of use; empty: it wants none.
  std::string usage_reports;
  std::uint64_t usage_window_ms = 5000;
  // A change that the store has confirmed must be in force everywhere after
  // this.
  std::uint64_t in_force_ms = 2000;
  // The engine beside a sidecar.
  std::string engine;
  // How long a batch stays readable after it was accepted.
  std::uint64_t keep_batches_ms = 120000;
  // Log lines of one event name in a second; the rest are counted.
  std::uint32_t log_lines_per_second = 40;
  // Time between SIGTERM and the end, in milliseconds. The platform kills
  // what is still there after its grace period.
  std::uint64_t grace_ms = 8000;

  friend bool operator==(const hosted_settings&,
                         const hosted_settings&) = default;
};

// Errors name the key, what is wrong and the remedy.
result<hosted_settings>
hosted_settings_from(std::string_view json_text);

} // namespace cactusford::edge
