// Random schedules of failures on real processes, judged by their history.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::bench {

struct faults_options
{
  // Folders of deployments; the runs take them in turn.
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

// Prints a line a run, with the seed of a failing one. Returns the exit code.
int
run_faults(const faults_options& o);

} // namespace cactusford::bench
