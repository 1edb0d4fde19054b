#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace cactusford::timeline {

namespace {

constexpr std::uint32_t counter_limit = 0xffff;

// Timestamps further ahead are ignored, so that a peer whose clock is wrong by
// days does not advance the clocks of all others.
constexpr std::uint64_t max_ahead_ms = 24ULL * 3600 * 1000;

timestamp
next_after(timestamp t)
{
  if (t.counter < counter_limit) {
    return { t.ms, t.counter + 1 };
  }
  return { t.ms + 1, 0 };
}

template<typename T>
bool
parse_number(std::string_view text, T& value)
{
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return result.ec == std::errc{} && result.ptr == end;
}

} // namespace

std::string
to_string(timestamp t)
{
  return std::to_string(t.ms) + "." + std::to_string(t.counter);
}

std::optional<timestamp>
timestamp_from(std::string_view text)
{
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  timestamp t;
  if (!parse_number(text.substr(0, dot), t.ms) ||
      !parse_number(text.substr(dot + 1), t.counter)) {
    return std::nullopt;
  }
  return t;
}

std::uint64_t
pack(timestamp t) noexcept
{
  return (t.ms << 16) | (t.counter & counter_limit);
}

timestamp
unpack(std::uint64_t packed) noexcept
{
  return { packed >> 16, static_cast<std::uint32_t>(packed & counter_limit) };
}

std::uint64_t
wall_ms()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

clock::clock(source wall)
  : wall_{ std::move(wall) }
{
}

timestamp
clock::now()
{
  const auto wall = wall_();
  const std::lock_guard lock{ mutex_ };
  last_ = std::max(next_after(last_), timestamp{ wall, 0 });
  return last_;
}

void
clock::observe(timestamp received)
{
  const auto wall = wall_();
  const std::lock_guard lock{ mutex_ };
  if (received.ms <= wall + max_ahead_ms) {
    last_ = std::max(last_, received);
  }
}

} // namespace cactusford::timeline
