// Measures what the control plane costs an idle process, by the size of the
// fleet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::bench {

struct capacity_options
{
  std::string deployment = "deployments/tregaron";
  std::string folder = "build/capacity";
  std::string programs = "build/bin";
  // Number of sidecars of each measured fleet.
  std::vector<int> sizes{ 10, 50, 100, 150 };
  std::uint32_t seconds = 10;
  std::string json;
};

// Prints a JSON line for each size. Returns the exit code.
int
run_capacity(const capacity_options& o);

} // namespace cactusford::bench
