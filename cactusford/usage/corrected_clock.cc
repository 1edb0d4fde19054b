#include "cactusford/usage/corrected_clock.h"

namespace cactusford::usage {

namespace {

// A clock that is corrected gradually moves less than this between two
// readings.
constexpr std::uint64_t max_drift_ms = 100;

// A step that lasts this long is a correction: most clock faults are over by
// then.
constexpr std::uint64_t min_step_duration_ms = 60000;

bool
are_close(std::uint64_t a, std::uint64_t b)
{
  return (a > b ? a - b : b - a) < max_drift_ms;
}

} // namespace

std::uint64_t
corrected_time(corrected_clock& t, std::uint64_t wall_ms, std::uint64_t boot_ms)
{
  const auto implied_boot_ms = wall_ms - boot_ms;
  const bool is_same_candidate =
    are_close(implied_boot_ms, t.candidate_boot_ms);
  const bool is_lasting =
    is_same_candidate && boot_ms - t.candidate_since_ms >= min_step_duration_ms;
  if (t.trusted_boot_ms == 0 || are_close(implied_boot_ms, t.trusted_boot_ms) ||
      is_lasting) {
    t = { implied_boot_ms, 0, 0 };
  } else if (!is_same_candidate) {
    t.candidate_boot_ms = implied_boot_ms;
    t.candidate_since_ms = boot_ms;
  }
  return t.trusted_boot_ms + boot_ms;
}

} // namespace cactusford::usage
