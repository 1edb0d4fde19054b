// The next home map of a service. Pure.
#pragma once

#include "cactusford/configuration/declaration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::calls {

struct plan_input
{
  configuration::home_map held;
  // Backend servers that should have keys.
  std::vector<std::string> live;
  std::uint64_t now_ms = 0;
  // A member that is cut off goes on for at most this long.
  std::uint64_t lease_ms = 0;
  // How long a key can come back.
  std::uint64_t window_ms = 0;

  friend bool operator==(const plan_input&, const plan_input&) = default;
};

// Equal to `held` when nothing has changed.
configuration::home_map
plan_homes(const plan_input& in);

} // namespace cactusford::calls
