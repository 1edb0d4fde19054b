// Which way a call to the store takes: directly, or through another instance
// that makes it for us. Pure.
//
// The store may turn some instances away, or a partition may cut them off,
// while it serves the others. Calls are conditional, so one that is made again
// on another path does no harm.
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

struct path_table
{
  // A path that failed is avoided until this time.
  std::vector<std::uint64_t> bad_until_ms;
  // The path that is tried first; the others follow in turn.
  std::size_t first = direct_path;
  // No path is left: the relays that live could not reach the store either. It
  // is away for all, and more tries would only be more calls.
  std::uint64_t away_until_ms = 0;

  friend bool operator==(const path_table&, const path_table&) = default;
};

path_table
make_paths(std::size_t relays, std::size_t first = direct_path);

// One more relay is known.
void
add_path(path_table& t);

// The path for the next try of a call that begins at `first`; nothing when it
// should be given up.
std::optional<std::size_t>
next_path(const path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms,
          std::size_t first);

// The same, for a call that begins where all do.
std::optional<std::size_t>
next_path(const path_table& t,
          const std::vector<std::size_t>& tried,
          std::uint64_t now_ms);

enum class path_end
{
  // The store answered.
  answered,
  // The path itself failed.
  failed,
  // The relay answered that it does not reach the store.
  store_away,
};

void
note_path(path_table& t, std::size_t path, path_end end, std::uint64_t now_ms);

} // namespace cactusford::store
