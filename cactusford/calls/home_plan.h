// Computes the next home map of a service. Does no I/O and reads no clock.
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
  configuration::home_map current;
  // Backend servers that should own keys, with their announced incarnation.
  std::map<std::string, std::uint64_t> live;
  std::uint64_t now_ms = 0;
  // A member that has lost its connections keeps running keys for at most this
  // long.
  std::uint64_t lease_ms = 0;
  // How long callers may repeat a key.
  std::uint64_t key_window_ms = 0;
  // Former members (name and `until_ms`) whose keys have all been handed over
  // to the current members.
  std::set<std::pair<std::string, std::uint64_t>> handed_over;

  friend bool operator==(const plan_input&, const plan_input&) = default;
};

// Returns a map equal to `current` when nothing has changed.
configuration::home_map
plan_homes(const plan_input& in);

} // namespace cactusford::calls
