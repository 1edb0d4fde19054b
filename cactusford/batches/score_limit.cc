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

double
lowest_limit(score_end e, std::size_t slots)
{
  return e == score_end::answered_while_queueing
           ? std::max(min_limit, min_yielding_share * double(slots))
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
yielding_end(const backends::reported_load& l)
{
  if (l.waiting > 0) {
    return score_end::answered_while_queueing;
  }
  const auto max_running = (1 - reserved_for_callers) * double(l.slots);
  return l.slots > 0 && l.running > max_running ? score_end::answered_while_busy
                                                : score_end::answered;
}

} // namespace cactusford::batches
