// Stand-in for a trainer: fetches the samples of a step, simulates the training
// by a delay and publishes the next weight version.
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
  // Simulated training time of a step.
  std::uint32_t train_ms = 500;
  // Event log of the trainer, from which it resumes after a restart.
  std::string log;
};

// Returns when all steps are done or `stopped` is set.
void
run_trainer(const trainer_settings& s, const std::atomic<bool>& stopped);

} // namespace cactusford::standins
