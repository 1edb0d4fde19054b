// Chooses a backend server for a call: by prefix affinity up to a load bound,
// otherwise the one with the least expected load. Free of side effects beyond
// `pool_state`; times are milliseconds of a steady clock.
#pragma once

#include "cactusford/routing/ring.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusford::routing {

// State that an entry tracks for one backend server.
struct target
{
  std::string instance;
  std::string link;
  std::uint32_t slots = 16;
  // Calls in flight from this entry.
  std::uint32_t own_calls = 0;
  // Calls from all other entries at the last load report. Decays with the age
  // of the report.
  double other_calls = 0;
  std::uint64_t reported_ms = 0;
  std::uint64_t incarnation = 0;
  // After a refusal or failure the target is not used before this time.
  std::uint64_t avoid_until_ms = 0;
  std::uint32_t failures = 0;
  // Its data centre is drained: it gets no calls.
  bool is_drained = false;

  friend bool operator==(const target&, const target&) = default;
};

struct options
{
  // If false, calls are distributed round robin (the baseline).
  bool by_load = true;
  // If false, the key of the call is ignored.
  bool by_prefix = true;
  // A candidate takes calls until its load reaches this factor of the mean.
  double bound = 1.25;

  friend bool operator==(const options&, const options&) = default;
};

struct pool_state
{
  std::vector<target> targets;
  ring by_hash;
  std::unordered_map<std::string, std::uint32_t> by_name;
  // Sum of `own_calls` over all targets, updated together with them.
  std::uint64_t total_own_calls = 0;
  // Number of targets that are not drained.
  std::size_t in_service = 0;
  std::uint64_t cursor = 0;
};

constexpr std::size_t candidate_count = 4;

pool_state
make_pool(std::vector<target> targets);

// Returns true if the pool has targets and all of them are drained.
bool
is_drained(const pool_state& p);

std::optional<std::uint32_t>
find(const pool_state& p, const std::string& instance);

// Estimates the running and queued calls per slot at `now_ms`.
double
expected_load(const target& t, std::uint64_t now_ms);

// Returns the index of the chosen target, or nothing if none is usable. Targets
// in `excluded`, which refused this call before, are never chosen: a caller
// that may use them when no other is left calls again without exclusions.
std::optional<std::uint32_t>
choose(pool_state& p,
       std::uint64_t key,
       std::span<const std::uint32_t> excluded,
       const options& o,
       std::uint64_t now_ms);

void
note_sent(pool_state& p, std::uint32_t index);

void
note_returned(pool_state& p, std::uint32_t index);

// Applies a load report. `active_calls` counts running and queued calls.
void
note_load_report(target& t,
                 std::uint32_t active_calls,
                 std::uint32_t slots,
                 std::uint64_t now_ms);

// Records that the target did not respond. It is avoided for a time that
// doubles with each failure up to a limit.
void
note_failure(target& t, std::uint64_t now_ms);

} // namespace cactusford::routing
