// Which way a call to the store takes: directly, or through another instance
// that makes it for us. Pure.
//
// The store may turn some instances away, or a partition may cut them off,
// while it serves the others. Calls are conditional, so one that is made again
// on another path does no harm.
//
// Pattern: the store is down for everybody for four to five seconds, and 60
// instances follow three kinds each. When each of them tries its three paths
// again and again, the store is asked some 500 times a second, each call is
// paid for, and it is found again no sooner. So a path that failed is asked by
// one call at a time, at set intervals, and a call that finds none open fails
// at once. Only relays look for the store every 300 ms; the others learn from
// them that it is back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cactusford::store {

// Path 0 is the direct one; the others are relays.
constexpr std::size_t direct_path = 0;

// Paths tried for one call.
constexpr std::size_t max_tries = 3;

enum class path_end
{
  // The store answered.
  answered,
  // The path itself failed.
  failed,
  // The relay answered that it does not reach the store.
  store_away,
};

struct path_state
{
  path_end last = path_end::answered;
  // No call takes it before this time.
  std::uint64_t closed_until_ms = 0;

  friend bool operator==(const path_state&, const path_state&) = default;
};

struct path_table
{
  std::vector<path_state> paths;
  // The path that is tried first; the others follow in turn.
  std::size_t first = direct_path;
  // Others learn from this instance that the store is back.
  bool is_relay = false;

  friend bool operator==(const path_table&, const path_table&) = default;
};

path_table
make_paths(std::size_t relays,
           std::size_t first = direct_path,
           bool is_relay = false);

// One more relay is known.
void
add_path(path_table& t);

// The path for the next try of a call that begins at `first`. Nothing when no
// path is open: the call has not been made. A path that failed last is closed
// to other calls until this one has ended, or its interval is over.
std::optional<std::size_t>
take_path(path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms,
          std::size_t first);

// The same, for a call that begins where all do.
std::optional<std::size_t>
take_path(path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms);

void
note_path(path_table& t, std::size_t path, path_end end, std::uint64_t now_ms);

// The direct path failed and is not due yet.
bool
is_direct_closed(const path_table& t, std::uint64_t now_ms);

} // namespace cactusford::store
