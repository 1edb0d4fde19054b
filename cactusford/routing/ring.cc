#include "cactusford/routing/ring.h"

#include <xxhash.h>

#include <algorithm>

namespace cactusford::routing {

namespace {

constexpr std::uint64_t virtual_nodes = 32;

} // namespace

ring
make_ring(std::span<const std::string> members)
{
  ring r;
  r.members = static_cast<std::uint32_t>(members.size());
  r.points.reserve(members.size() * virtual_nodes);
  for (std::uint32_t m = 0; m < r.members; ++m) {
    for (std::uint64_t v = 0; v < virtual_nodes; ++v) {
      const auto& name = members[m];
      r.points.push_back(
        { XXH3_64bits_withSeed(name.data(), name.size(), v), m });
    }
  }
  std::sort(r.points.begin(), r.points.end());
  return r;
}

std::uint64_t
hash_of(std::string_view key) noexcept
{
  return XXH3_64bits(key.data(), key.size());
}

std::size_t
candidates_of(const ring& r, std::uint64_t key, std::span<std::uint32_t> out)
{
  const auto wanted = std::min<std::size_t>(out.size(), r.members);
  std::size_t found = 0;
  auto at = static_cast<std::size_t>(
    std::lower_bound(r.points.begin(), r.points.end(), ring::point{ key, 0 }) -
    r.points.begin());
  for (std::size_t seen = 0; found < wanted && seen < r.points.size();
       ++seen, ++at) {
    const auto member = r.points[at % r.points.size()].member;
    const auto taken = out.first(found);
    if (std::find(taken.begin(), taken.end(), member) == taken.end()) {
      out[found++] = member;
    }
  }
  return found;
}

} // namespace cactusford::routing
