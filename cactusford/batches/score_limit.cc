#include "cactusford/batches/score_limit.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

constexpr double least = 2;
constexpr double cut = 0.67;

// The refusals of a burst arrive within the duration of one or two calls.
constexpr std::uint64_t settle_ms = 200;

// Share of a service's slots that is always left to callers.
constexpr double kept_for_callers = 0.25;

} // namespace

bool
may_start(const score_limit& l)
{
  return static_cast<double>(l.under_way) + 1 <= l.limit;
}

void
note_start(score_limit& l)
{
  ++l.under_way;
}

void
note_end(score_limit& l, score_end e, std::size_t places, std::uint64_t now_ms)
{
  l.under_way -= l.under_way > 0 ? 1 : 0;
  if (e == score_end::answered) {
    l.limit += 1 / l.limit;
  } else if (e == score_end::refused && now_ms >= l.settled_ms) {
    l.limit *= cut;
    l.settled_ms = now_ms + settle_ms;
  }
  const auto most = static_cast<double>(places) * (1 - kept_for_callers);
  l.limit = places > 0 ? std::min(l.limit, most) : l.limit;
  l.limit = std::max(l.limit, least);
}

} // namespace cactusford::batches
