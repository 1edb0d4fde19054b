// Events by which this instance learns that a backend server is cold. Pure: the
// current time is a parameter.
#pragma once

#include "cactusford/backends/registry.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cactusford::backends {

// Records an announcement of the server. `cause` says what it shows apart from
// the time that it states: `first_seen`, `reappeared`, `restarted`, or `none`.
void
note_announced(registry& r, backend& b, cold_cause cause, std::uint64_t now_ms);

// Records that a connection to the server was refused.
void
note_connection_refused(registry& r, backend& b, std::uint64_t now_ms);

// An attempt that could not be sent, and ended sooner than this, was refused by
// the machine; later, it had no answer.
constexpr std::uint64_t connection_refused_limit_ms = 200;

// Records that an answer states how much longer the server is cold.
void
note_cold_header(registry& r,
                 backend& b,
                 std::uint64_t cold_left_ms,
                 std::uint64_t now_ms);

// Records that the data centre is no longer drained: its servers may have
// restarted while nothing was sent to them.
void
note_undrained(registry& r, std::string_view data_centre, std::uint64_t now_ms);

bool
is_cold(const registry& r, const backend& b, std::uint64_t now_ms);

std::size_t
cold_servers(const registry& r, std::uint64_t now_ms);

// Returns when this instance may send one of the servers another request that
// only the budget withholds now; nothing if there is no such server.
std::optional<std::uint64_t>
next_call_budget_ms(const registry& r,
                    const call_needs& needs,
                    std::uint64_t now_ms);

std::optional<std::uint64_t>
next_item_budget_ms(const registry& r,
                    const item_needs& needs,
                    std::uint64_t now_ms);

// Returns the servers that became cold since the last call, for the log.
std::vector<cold_change>
take_cold_changes(registry& r);

} // namespace cactusford::backends
