#include "cactusford/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace cactusford::membership {

std::uint64_t
weight_of(std::string_view member, std::string_view key) noexcept
{
  const auto seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<std::string>
rank(std::span<const std::string> members, std::string_view key)
{
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(members.size());
  for (const auto& m : members) {
    weighted.emplace_back(~weight_of(m, key), m);
  }
  std::sort(weighted.begin(), weighted.end());
  std::vector<std::string> ranked;
  ranked.reserve(members.size());
  for (auto& [weight, name] : weighted) {
    ranked.push_back(std::move(name));
  }
  return ranked;
}

std::string
first_of(std::span<const std::string> members, std::string_view key)
{
  const std::string* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& m : members) {
    const auto weight = weight_of(m, key);
    if (best == nullptr || weight > best_weight ||
        (weight == best_weight && m < *best)) {
      best = &m;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string{} : *best;
}

} // namespace cactusford::membership
