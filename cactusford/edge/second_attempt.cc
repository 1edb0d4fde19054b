#include "cactusford/edge/second_attempt.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

// Before enough calls were answered: several times what a plain call takes,
// and still within the time in which a caller wants its answer.
constexpr std::uint64_t start_ms = 130;
constexpr std::size_t enough_calls = 16;

// Times the ninth decile. One in some thirty calls that nothing holds up takes
// longer.
constexpr double decile = 0.9;
constexpr double factor = 1.5;

// A shorter wait would send calls twice that are about to be answered; a longer
// one is of no use to a caller.
constexpr std::uint64_t least_ms = 40;
constexpr std::uint64_t longest_ms = 1000;

} // namespace

void
note_first_attempt(second_attempts& s)
{
  admission::credit_first_attempt(s.budget);
}

void
note_answer(second_attempts& s, std::uint64_t took_ms)
{
  s.took_ms[s.seen % second_attempts::window] =
    static_cast<std::uint32_t>(std::min(took_ms, longest_ms));
  ++s.seen;
}

std::uint64_t
second_attempt_after_ms(const second_attempts& s)
{
  if (s.seen < enough_calls) {
    return start_ms;
  }
  auto known = s.took_ms;
  const auto count = std::min(s.seen, second_attempts::window);
  const auto at = static_cast<std::size_t>(decile * static_cast<double>(count));
  std::nth_element(known.begin(), known.begin() + at, known.begin() + count);
  const auto wait = static_cast<std::uint64_t>(factor * known[at]);
  return std::clamp(wait, least_ms, longest_ms);
}

bool
take_second_attempt(second_attempts& s)
{
  return admission::take_retry(s.budget);
}

} // namespace cactusford::edge
