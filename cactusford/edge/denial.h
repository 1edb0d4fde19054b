// Decides whether the local routing table is fresh enough for a final refusal.
// Pure.
#pragma once

#include <cstdint>

namespace cactusford::edge {

// Callers do not retry after 401 or 404. An entry may therefore send them only
// if its table includes every change that must be in force by now, which is
// `in_force_ms` after the store has confirmed it.
bool
may_deny(std::uint64_t table_age_ms, std::uint64_t in_force_ms) noexcept;

} // namespace cactusford::edge
