// Determines from which instances a process reads the configuration. Pure
// functions: every process computes its own position from the platform's list.
#pragma once

#include "cactusford/configuration/state.h"

#include <string>
#include <vector>

namespace cactusford::configuration {

constexpr std::size_t watchers_per_data_centre = 3;
constexpr std::size_t fanout = 8;

struct tree_position
{
  // Watches the platform directly.
  bool is_watcher = false;
  // Instances to read from, in order of preference.
  std::vector<std::string> parents;

  friend bool operator==(const tree_position&, const tree_position&) = default;
};

// The first three instances of a data centre in rendezvous order watch the
// platform. The instance at index i >= 3 reads from index (i - 3) / fanout. An
// instance that is not listed yet reads from any listed one.
tree_position
find_position(const table<instance>& instances,
              const std::string& self,
              const std::string& data_centre);

} // namespace cactusford::configuration
