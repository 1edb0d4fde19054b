// Hybrid logical clock (Kulkarni et al., 2014): orders events of all processes
// so that a cause stands before its effect whatever the wall clocks say.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::timeline {

// Milliseconds since 1970 and a counter within the millisecond.
struct timestamp
{
  std::uint64_t ms = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const timestamp&, const timestamp&) = default;
};

// "ms.counter".
std::string
to_string(timestamp t);

std::optional<timestamp>
timestamp_from(std::string_view text);

// 48 bits of milliseconds, 16 bits of counter.
std::uint64_t
pack(timestamp t) noexcept;

timestamp
unpack(std::uint64_t packed) noexcept;

std::uint64_t
wall_ms();

// Safe to call from several threads.
class clock
{
public:
  using source = std::function<std::uint64_t()>;

  explicit clock(source wall = wall_ms);

  // A timestamp later than all before it.
  timestamp now();

  // Takes in the timestamp of a message.
  void observe(timestamp seen);

private:
  source wall_;
  std::mutex mutex_;
  timestamp last_;
};

} // namespace cactusford::timeline
