// Runs a deployment with trainers and callers and checks its event logs.
#pragma once

#include <cstdint>
#include <string>

namespace cactusford::bench {

struct demo_options
{
  std::string deployment = "deployments/kingston";
  std::string folder = "build/demo";
  std::string programs = "build/bin";
  std::uint64_t steps = 3;
};

// Returns the exit code.
int
run_demo(const demo_options& o);

} // namespace cactusford::bench
