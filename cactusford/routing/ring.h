// Consistent hashing (Karger et al., 1997): maps a prefix to backend servers
// through a ring with virtual nodes. The cost of a lookup hardly grows with the
// size of the fleet. Free of side effects.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::routing {

struct ring
{
  struct point
  {
    std::uint64_t hash = 0;
    std::uint32_t member = 0;

    friend auto operator<=>(const point&, const point&) = default;
  };
  // Sorted by hash.
  std::vector<point> points;
  std::uint32_t members = 0;

  friend bool operator==(const ring&, const ring&) = default;
};

// Points of the ring refer to members by their index in `members`.
ring
make_ring(std::span<const std::string> members);

std::uint64_t
hash_of(std::string_view key) noexcept;

// Writes up to `out.size()` distinct members in ring order, starting at `key`,
// and returns their number.
std::size_t
candidates_of(const ring& r, std::uint64_t key, std::span<std::uint32_t> out);

} // namespace cactusford::routing
