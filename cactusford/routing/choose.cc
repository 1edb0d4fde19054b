#include "cactusford/routing/choose.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cactusford::routing {

namespace {

// Calls of other entries end after a load report was sent, so a report counts
// for less the older it is.
constexpr double report_half_life_ms = 1000;
constexpr std::uint64_t first_avoid_ms = 200;
constexpr std::uint64_t max_avoid_ms = 5000;
constexpr std::size_t random_probes = 2;
constexpr std::size_t scan_limit = 64;

bool
is_usable(const pool_state& p,
          std::uint32_t index,
          std::span<const std::uint32_t> excluded,
          std::uint64_t now_ms)
{
  const bool is_excluded =
    std::find(excluded.begin(), excluded.end(), index) != excluded.end();
  const auto& t = p.targets[index];
  return !is_excluded && !t.is_drained && t.avoid_until_ms <= now_ms;
}

std::uint32_t
random_index(pool_state& p)
{
  // A Weyl sequence passed through a mixing function: evenly distributed and
  // the same on every run.
  auto x = (p.cursor += 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return static_cast<std::uint32_t>((x >> 32) % p.targets.size());
}

std::optional<std::uint32_t>
round_robin(pool_state& p,
            std::span<const std::uint32_t> excluded,
            std::uint64_t now_ms)
{
  for (std::size_t i = 0; i < p.targets.size(); ++i) {
    const auto index =
      static_cast<std::uint32_t>(p.cursor++ % p.targets.size());
    if (is_usable(p, index, excluded, now_ms)) {
      return index;
    }
  }
  return std::nullopt;
}

// Last resort when no candidate and no random probe is usable: the least loaded
// of a bounded number of usable targets from a random start.
std::optional<std::uint32_t>
scan_least_loaded(pool_state& p,
                  std::span<const std::uint32_t> excluded,
                  std::uint64_t now_ms)
{
  std::optional<std::uint32_t> best;
  const auto start = random_index(p);
  std::size_t usable = 0;
  for (std::size_t i = 0; i < p.targets.size() && usable < scan_limit; ++i) {
    const auto index =
      static_cast<std::uint32_t>((start + i) % p.targets.size());
    if (!is_usable(p, index, excluded, now_ms)) {
      continue;
    }
    ++usable;
    if (!best || expected_load(p.targets[index], now_ms) <
                   expected_load(p.targets[*best], now_ms)) {
      best = index;
    }
  }
  return best;
}

} // namespace

pool_state
make_pool(std::vector<target> targets)
{
  pool_state p;
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const auto& t : targets) {
    p.by_name.emplace(t.instance, static_cast<std::uint32_t>(names.size()));
    names.push_back(t.instance);
    p.total_own_calls += t.own_calls;
    p.in_service += t.is_drained ? 0 : 1;
  }
  p.by_hash = make_ring(names);
  p.targets = std::move(targets);
  return p;
}

bool
is_drained(const pool_state& p)
{
  return !p.targets.empty() && p.in_service == 0;
}

std::optional<std::uint32_t>
find(const pool_state& p, const std::string& instance)
{
  const auto found = p.by_name.find(instance);
  return found == p.by_name.end() ? std::nullopt
                                  : std::optional{ found->second };
}

double
expected_load(const target& t, std::uint64_t now_ms)
{
  const auto age =
    now_ms > t.reported_ms ? static_cast<double>(now_ms - t.reported_ms) : 0.0;
  const auto other_calls =
    t.other_calls > 0 ? t.other_calls * std::exp2(-age / report_half_life_ms)
                      : 0.0;
  return (t.own_calls + other_calls) / t.slots;
}

std::optional<std::uint32_t>
choose(pool_state& p,
       std::uint64_t key,
       std::span<const std::uint32_t> excluded,
       const options& o,
       std::uint64_t now_ms)
{
  if (p.in_service == 0) {
    return std::nullopt;
  }
  if (!o.by_load) {
    return round_robin(p, excluded, now_ms);
  }
  const auto mean = static_cast<double>(p.total_own_calls) /
                    static_cast<double>(p.in_service) / p.targets.front().slots;
  std::optional<std::uint32_t> best;
  double best_load = 0;
  const auto consider = [&](std::uint32_t index) {
    const auto load = expected_load(p.targets[index], now_ms);
    if (!best || load < best_load) {
      best = index;
      best_load = load;
    }
    return load;
  };
  if (o.by_prefix) {
    std::array<std::uint32_t, candidate_count> candidates{};
    const auto count = candidates_of(p.by_hash, key, candidates);
    for (std::size_t i = 0; i < count; ++i) {
      const auto index = candidates.at(i);
      if (!is_usable(p, index, excluded, now_ms)) {
        continue;
      }
      // One more call must still fit under the bound. Otherwise calls with a
      // hot prefix would queue on its server while other servers are idle.
      const auto& t = p.targets[index];
      const auto step = 1.0 / t.slots;
      if (consider(index) + step <= o.bound * (mean + step)) {
        return index;
      }
    }
  }
  for (std::size_t i = 0; i < random_probes; ++i) {
    const auto index = random_index(p);
    if (is_usable(p, index, excluded, now_ms)) {
      consider(index);
    }
  }
  return best ? best : scan_least_loaded(p, excluded, now_ms);
}

void
note_sent(pool_state& p, std::uint32_t index)
{
  ++p.targets[index].own_calls;
  ++p.total_own_calls;
}

void
note_returned(pool_state& p, std::uint32_t index)
{
  auto& t = p.targets[index];
  if (t.own_calls > 0) {
    --t.own_calls;
    --p.total_own_calls;
  }
}

void
note_load_report(target& t,
                 std::uint32_t active_calls,
                 std::uint32_t slots,
                 std::uint64_t now_ms)
{
  t.other_calls = active_calls > t.own_calls ? active_calls - t.own_calls : 0;
  t.slots = std::max<std::uint32_t>(slots, 1);
  t.reported_ms = now_ms;
  t.failures = 0;
}

void
note_failure(target& t, std::uint64_t now_ms)
{
  const auto exponent = std::min<std::uint32_t>(t.failures, 10);
  t.avoid_until_ms =
    now_ms + std::min(first_avoid_ms << exponent, max_avoid_ms);
  ++t.failures;
}

} // namespace cactusford::routing
