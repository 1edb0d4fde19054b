#include "cactusford/usage/true_time.h"

namespace cactusford::usage {

namespace {

// A clock that is corrected gradually moves less than this between two
// readings.
constexpr std::uint64_t step_ms = 100;

// A step that lasts this long is a correction: most clock faults are over by
// then.
constexpr std::uint64_t lasting_ms = 60000;

bool
are_near(std::uint64_t a, std::uint64_t b)
{
  return (a > b ? a - b : b - a) < step_ms;
}

} // namespace

std::uint64_t
look(true_time& t, std::uint64_t wall_ms, std::uint64_t boot_ms)
{
  const auto shown = wall_ms - boot_ms;
  const bool is_same_step = are_near(shown, t.stepped_to_ms);
  const bool is_lasting =
    is_same_step && boot_ms - t.stepped_since_ms >= lasting_ms;
  if (t.boot_at_ms == 0 || are_near(shown, t.boot_at_ms) || is_lasting) {
    t = { shown, 0, 0 };
  } else if (!is_same_step) {
    t.stepped_to_ms = shown;
    t.stepped_since_ms = boot_ms;
  }
  return t.boot_at_ms + boot_ms;
}

} // namespace cactusford::usage
