// Decides whether a home may run a key: only once no earlier home can have run
// it or still run it. Does no I/O and reads no clock; `wall` times are
// milliseconds since 1970, `steady` times are of this process's steady clock.
// The protocol and its proof are in docs/AT-MOST-ONCE.md.
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

struct key_ownership
{
  std::string self;
  std::uint32_t lease_ms = 10000;
  // Start time of this process.
  std::uint64_t incarnation_ms = 0;

  configuration::home_map map;
  std::uint64_t map_version = 0;
  // Members (by name) and former members (by `incarnation_id`) that have not
  // yet handed over, under the present map, what they ran of the keys that this
  // home now owns.
  std::set<std::string> pending_handovers;
  // Incarnations, by `incarnation_id`, that have handed over since this home
  // joined, with the floor that each reported. They no longer run any of this
  // home's keys, even if they crash later.
  std::map<std::string, std::uint64_t> completed_handovers;
  // The floor that each member or former member reported under the present map:
  // it has no record of keys issued before that time.
  std::map<std::string, std::uint64_t> handover_floors;
  // For an instance that does not answer: when enough other members were first
  // known to use this map that the instance can no longer get an older map
  // confirmed.
  std::map<std::string, std::uint64_t> quorum_wall_ms;
  std::uint64_t adopted_steady_ms = 0;
  // When the last round of confirmations was sent in which a majority knew of
  // no newer map.
  std::uint64_t confirmed_steady_ms = 0;
  bool ever_confirmed = false;
};

// Number of members, including this home, that must confirm a map of `members`
// for it to stay valid without the platform. A single member can never confirm
// its own map.
std::size_t
confirm_quorum(std::size_t members);

// Number of other members that must know of a newer map before the keys of an
// unreachable member may run elsewhere: too few are then left to confirm the
// older map.
std::size_t
takeover_quorum(std::size_t members);

// Adopts a newer map. Handovers are then pending from all other members and
// former members.
void
adopt(key_ownership& state,
      const configuration::home_map& map,
      std::uint64_t version,
      std::uint64_t wall_ms,
      std::uint64_t steady_ms);

// Identifies one incarnation of an instance that was a member.
std::string
incarnation_id(const std::string& instance, std::uint64_t incarnation);

// Processes a handover reply from a member or former member that uses map
// `version`. `complete` is true when it has handed over all keys.
void
on_handover(key_ownership& state,
            const std::string& from,
            std::uint64_t incarnation,
            std::uint64_t version,
            bool complete,
            std::uint64_t floor_ms,
            std::uint64_t wall_ms);

// Processes the replies to a round of confirmations sent at `asked_steady_ms`:
// `others` is the number of other members that know of no newer map.
void
on_confirmed(key_ownership& state,
             std::size_t others,
             std::uint64_t asked_steady_ms);

// True when this home may decide on keys at all: the platform or a majority of
// members has confirmed the map within the lease. `platform_age_ms` is the time
// since the platform confirmed it.
bool
is_map_confirmed(const key_ownership& state,
                 std::uint64_t platform_age_ms,
                 std::uint64_t steady_ms);

struct key_check
{
  // `not_home` while an earlier home has not handed over.
  failure error;
  // Keys issued before this time have an unknown outcome.
  std::uint64_t owned_since_ms = 0;
};

key_check
check_key(const key_ownership& state,
          std::string_view key,
          std::uint64_t steady_ms);

// Keys issued before this time may have run here under an earlier incarnation,
// whose record is lost.
std::uint64_t
own_floor(const key_ownership& state);

} // namespace cactusford::calls
