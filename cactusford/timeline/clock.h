// Hybrid logical clock (Kulkarni et al., 2014). Orders the events of all
// processes so that a cause precedes its effect even if wall clocks differ.
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

// Formats as "ms.counter".
std::string
to_string(timestamp t);

std::optional<timestamp>
timestamp_from(std::string_view text);

// Encodes the milliseconds in the upper 48 bits and the counter in the lower
// 16 bits.
std::uint64_t
pack(timestamp t) noexcept;

timestamp
unpack(std::uint64_t packed) noexcept;

std::uint64_t
wall_ms();

// Thread-safe.
class clock
{
public:
  using source = std::function<std::uint64_t()>;

  explicit clock(source wall = wall_ms);

  // Returns a timestamp later than all returned or observed before.
  timestamp now();

  // Advances the clock to the timestamp of a received message. Ignores one that
  // is more than a day ahead of the wall clock.
  void observe(timestamp received);

private:
  source wall_;
  std::mutex mutex_;
  timestamp last_;
};

} // namespace cactusford::timeline
