// Decides which requests an entry still takes while it stops, and when it gives
// those that still run their last answer. Pure.
#pragma once

#include <cstdint>

namespace cactusford::edge {

struct stop_state
{
  // When SIGTERM arrived, on the steady clock.
  std::uint64_t started_ms = 0;
  // Time after which the platform kills the process.
  std::uint64_t grace_ms = 0;
  bool is_stopping = false;

  friend bool operator==(const stop_state&, const stop_state&) = default;
};

// When all requests that still run get their last answer, on the steady clock.
std::uint64_t
last_answers_ms(const stop_state& s) noexcept;

// When the process ends though callers have not read all answers, on the steady
// clock.
std::uint64_t
forced_exit_ms(const stop_state& s) noexcept;

// Until when requests are taken whatever their latest end, on the steady clock.
std::uint64_t
newcomers_until_ms(const stop_state& s) noexcept;

// The latest end of a request that is taken after that, on the steady clock.
std::uint64_t
max_end_ms(const stop_state& s) noexcept;

// Returns whether a request is taken that ends at `latest_end_ms` at the
// latest. One that is not has to be refused at once.
bool
takes_request(const stop_state& s,
              std::uint64_t now_ms,
              std::uint64_t latest_end_ms) noexcept;

// Returns how long a read may wait for results that are not there yet, at most
// `wait_ms`, so that one that takes `call_ms` besides is still taken.
std::uint64_t
allowed_wait_ms(const stop_state& s,
                std::uint64_t now_ms,
                std::uint64_t wait_ms,
                std::uint64_t call_ms) noexcept;

} // namespace cactusford::edge
