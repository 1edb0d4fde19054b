// What trainers and live callers get under each policy, on real processes.
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
  // cactusford, baseline, or "no-" and a mechanism: prefix, resume, run_ahead.
  std::vector<std::string> policies{ "baseline", "cactusford" };
  // calm, burst or death.
  std::string scenario = "calm";
  std::uint64_t steps = 5;
  std::uint64_t seed = 1;
  std::string json;
};

int
run_rollout(const rollout_options& o);

} // namespace cactusford::bench
