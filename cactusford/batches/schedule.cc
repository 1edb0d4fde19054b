#include "cactusford/batches/schedule.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// The estimate is accurate only at the median, so a single run has little
// weight.
constexpr double gain = 0.02;

// Without these bounds, a run far off its estimate would change the pace more
// than all others.
constexpr double min_ratio = 0.3;
constexpr double max_ratio = 3;

// On healthy engines the time between events stays within a few times the
// typical one, because prompts of other runs are processed in between.
constexpr double silence_factor = 6;
constexpr std::uint64_t min_silence_ms = 250;
constexpr std::uint64_t max_silence_ms = 700;

// A run with less slack than this becomes late if anything delays it.
constexpr std::int64_t tight_slack_ms = 1500;
constexpr std::int64_t urgency_step_ms = 1500;

// Engines treat runs without an urgency as 5.
constexpr std::uint32_t most_urgent = 1;
constexpr std::uint32_t least_urgent = 5;

std::int64_t
latest_start(const waiting_item& i)
{
  return static_cast<std::int64_t>(i.due_ms) -
         static_cast<std::int64_t>(i.expected_ms);
}

} // namespace

void
record_run(token_pace& p, std::uint64_t hint, std::uint64_t run_ms)
{
  if (hint == 0) {
    return;
  }
  const auto measured = static_cast<double>(run_ms) / static_cast<double>(hint);
  const auto bounded = std::clamp(measured, p.ms * min_ratio, p.ms * max_ratio);
  p.ms += gain * (bounded - p.ms);
}

std::uint64_t
expected_run_ms(const token_pace& p,
                std::uint64_t hint,
                std::uint64_t elapsed_ms)
{
  const auto total =
    static_cast<std::uint64_t>(p.ms * static_cast<double>(hint));
  const auto left = total > elapsed_ms ? total - elapsed_ms : 0;
  return std::max(left, elapsed_ms / 2);
}

std::uint64_t
silence_limit_ms(double typical_event_gap_ms)
{
  if (typical_event_gap_ms <= 0) {
    return max_silence_ms;
  }
  return std::clamp(
    static_cast<std::uint64_t>(silence_factor * typical_event_gap_ms),
    min_silence_ms,
    max_silence_ms);
}

std::uint32_t
urgency_of(std::uint64_t due_ms,
           std::uint64_t expected_ms,
           std::uint64_t now_ms)
{
  const auto slack = static_cast<std::int64_t>(due_ms) -
                     static_cast<std::int64_t>(now_ms) -
                     static_cast<std::int64_t>(expected_ms);
  if (slack < tight_slack_ms) {
    return most_urgent;
  }
  const auto steps = (slack - tight_slack_ms) / urgency_step_ms;
  return std::min(most_urgent + 1 + static_cast<std::uint32_t>(steps),
                  least_urgent);
}

void
sort_by_slack(std::vector<waiting_item>& items)
{
  std::stable_sort(
    items.begin(), items.end(), [](const auto& a, const auto& b) {
      return latest_start(a) < latest_start(b);
    });
}

} // namespace cactusford::batches
