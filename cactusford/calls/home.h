// Finds the home of an idempotency key: the instance that keeps the key's
// at-most-once record. Does no I/O.
#pragma once

#include "cactusford/configuration/declaration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusford::calls {

struct home
{
  // Empty when the home map has no members.
  std::string instance;
  // Keys issued before this time may have run at an earlier home.
  std::uint64_t owned_since_ms = 0;

  friend bool operator==(const home&, const home&) = default;
};

home
home_of(const configuration::home_map& map, std::string_view key);

} // namespace cactusford::calls
