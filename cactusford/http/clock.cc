#include "cactusford/http/clock.h"

#include <algorithm>
#include <optional>

namespace cactusford::http {

namespace {

std::optional<clock::time_point> set_by_hand;

// The event loop looks at its timers only when the system's own timer fires.
constexpr std::chrono::microseconds manual_wait{ 200 };

clock::time_point
real_now() noexcept
{
  return clock::time_point{
    std::chrono::steady_clock::now().time_since_epoch()
  };
}

} // namespace

clock::time_point
clock::now() noexcept
{
  return set_by_hand ? *set_by_hand : real_now();
}

clock::duration
clock_wait::to_wait_duration(const clock::duration& left)
{
  return set_by_hand ? std::min<clock::duration>(left, manual_wait) : left;
}

clock::duration
clock_wait::to_wait_duration(const clock::time_point& due)
{
  return to_wait_duration(due - clock::now());
}

std::uint64_t
now_ms()
{
  const auto now = clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

manual_clock::manual_clock()
{
  set_by_hand = real_now();
}

manual_clock::~manual_clock()
{
  set_by_hand.reset();
}

void
manual_clock::advance(std::chrono::milliseconds by)
{
  *set_by_hand += by;
}

} // namespace cactusford::http
