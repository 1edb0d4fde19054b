// The next home map of a service. Pure.
#pragma once

#include "cactusford/configuration/declaration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cactusford::calls {

struct plan_input
{
  configuration::home_map held;
  // Backend servers that should have keys, with the incarnation that each
  // has announced.
  std::map<std::string, std::uint64_t> live;
  std::uint64_t now_ms = 0;
  // A member that is cut off goes on for at most this long.
  std::uint64_t lease_ms = 0;
  // How long a key can come back.
  std::uint64_t window_ms = 0;
  // Former members, by name and end, whose keys the present ones have.
  std::set<std::pair<std::string, std::uint64_t>> handed_over;

  friend bool operator==(const plan_input&, const plan_input&) = default;
};

// Equal to `held` when nothing has changed.
configuration::home_map
plan_homes(const plan_input& in);

} // namespace cactusford::calls
