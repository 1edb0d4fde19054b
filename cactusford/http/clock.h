// Steady clock for connections, calls and views of the store, and timers based
// on it. Tests can replace it with a manual clock.
#pragma once

#include <asio/basic_waitable_timer.hpp>

#include <chrono>
#include <cstdint>

namespace cactusford::http {

struct clock
{
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<clock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

// Wait traits for Asio: how long the event loop sleeps for a timer.
struct clock_wait_traits
{
  static clock::duration to_wait_duration(const clock::duration& left);
  static clock::duration to_wait_duration(const clock::time_point& due);
};

using timer = asio::basic_waitable_timer<clock, clock_wait_traits>;

// Current time of `clock` in milliseconds.
std::uint64_t
now_ms();

// Milliseconds of a clock that also advances while the machine is suspended,
// unlike the steady clock. For leases and the age of cached state: by the
// steady clock, a machine that resumes would treat them as fresh as before the
// suspension.
std::uint64_t
boot_ms();

// While an object of this class exists, both clocks advance only through
// `advance` and `suspend`.
class manual_clock
{
public:
  manual_clock();
  ~manual_clock();
  manual_clock(const manual_clock&) = delete;
  manual_clock& operator=(const manual_clock&) = delete;

  void advance(std::chrono::milliseconds by);

  // Simulates a suspended machine: only `boot_ms` advances.
  void suspend(std::chrono::milliseconds by);
};

} // namespace cactusford::http
