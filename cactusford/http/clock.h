// The steady clock of connections, calls and the views of the store, and timers
// that run on it. A test can move it by hand.
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

// How long the event loop sleeps for a timer.
struct clock_wait
{
  static clock::duration to_wait_duration(const clock::duration& left);
  static clock::duration to_wait_duration(const clock::time_point& due);
};

using timer = asio::basic_waitable_timer<clock, clock_wait>;

// Milliseconds of this clock.
std::uint64_t
now_ms();

// Milliseconds of a clock that goes on while the machine is suspended, when the
// steady one stands still. For leases and for ages of what an instance
// believes: by the steady clock, one that wakes up would take them for as fresh
// as before.
std::uint64_t
boot_ms();

// As long as one exists, the clocks stand still but for `advance` and
// `suspend`.
class manual_clock
{
public:
  manual_clock();
  ~manual_clock();
  manual_clock(const manual_clock&) = delete;
  manual_clock& operator=(const manual_clock&) = delete;

  void advance(std::chrono::milliseconds by);

  // The machine sleeps: only `boot_ms` goes on.
  void suspend(std::chrono::milliseconds by);
};

} // namespace cactusford::http
