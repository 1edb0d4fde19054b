// Measures trainer idle time, staleness and live latency under each policy, on
// real processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::bench {

struct rollout_options
{
  std::string deployment = "deployments/tregaron";
  std::string folder = "build/rollout";
  std::string programs = "build/bin";
  // "cactusford", "baseline", or "no-" and the mechanism to disable: "prefix",
  // "resume" or "run_ahead".
  std::vector<std::string> policies{ "baseline", "cactusford" };
  // "calm", "burst" (five times the live callers) or "death" (one engine is
  // killed during training).
  std::string scenario = "calm";
  std::uint64_t steps = 5;
  std::uint64_t seed = 1;
  std::string json;
};

// Prints a JSON line for each policy. Returns the exit code.
int
run_rollout(const rollout_options& o);

} // namespace cactusford::bench
