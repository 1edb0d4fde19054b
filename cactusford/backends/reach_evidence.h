// Records what requests to backend servers say about whether a data centre can
// be reached. Free of side effects: the current time is a parameter.
#pragma once

#include "cactusford/backends/registry.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::backends {

// Each function returns true if a data centre became unreachable or reachable.

// Records that the server answered a request, sent an event of a stream, or
// accepted a probe.
bool
note_reached(registry& r, const backend& b, std::uint64_t now_ms);

// Records that nothing came from the server since `since_ms`, although it had
// to answer.
bool
note_silent(registry& r,
            const backend& b,
            std::uint64_t since_ms,
            std::uint64_t now_ms);

// A request that ended without an answer before any byte of it was sent.
struct failed_connect
{
  std::uint64_t started_ms = 0;
  std::uint64_t timeout_ms = 0;

  friend bool operator==(const failed_connect&,
                         const failed_connect&) = default;
};

// A connection that is refused fails at once, and its server is not silent.
bool
note_not_connected(registry& r,
                   const backend& b,
                   const failed_connect& f,
                   std::uint64_t now_ms);

// Returns true if the data centre of the server is unreachable and a run there
// had its last event, or its start, before the failures began.
bool
is_stranded(const registry& r, const backend& b, std::uint64_t last_event_ms);

// Returns true if this instance can reach no data centre but its own.
bool
is_cut_off(const registry& r, std::uint64_t now_ms);

// Returns true if the service has servers, and all that may get work are in
// unreachable data centres.
bool
is_beyond_reach(const registry& r,
                std::string_view service,
                const data_centres::home_regions& homes,
                std::uint64_t now_ms);

// Returns the data centres of which a server was silent just now, although too
// few of its servers were for the data centre to be unreachable.
std::vector<std::string>
doubtful_data_centres(const registry& r, std::uint64_t now_ms);

// Picks a server of a doubtful data centre whose answer decides: one that was
// not silent. Returns null if there is none.
const backend*
choose_for_check(const registry& r,
                 std::string_view data_centre,
                 double random);

// Picks a server of the data centre to probe. Returns null if there is none.
const backend*
choose_for_probe(const registry& r,
                 std::string_view data_centre,
                 double random);

} // namespace cactusford::backends
