#include "cactusford/store/paths.h"

#include <algorithm>

namespace cactusford::store {

namespace {

// The direct path is worth asking again soon; a relay that failed has likely
// ended, and its successor has another address.
constexpr std::uint64_t avoid_direct_ms = 1500;
constexpr std::uint64_t avoid_relay_ms = 4000;

// A relay that does not reach the store may do so again as soon as we.
constexpr std::uint64_t avoid_away_ms = 1500;

// How long one try a call is enough.
constexpr std::uint64_t away_ms = 700;

} // namespace

path_table
make_paths(std::size_t relays, std::size_t first)
{
  path_table t;
  t.first = first;
  t.bad_until_ms.assign(relays + 1, 0);
  return t;
}

void
add_path(path_table& t)
{
  t.bad_until_ms.push_back(0);
}

std::optional<std::size_t>
next_path(const path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms,
          std::size_t first)
{
  if (tried.size() >= max_tries) {
    return std::nullopt;
  }
  if (now_ms < t.away_until_ms) {
    return tried.empty() ? std::optional{ direct_path } : std::nullopt;
  }
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < t.bad_until_ms.size(); ++i) {
    const auto path = (first + i) % t.bad_until_ms.size();
    if (std::find(tried.begin(), tried.end(), path) != tried.end()) {
      continue;
    }
    if (t.bad_until_ms[path] <= now_ms) {
      return path;
    }
    if (!best || t.bad_until_ms[path] < t.bad_until_ms[*best]) {
      best = path;
    }
  }
  return best;
}

std::optional<std::size_t>
next_path(const path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms)
{
  return next_path(t, tried, now_ms, t.first);
}

void
note_path(path_table& t, std::size_t path, path_end end, std::uint64_t now_ms)
{
  switch (end) {
    case path_end::answered:
      t.bad_until_ms[path] = 0;
      t.away_until_ms = 0;
      return;
    case path_end::failed:
      t.bad_until_ms[path] =
        now_ms + (path == direct_path ? avoid_direct_ms : avoid_relay_ms);
      return;
    case path_end::store_away:
      // A partition may cut off some relays with us: one that is cut off as
      // well says nothing of the others.
      t.bad_until_ms[path] = now_ms + avoid_away_ms;
      if (std::all_of(t.bad_until_ms.begin(),
                      t.bad_until_ms.end(),
                      [&](std::uint64_t until) { return until > now_ms; })) {
        t.away_until_ms = now_ms + away_ms;
      }
      return;
  }
}

} // namespace cactusford::store
