// The time of day without temporary clock steps. Pure functions.
//
// Usage windows are so short that a clock that jumps by two seconds for a while
// would move a good part of the requests into another window. The time since
// boot does not jump, so the offset between the two clocks is kept at its value
// from before the step until the step has lasted long enough.
#pragma once

#include <cstdint>

namespace cactusford::usage {

struct corrected_clock
{
  // The trusted time of day at boot; 0 if not known yet.
  std::uint64_t trusted_boot_ms = 0;
  // A different value that the clock currently implies, and since when; 0 for
  // none.
  std::uint64_t candidate_boot_ms = 0;
  std::uint64_t candidate_since_ms = 0;

  friend bool operator==(const corrected_clock&,
                         const corrected_clock&) = default;
};

// Takes a reading of both clocks and returns the corrected time of day.
std::uint64_t
corrected_time(corrected_clock& t,
               std::uint64_t wall_ms,
               std::uint64_t boot_ms);

} // namespace cactusford::usage
