// Settings of the programs that run on the platform: a JSON file that is
// validated against a schema at startup.
#pragma once

#include "cactusford/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::edge {

// Mechanisms that can be switched off, to measure what each is worth. One that
// is on takes effect only where the configuration calls for it.
struct mechanism_switches
{
  bool engine_shares = true;
  bool run_health = true;
  bool server_speeds = true;
  bool call_queue = true;
  bool warm_up = true;
  bool reachability = true;
  bool distances = true;
  bool placement_by_data_centre = true;

  friend bool operator==(const mechanism_switches&,
                         const mechanism_switches&) = default;
};

// Addresses have the form "ip:port". Port 0 lets the kernel choose a port; an
// empty address disables the listener.
struct hosted_settings
{
  std::string instance;
  std::string data_centre;
  // Listen addresses for callers, the load balancer's health checks, other
  // instances, and metrics scrapers.
  std::string callers;
  std::string ready;
  std::string peer;
  std::string metrics;
  std::string store;
  // Instances that relay store calls for others. Stale addresses are harmless.
  std::vector<std::string> peers;
  // This instance's share of a core. Larger entries run the batches of smaller
  // ones.
  double capacity = 1;
  // Index of this instance in the configured `peers`, from which it is removed;
  // absent if it was not listed.
  std::optional<std::size_t> peer_rank;
  // Address to which usage reports are sent; empty if the platform wants none.
  std::string usage_reports;
  std::uint64_t usage_window_ms = 5000;
  // Time after which a change that the store has confirmed must be in force on
  // all instances.
  std::uint64_t in_force_ms = 2000;
  // Address of the engine that this sidecar manages.
  std::string engine;
  // How long a batch stays readable after it has been accepted.
  std::uint64_t keep_batches_ms = 120000;
  // Maximum number of log lines per second and event name; further ones are
  // only counted.
  std::uint32_t log_lines_per_second = 40;
  // Time from SIGTERM to the exit of the process, in milliseconds. The platform
  // kills processes that outlive its grace period.
  std::uint64_t grace_ms = 8000;
  // Memory of this instance in megabytes; 0: unknown, so nothing is bounded by
  // it.
  std::uint64_t memory_mb = 0;
  // Bound on the requests that are held in memory, in megabytes; 0: a quarter
  // of `memory_mb`.
  std::uint64_t request_memory_mb = 0;
  // Maximum number of callers' connections; 0: as many as `memory_mb` bears.
  std::uint64_t max_connections = 0;
  // A body must arrive at this rate on average, in bytes per second, beyond the
  // time that callers have for the head.
  std::uint64_t min_body_rate = 1024;
  // Region by data centre, for all data centres of the deployment.
  std::map<std::string, std::string, std::less<>> regions;
  // Number of data centres that may be lost at once while all guarantees hold.
  std::uint32_t tolerated_data_centres = 0;
  // Time within which a drain order must be in force; 0: the operator gives
  // none, and they are not watched.
  std::uint64_t drain_within_ms = 0;
  // A cold server may get `excess` times the requests a second that it bears,
  // plus `slack`.
  double warm_up_excess = 1.5;
  std::uint32_t warm_up_slack = 5;
  mechanism_switches mechanisms;

  friend bool operator==(const hosted_settings&,
                         const hosted_settings&) = default;
};

// Returns true if instances must tell data centres apart: one may be lost, or
// they are far from each other.
bool
distinguishes_data_centres(const hosted_settings& s);

// Parses and validates settings. Errors state the key, the problem and the
// remedy.
result<hosted_settings>
hosted_settings_from(std::string_view json_text);

} // namespace cactusford::edge
