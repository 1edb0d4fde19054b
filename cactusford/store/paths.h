// Which way a call to the store takes: directly, or through another instance
// that makes it for us. Pure.
//
// The store may turn some instances away, or a partition may cut them off,
// while it serves the others. Calls are conditional, so one that is made again
// on another path does no harm.
//
// Pattern: the store is down for everybody for four to five seconds, and 60
// instances follow three kinds each. When each of them tries its three paths
// again and again, the store is asked some 400 times a second, each call is
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
  // No call takes it before this time while another path answers.
  std::uint64_t avoided_until_ms = 0;

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

// One more path for a read that waits for an answer on those in `tried`. The
// direct path comes first: what holds up one relay may hold up others.
std::optional<std::size_t>
take_second_path(path_table& t,
                 const std::vector<std::size_t>& tried,
                 std::uint64_t now_ms);

// Takes one given path; false when it is closed or avoided.
bool
take_if_open(path_table& t, std::size_t path, std::uint64_t now_ms);

void
note_path(path_table& t, std::size_t path, path_end end, std::uint64_t now_ms);

// What a call asks for, as far as its answer may take long.
enum class asked
{
  one_object,
  list,
  watch,
};

// How long an answer may take, beyond the wait that a watch asks for, in
// milliseconds.
struct answer_limits
{
  // The store answers in milliseconds; a slow one in some hundred. A result
  // that another instance has shown must be shown here within a second.
  std::uint64_t answer_ms = 900;
  // For a watch through a relay. A relay that is frozen or cut off is noticed
  // within the wait and this much, below the two seconds in which a leaving
  // backend server must get no new work.
  std::uint64_t shared_answer_ms = 600;
  // A list may be a megabyte, and the instance that reads it slow.
  std::uint64_t list_ms = 1500;

  friend bool operator==(const answer_limits&, const answer_limits&) = default;
};

// A list is also asked for on a second path when the first has not answered for
// so long. A view that is confirmed after the longest watch, its silence and
// this is still younger than the seconds in which a change must be in force.
constexpr std::uint64_t second_path_after_ms = 250;

// A relay adds its own wait for the store, in milliseconds.
constexpr std::uint64_t relay_extra_ms = 300;

// How long the store may take for a call on this path. The instance waits
// `relay_extra_ms` longer for a relay, so that a relay's word that the store is
// silent comes before the relay is taken to be silent itself.
//
// A silent store was found again up to four seconds after its return, as each
// list waited that long on a dead connection, path after path; callers were
// refused by a configuration that had been replaced. Now it is found again
// after 0.3 to 1.8 s, six runs each.
std::uint64_t
limit_ms(const answer_limits& l,
         const path_table& t,
         std::size_t path,
         asked what,
         std::uint64_t wait_ms);

// The direct path failed and is not due yet.
bool
is_direct_closed(const path_table& t, std::uint64_t now_ms);

} // namespace cactusford::store
