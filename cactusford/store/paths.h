// Selects the path of a call to the store: directly, or through a relay, which
// is another instance that makes the call for this one. Pure functions.
//
// The store may reject some instances, or a partition may cut them off, while
// it serves the others. Calls are conditional, so repeating one on another path
// is harmless.
//
// Failure that the probe intervals avoid: the store is down for everybody for
// four to five seconds, and 60 instances watch three kinds each. If each of
// them keeps trying its three paths, the store receives some 400 calls a
// second, each call is billed, and recovery is detected no sooner. So a path
// that failed is probed by one call at a time, at fixed intervals, and a call
// that finds no open path fails at once. Only relays probe the store every 300
// ms; the other instances learn from them that it is back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cactusford::store {

// Path 0 is the direct path; all others are relays.
constexpr std::size_t direct_path = 0;

// Maximum number of paths tried for one call.
constexpr std::size_t max_tries = 3;

enum class path_outcome
{
  // The store answered.
  answered,
  // The path itself failed.
  failed,
  // The relay answered that it cannot reach the store.
  store_unreachable,
};

struct path_state
{
  path_outcome last_outcome = path_outcome::answered;
  // No call uses the path before this time.
  std::uint64_t closed_until_ms = 0;
  // No call uses the path before this time unless no other path is open.
  std::uint64_t avoided_until_ms = 0;

  friend bool operator==(const path_state&, const path_state&) = default;
};

struct path_table
{
  std::vector<path_state> paths;
  // The path that is tried first; the others follow in cyclic order.
  std::size_t first = direct_path;
  // This instance is a relay: others learn from it that the store is back.
  bool is_relay = false;

  friend bool operator==(const path_table&, const path_table&) = default;
};

path_table
make_paths(std::size_t relays,
           std::size_t first = direct_path,
           bool is_relay = false);

// Adds a relay.
void
add_path(path_table& t);

// Selects the path for the next try of a call that starts at path `first`.
// Returns nothing if no path is open; the call has not been made then.
// Selecting a path that failed last closes it to other calls until this call
// ends or the probe interval is over.
std::optional<std::size_t>
select_path(path_table& t,
            const std::vector<std::size_t>& tried,
            std::uint64_t now_ms,
            std::size_t first);

// The same for a call that starts at the table's `first` path.
std::optional<std::size_t>
select_path(path_table& t,
            const std::vector<std::size_t>& tried,
            std::uint64_t now_ms);

// Selects an additional path for a read that still waits for an answer on the
// paths in `tried`. The direct path is preferred, as whatever delays one relay
// may delay the others too.
std::optional<std::size_t>
select_second_path(path_table& t,
                   const std::vector<std::size_t>& tried,
                   std::uint64_t now_ms);

// Claims the given path; returns false if it is closed or avoided.
bool
claim_if_open(path_table& t, std::size_t path, std::uint64_t now_ms);

void
record_outcome(path_table& t,
               std::size_t path,
               path_outcome outcome,
               std::uint64_t now_ms);

// What a call requests, as far as it affects how long the answer may take.
enum class response_kind
{
  one_object,
  list,
  watch,
};

// Timeouts for answers in milliseconds, in addition to the wait time that a
// watch requests.
struct answer_limits
{
  // The store answers within milliseconds, or some hundred milliseconds if it
  // is slow. A result that another instance has returned must be visible here
  // within a second.
  std::uint64_t answer_ms = 900;
  // For a watch through a relay. A relay that is frozen or cut off is detected
  // within the watch's wait time plus this timeout. That is below the two
  // seconds after which a leaving backend server must get no new work.
  std::uint64_t shared_answer_ms = 600;
  // A list may be a megabyte, and the instance that reads it slow.
  std::uint64_t list_ms = 1500;

  friend bool operator==(const answer_limits&, const answer_limits&) = default;
};

// A list is sent on a second path if the first one has not answered after this
// time. A view that is confirmed after the longest watch, its timeout and this
// delay is still fresher than the limit within which a change must be in force.
constexpr std::uint64_t second_path_after_ms = 250;

// Extra timeout for a relay, which itself waits for the store, in milliseconds.
// What is left of `shared_answer_ms` must be enough for a slow store.
constexpr std::uint64_t relay_extra_ms = 150;

// Returns how long the store may take for a call on this path. For a relay the
// instance waits `relay_extra_ms` longer, so that the relay can report that the
// store does not answer before the relay itself is taken to be unresponsive.
//
// With longer timeouts, recovery of an unresponsive store was detected up to
// four seconds late, as each list waited that long on a dead connection, path
// after path, and callers were refused by a configuration that had been
// replaced. With these timeouts it takes 0.3 to 1.8 s (six runs each).
std::uint64_t
response_timeout_ms(const answer_limits& l,
                    const path_table& t,
                    std::size_t path,
                    response_kind kind,
                    std::uint64_t wait_ms);

// Returns true if the direct path failed and its next probe is not due yet.
bool
is_direct_closed(const path_table& t, std::uint64_t now_ms);

} // namespace cactusford::store
