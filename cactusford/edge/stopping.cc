#include "cactusford/edge/stopping.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

// Time reserved before the platform kills the process: for the last answers,
// and for callers to read them.
constexpr std::uint64_t last_answers_margin_ms = 700;
constexpr std::uint64_t exit_margin_ms = 250;

// The load balancer sends new callers for up to two seconds after the readiness
// check has failed.
constexpr std::uint64_t newcomers_ms = 3000;

// An answer at a request's latest end is this late at most.
constexpr std::uint64_t answer_margin_ms = 300;

constexpr std::uint64_t
subtract(std::uint64_t from, std::uint64_t ms) noexcept
{
  return from > ms ? from - ms : 0;
}

} // namespace

// Requests in the first part of the stop are taken whatever their latest end:
// most end long before it, and a refused caller may be sent here again. In a
// short grace, half of it is left for them to end.
std::uint64_t
newcomers_until_ms(const stop_state& s) noexcept
{
  const auto usable_ms = subtract(s.grace_ms, last_answers_margin_ms);
  return s.started_ms + std::min(newcomers_ms, usable_ms / 2);
}

std::uint64_t
max_end_ms(const stop_state& s) noexcept
{
  return subtract(last_answers_ms(s), answer_margin_ms);
}

std::uint64_t
last_answers_ms(const stop_state& s) noexcept
{
  return s.started_ms + subtract(s.grace_ms, last_answers_margin_ms);
}

std::uint64_t
forced_exit_ms(const stop_state& s) noexcept
{
  return s.started_ms + subtract(s.grace_ms, exit_margin_ms);
}

bool
takes_request(const stop_state& s,
              std::uint64_t now_ms,
              std::uint64_t latest_end_ms) noexcept
{
  return !s.is_stopping || now_ms < newcomers_until_ms(s) ||
         latest_end_ms <= max_end_ms(s);
}

std::uint64_t
allowed_wait_ms(const stop_state& s,
                std::uint64_t now_ms,
                std::uint64_t wait_ms,
                std::uint64_t call_ms) noexcept
{
  if (!s.is_stopping) {
    return wait_ms;
  }
  const auto left_ms = subtract(last_answers_ms(s), now_ms);
  return std::min(wait_ms, subtract(left_ms, answer_margin_ms + call_ms));
}

} // namespace cactusford::edge
