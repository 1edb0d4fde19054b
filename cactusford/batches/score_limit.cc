#include "cactusford/batches/score_limit.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

constexpr double min_limit = 2;
constexpr double decrease_factor = 0.67;

// The refusals of a burst arrive within the duration of one or two calls.
constexpr std::uint64_t decrease_interval_ms = 200;

// Share of a service's slots that is always left to callers.
constexpr double reserved_for_callers = 0.25;

// Waiting requests do not lower an owner's limit below this share of the slots.
// The hundred scores of a step, 80 ms each, would otherwise take seconds when
// the waiting requests are other owners' scorer calls. Three owners at this
// limit use less than half of the slots.
constexpr double min_yielding_share = 0.125;

// Longer than the gaps between the scores of one step, shorter than the time
// between two steps. Owners that started a step with the limits of the one
// before filled all slots and queues until refusals had lowered their limits.
constexpr std::uint64_t idle_ms = 500;

double
lowest_limit(score_end e, std::size_t slots)
{
  return e == score_end::answered_while_queueing
           ? std::max(min_limit,
                      min_yielding_share * static_cast<double>(slots))
           : min_limit;
}

} // namespace

bool
can_start(const score_limit& l)
{
  return static_cast<double>(l.in_flight) + 1 <= l.limit;
}

void
on_call_start(score_limit& l)
{
  ++l.in_flight;
}

void
on_call_end(score_limit& l,
            score_end e,
            std::size_t slots,
            std::uint64_t now_ms)
{
  l.in_flight -= l.in_flight > 0 ? 1 : 0;
  l.last_end_ms = now_ms;
  if (e == score_end::answered) {
    l.limit += 1 / l.limit;
  } else if ((e == score_end::refused ||
              e == score_end::answered_while_queueing) &&
             now_ms >= l.next_decrease_ms) {
    const auto lowest = std::min(l.limit, lowest_limit(e, slots));
    l.limit = std::max(l.limit * decrease_factor, lowest);
    l.next_decrease_ms = now_ms + decrease_interval_ms;
  }
  const auto max_limit =
    static_cast<double>(slots) * (1 - reserved_for_callers);
  l.limit = slots > 0 ? std::min(l.limit, max_limit) : l.limit;
  l.limit = std::max(l.limit, min_limit);
}

score_end
yielding_end(const score_limit& l, const backends::reported_load& load)
{
  if (load.waiting > 0) {
    return score_end::answered_while_queueing;
  }
  const auto max_running =
    (1 - reserved_for_callers) * static_cast<double>(load.slots);
  const bool is_busy = load.slots > 0 && load.running > max_running;
  const bool is_unused = 2 * static_cast<double>(l.in_flight) < l.limit;
  return is_busy || is_unused ? score_end::answered_without_growth
                              : score_end::answered;
}

void
restart_after_idle(score_limit& l, std::uint64_t now_ms)
{
  if (l.in_flight == 0 && now_ms >= l.last_end_ms + idle_ms) {
    l.limit = std::min(l.limit, score_limit{}.limit);
  }
}

} // namespace cactusford::batches
