// Injects random faults into real processes and checks their event logs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::bench {

struct faults_options
{
  // Folders of deployments. The runs use them in turn.
  std::vector<std::string> deployments{ "deployments/tregaron",
                                        "deployments/kingston" };
  std::string folder = "build/faults";
  std::string programs = "build/bin";
  std::uint64_t seed = 1;
  std::uint32_t runs = 1;
  std::uint32_t faults = 10;
  std::uint64_t steps = 4;
  std::string json;
};

// Prints one line for each run, with its seed. Returns the exit code.
int
run_faults(const faults_options& o);

} // namespace cactusford::bench
