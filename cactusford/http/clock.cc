#include "cactusford/http/clock.h"

#include <algorithm>
#include <ctime>
#include <optional>

namespace cactusford::http {

namespace {

std::optional<clock::time_point> manual_now;
std::uint64_t manual_boot_ms = 0;

// Upper bound on each wait under a manual clock. The event loop checks its
// timers only when the system timer fires, so it has to fire often.
constexpr std::chrono::microseconds manual_wait{ 200 };

clock::time_point
real_now() noexcept
{
  return clock::time_point{
    std::chrono::steady_clock::now().time_since_epoch()
  };
}

std::uint64_t
real_boot_ms()
{
  constexpr std::uint64_t ms_per_second = 1000;
  constexpr std::uint64_t ns_per_ms = 1000000;
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<std::uint64_t>(t.tv_sec) * ms_per_second +
         static_cast<std::uint64_t>(t.tv_nsec) / ns_per_ms;
}

} // namespace

clock::time_point
clock::now() noexcept
{
  return manual_now ? *manual_now : real_now();
}

clock::duration
clock_wait_traits::to_wait_duration(const clock::duration& left)
{
  return manual_now ? std::min<clock::duration>(left, manual_wait) : left;
}

clock::duration
clock_wait_traits::to_wait_duration(const clock::time_point& due)
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

std::uint64_t
boot_ms()
{
  return manual_now ? manual_boot_ms : real_boot_ms();
}

manual_clock::manual_clock()
{
  manual_now = real_now();
  manual_boot_ms = real_boot_ms();
}

manual_clock::~manual_clock()
{
  manual_now.reset();
}

void
manual_clock::advance(std::chrono::milliseconds by)
{
  *manual_now += by;
  suspend(by);
}

void
manual_clock::suspend(std::chrono::milliseconds by)
{
  manual_boot_ms += static_cast<std::uint64_t>(by.count());
}

} // namespace cactusford::http
