#include "cactusford/http/buffer_budget.h"

#include <algorithm>

namespace cactusford::http {

std::uint64_t
buffer_limit_for(std::uint64_t memory_mb) noexcept
{
  // The rest is for batches, copies of the store's objects and the calls that
  // were taken before the bound was reached.
  constexpr std::uint64_t part = 4;
  return (memory_mb << 20U) / part;
}

void
add_bytes(buffer_budget& b, std::uint64_t count) noexcept
{
  b.bytes += count;
  b.peak_bytes = std::max(b.peak_bytes, b.bytes);
}

void
release_bytes(buffer_budget& b, std::uint64_t count) noexcept
{
  b.bytes -= std::min(b.bytes, count);
}

bool
may_take_call(const buffer_budget& b) noexcept
{
  return b.limit_bytes == 0 || b.bytes <= b.limit_bytes;
}

bool
may_take_call(const buffer_budget& b, std::uint64_t expected_bytes) noexcept
{
  const auto held = b.bytes + b.reserved_bytes;
  return may_take_call(b) && (b.limit_bytes == 0 || held == 0 ||
                              held + expected_bytes <= b.limit_bytes);
}

bool
may_take_short_call(const buffer_budget& b) noexcept
{
  return b.limit_bytes == 0 || b.bytes <= b.limit_bytes + b.limit_bytes / 8;
}

bool
is_ample(const buffer_budget& b) noexcept
{
  constexpr std::uint64_t ample_part = 4;
  return b.limit_bytes == 0 || b.bytes <= b.limit_bytes / ample_part;
}

bool
must_cut_answers(const buffer_budget& b) noexcept
{
  return b.limit_bytes != 0 && b.bytes > b.limit_bytes + b.limit_bytes / 16;
}

buffer_change
update_full(buffer_budget& b) noexcept
{
  if (!b.is_full && !may_take_call(b)) {
    b.is_full = true;
    return buffer_change::became_full;
  }
  // A quarter below the bound, as each answer near it would change the state.
  if (b.is_full &&
      (b.limit_bytes == 0 || b.bytes <= b.limit_bytes - b.limit_bytes / 4)) {
    b.is_full = false;
    return buffer_change::recovered;
  }
  return buffer_change::none;
}

} // namespace cactusford::http
