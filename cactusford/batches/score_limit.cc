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
  } else if (e == score_end::refused && now_ms >= l.next_decrease_ms) {
    l.limit *= decrease_factor;
    l.next_decrease_ms = now_ms + decrease_interval_ms;
  }
  const auto max_limit =
    static_cast<double>(slots) * (1 - reserved_for_callers);
  l.limit = slots > 0 ? std::min(l.limit, max_limit) : l.limit;
  l.limit = std::max(l.limit, min_limit);
}

} // namespace cactusford::batches
