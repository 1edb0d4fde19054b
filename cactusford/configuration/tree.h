// Who reads the configuration from whom. Pure: every process works out its
// own place from the platform's list.
#pragma once

#include "cactusford/configuration/state.h"

#include <string>
#include <vector>

namespace cactusford::configuration {

constexpr std::size_t watchers_per_data_centre = 3;
constexpr std::size_t fanout = 8;

struct place
{
  // Reads from the platform itself.
  bool is_watcher = false;
  // Instances to read from, best first.
  std::vector<std::string> parents;

  friend bool operator==(const place&, const place&) = default;
};

// The first three of a data centre's rendezvous order watch the platform; the
// instance at position i >= 3 reads from position (i - 3) / fanout. An
// instance that the list does not hold yet reads from any that it does.
place
find_position(const table<instance>& instances,
              const std::string& self,
              const std::string& data_centre);

} // namespace cactusford::configuration
