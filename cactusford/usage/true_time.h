// The time of day, without its steps. Pure.
//
// Windows of use are cut by true time, and so finely that a clock that jumps by
// two seconds for a while would move a good part of the requests into another
// window. The time since boot does not jump; what the time of day is ahead of
// it is kept as it was before a step, until the step has lasted.
#pragma once

#include <cstdint>

namespace cactusford::usage {

struct true_time
{
  // The time of day at boot, as believed; 0: not known yet.
  std::uint64_t boot_at_ms = 0;
  // Another value that the clock shows, and since when; 0: none.
  std::uint64_t stepped_to_ms = 0;
  std::uint64_t stepped_since_ms = 0;

  friend bool operator==(const true_time&, const true_time&) = default;
};

// Takes in a look at both clocks; returns the time of day as believed.
std::uint64_t
look(true_time& t, std::uint64_t wall_ms, std::uint64_t boot_ms);

} // namespace cactusford::usage
