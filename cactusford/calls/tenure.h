// What a home must know before it runs a key: that no earlier home ran it, or
// may still run it. Pure; `wall` times are milliseconds since 1970, `steady`
// times those of this process. The protocol and its proof:
// docs/AT-MOST-ONCE.md.
#pragma once

#include "cactusford/calls/home.h"
#include "cactusford/error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::calls {

struct tenure
{
  std::string self;
  std::uint32_t lease_ms = 10000;
  // When this process started.
  std::uint64_t incarnation_ms = 0;

  configuration::home_map map;
  std::uint64_t map_version = 0;
  // Members by name, and former ones by `id_of`, that have not yet said what
  // they ran of the keys that are now this home's, under the present map.
  std::set<std::string> pending;
  // Processes, by `id_of`, that have handed over since this home joined: they
  // run none of its keys any more, whatever becomes of them.
  // With the time before which each could not speak either.
  std::map<std::string, std::uint64_t> heard;
  // What each that has said so could not know itself.
  std::map<std::string, std::uint64_t> floors;
  // For an instance that cannot be heard: when so many others were first known
  // to judge by this map that it cannot be confirmed under the old one.
  std::map<std::string, std::uint64_t> quorum_wall_ms;
  std::uint64_t adopted_steady_ms = 0;
  // When a majority last confirmed that there is no newer map, by the time
  // at which it was asked.
  std::uint64_t confirmed_steady_ms = 0;
  bool ever_confirmed = false;
};

// Members, with the home itself, that must confirm a map of `members` for it
// to go on without the platform. One alone never can.
std::size_t
confirm_quorum(std::size_t members);

// Other members that must know of a newer map before the keys of one that
// cannot be heard may run: with these, too few are left to confirm it.
std::size_t
takeover_quorum(std::size_t members);

// Takes a newer map. All other members and former ones are to be asked.
void
adopt(tenure& t,
      const configuration::home_map& map,
      std::uint64_t version,
      std::uint64_t wall_ms,
      std::uint64_t steady_ms);

// The name of one process of an instance that was a member.
std::string
id_of(const std::string& instance, std::uint64_t incarnation);

// A member or former one judges by `version`. `complete`: it has handed over.
void
on_handover(tenure& t,
            const std::string& from,
            std::uint64_t incarnation,
            std::uint64_t version,
            bool complete,
            std::uint64_t floor_ms,
            std::uint64_t wall_ms);

// Replies to a round of confirmations that was sent at `asked_steady_ms`:
// how many other members answered that they know no newer map.
void
on_confirmed(tenure& t, std::size_t others, std::uint64_t asked_steady_ms);

// Whether this home may decide on keys at all: the platform or a majority has
// confirmed the map within the lease. `platform_age_ms` is the time since the
// platform did.
bool
is_current(const tenure& t,
           std::uint64_t platform_age_ms,
           std::uint64_t steady_ms);

struct key_judgement
{
  // not_home while an earlier home has not been heard.
  failure why;
  // Keys issued before this are of unknown outcome.
  std::uint64_t tenure_ms = 0;
};

key_judgement
judge_key(const tenure& t, std::string_view key, std::uint64_t steady_ms);

// Keys issued before this may have run here under an earlier process, whose
// record is lost.
std::uint64_t
own_floor(const tenure& t);

} // namespace cactusford::calls
