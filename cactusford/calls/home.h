// Where the record of a non-idempotent key lives, and since when. Pure.
#pragma once

#include "cactusford/configuration/declaration.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusford::calls {

struct home
{
  // Empty when the map has no members.
  std::string instance;
  // Keys issued before this moment may have run at an earlier home.
  std::uint64_t tenure_ms = 0;

  friend bool operator==(const home&, const home&) = default;
};

home
home_of(const configuration::home_map& map, std::string_view key);

} // namespace cactusford::calls
