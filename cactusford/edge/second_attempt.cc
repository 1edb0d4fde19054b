#include "cactusford/edge/second_attempt.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

// Used until enough calls have been answered: several times the latency of a
// plain call, but short enough for the caller to be answered in time.
constexpr std::uint64_t initial_delay_ms = 130;
constexpr std::size_t min_samples = 16;

// The delay is 1.5 times the 90th percentile, which about one in thirty calls
// exceeds without any fault.
constexpr double quantile = 0.9;
constexpr double quantile_factor = 1.5;

// A shorter delay would repeat calls that are about to be answered; after a
// longer one the second attempt comes too late for the caller.
constexpr std::uint64_t min_delay_ms = 40;
constexpr std::uint64_t max_delay_ms = 1000;

} // namespace

void
record_first_attempt(second_attempts& s)
{
  admission::credit_first_attempt(s.budget);
}

void
record_answer(second_attempts& s, std::uint64_t took_ms)
{
  s.latencies_ms[s.answer_count % second_attempts::sample_count] =
    static_cast<std::uint32_t>(std::min(took_ms, max_delay_ms));
  ++s.answer_count;
}

std::uint64_t
second_attempt_delay_ms(const second_attempts& s)
{
  if (s.answer_count < min_samples) {
    return initial_delay_ms;
  }
  auto samples = s.latencies_ms;
  const auto count = std::min(s.answer_count, second_attempts::sample_count);
  const auto at =
    static_cast<std::size_t>(quantile * static_cast<double>(count));
  std::nth_element(
    samples.begin(), samples.begin() + at, samples.begin() + count);
  const auto delay = static_cast<std::uint64_t>(quantile_factor * samples[at]);
  return std::clamp(delay, min_delay_ms, max_delay_ms);
}

bool
try_take_second_attempt(second_attempts& s)
{
  return admission::take_retry(s.budget);
}

} // namespace cactusford::edge
