#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace cactusford::timeline {

namespace {

constexpr std::uint32_t counter_limit = 0xffff;

// A peer whose clock is wrong by days must not drag all others with it.
constexpr std::uint64_t max_ahead_ms = 24ULL * 3600 * 1000;

timestamp
successor(timestamp t)
{
  if (t.counter < counter_limit) {
    return { t.ms, t.counter + 1 };
  }
  return { t.ms + 1, 0 };
}

template<typename T>
bool
parse_whole(std::string_view text, T& value)
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
  if (!parse_whole(text.substr(0, dot), t.ms) ||
      !parse_whole(text.substr(dot + 1), t.counter)) {
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
  last_ = std::max(successor(last_), timestamp{ wall, 0 });
  return last_;
}

void
clock::observe(timestamp seen)
{
  const auto wall = wall_();
  const std::lock_guard lock{ mutex_ };
  if (seen.ms <= wall + max_ahead_ms) {
    last_ = std::max(last_, seen);
  }
}

} // namespace cactusford::timeline
