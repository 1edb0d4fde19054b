#include "cactusford/edge/denial.h"

namespace cactusford::edge {

bool
may_deny(std::uint64_t table_age_ms, std::uint64_t in_force_ms) noexcept
{
  return table_age_ms <= in_force_ms;
}

} // namespace cactusford::edge
