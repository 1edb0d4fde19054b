// Which backend servers a prefix belongs to: a hash ring with virtual nodes
// (Karger et al., 1997), so a look-up costs the same at any fleet size. Pure.
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
  // By hash.
  std::vector<point> points;
  std::uint32_t members = 0;

  friend bool operator==(const ring&, const ring&) = default;
};

// Members are named by their index.
ring
make_ring(std::span<const std::string> members);

std::uint64_t
hash_of(std::string_view key) noexcept;

// Writes up to `out.size()` different members in ring order from the key on
// and returns how many.
std::size_t
candidates_of(const ring& r, std::uint64_t key, std::span<std::uint32_t> out);

} // namespace cactusford::routing
