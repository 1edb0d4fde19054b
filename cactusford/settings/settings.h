// Settings of a process in JSON, validated against a schema at startup.
#pragma once

#include "cactusford/error.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::settings {

enum class role
{
  entry,
  sidecar,
};

enum class backend_kind
{
  engine,
  service,
};

// Settings common to all processes. Times are in milliseconds. Addresses are
// "ip:port"; with port 0 the kernel chooses the port.
struct process_settings
{
  std::string instance;
  std::string region;
  std::string data_centre;
  std::string link;
  std::string admin;
  std::string platform;
  std::string log;
  // File to which the process writes its bound ports at startup, as JSON.
  std::string ports_file;
  // Link addresses of instances that provide the configuration while the
  // platform is unavailable.
  std::vector<std::string> peers;
  std::uint32_t lease_ms = 10000;
  std::uint32_t max_clock_skew_ms = 2000;
  std::uint32_t drain_limit_ms = 600000;

  friend bool operator==(const process_settings&,
                         const process_settings&) = default;
};

struct entry_settings
{
  process_settings process;
  std::string http;
  std::string rpc;
  std::uint32_t max_callers = 256;
  std::uint32_t max_body_bytes = 1U << 20;
  // Memory that bounds requests and answers, in megabytes; 0: no bound.
  std::uint32_t memory_mb = 256;
  // Bound on the requests in memory, in megabytes; 0: a quarter of `memory_mb`.
  std::uint32_t request_memory_mb = 0;
  // Callers' connections at once.
  std::uint32_t max_connections = 2000;
  // A body must arrive at this rate on average, in bytes per second, beyond the
  // time for the head.
  std::uint32_t min_body_rate = 1024;
  std::uint32_t default_deadline_ms = 60000;
  std::uint32_t retry_budget_percent = 20;
  // "cactusford" or "baseline"; see docs/ROLLOUT.md.
  std::string policy = "cactusford";
  std::vector<std::string> disabled;

  friend bool operator==(const entry_settings&,
                         const entry_settings&) = default;
};

struct sidecar_settings
{
  process_settings process;
  std::string backend;
  backend_kind kind = backend_kind::engine;
  // Pool or service that the backend server belongs to.
  std::string serves;
  std::uint32_t max_running = 16;
  std::uint32_t max_queued = 256;
  std::uint32_t record_limit = 100000;
  std::uint32_t record_bytes = 64U << 20;
  std::uint32_t record_window_ms = 600000;

  friend bool operator==(const sidecar_settings&,
                         const sidecar_settings&) = default;
};

// Returns true if the policy uses a mechanism: prefix, resume or run_ahead.
bool
is_enabled(const entry_settings& s, std::string_view mechanism);

// Parses and validates settings. An error contains the key and the reason;
// `message_of` adds the remedy.
result<entry_settings>
entry_settings_from(std::string_view json_text);

result<sidecar_settings>
sidecar_settings_from(std::string_view json_text);

result<std::string>
read_file(const std::string& path);

// Validates `document` against a JSON schema. The error contains the key that
// violates the schema and the reason.
failure
validate(const nlohmann::json& schema, const nlohmann::json& document);

} // namespace cactusford::settings
