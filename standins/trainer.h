// Stand-in of a trainer: fetches a step, trains for a while, publishes.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::standins {

struct trainer_settings
{
  std::string name;
  std::vector<std::string> entries;
  std::uint64_t steps = 1;
  std::uint32_t train_ms = 500;
  // Its event log, from which a restarted trainer goes on.
  std::string log;
};

// Returns when all steps are done, or `stopped`.
void
run_trainer(const trainer_settings& s, const std::atomic<bool>& stopped);

} // namespace cactusford::standins
