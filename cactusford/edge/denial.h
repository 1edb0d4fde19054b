// Which denials a view of the store supports. Pure.
#pragma once

#include <cstdint>

namespace cactusford::edge {

// 401 and 404 are final: their callers do not come back. They rest on a table
// that holds every change which must be in force by now, `in_force_ms` after
// its confirmation.
bool
may_deny(std::uint64_t table_age_ms, std::uint64_t in_force_ms) noexcept;

} // namespace cactusford::edge
