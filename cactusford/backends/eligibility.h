// Decides whether new work may go to a backend server. Every path that sends
// work asks here: calls, queued calls, second attempts, items, resumed runs,
// moves and scorers' calls.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/data_centres/homes.h"

#include <cstdint>
#include <string_view>

namespace cactusford::backends {

enum class eligibility
{
  eligible,
  leaving,
  // The operator has drained the server's data centre.
  drained,
  outside_home_regions,
  // This instance has used up its share of what the cold server bears.
  warming_up,
  // The server's data centre does not answer. Such a server is used only if no
  // other is left.
  unreachable,
  // The server's data centre answers again since less than a second, and this
  // instance already has a run on the server.
  returning,
};

std::string_view
name_of(eligibility e) noexcept;

eligibility
eligibility_of(const registry& r,
               const backend& b,
               const data_centres::home_regions& homes,
               std::uint64_t now_ms);

// Returns false if the server may get no new work for longer than a moment:
// its slots count nowhere.
bool
counts_as_capacity(const registry& r, const backend& b, std::uint64_t now_ms);

// Returns true if the service has servers that may serve the request apart from
// drain orders, and all of them are drained.
bool
are_all_drained(const registry& r,
                std::string_view service,
                const data_centres::home_regions& homes);

// Records that this instance sends the server a request.
void
note_sent(const registry& r, backend& b, std::uint64_t now_ms);

} // namespace cactusford::backends
