// Accounting of the answers held in memory until their callers have read them.
#pragma once

#include <cstdint>

namespace cactusford::http {

struct buffer_budget
{
  // Bound on `bytes`; 0: unbounded.
  std::uint64_t limit_bytes = 0;
  std::uint64_t bytes = 0;
  std::uint64_t peak_bytes = 0;
  // `update_full` has reported the bound as exceeded.
  bool is_full = false;

  friend bool operator==(const buffer_budget&, const buffer_budget&) = default;
};

// Returns the bound for an instance with this much memory.
std::uint64_t
buffer_limit_for(std::uint64_t memory_mb) noexcept;

void
add_bytes(buffer_budget& b, std::uint64_t count) noexcept;

void
release_bytes(buffer_budget& b, std::uint64_t count) noexcept;

// Returns false while the bound is exceeded, so that new calls are refused.
bool
may_take_call(const buffer_budget& b) noexcept;

enum class buffer_change
{
  none,
  became_full,
  recovered,
};

// Reports when the bound has been exceeded, and when the bytes have fallen well
// below it again.
buffer_change
update_full(buffer_budget& b) noexcept;

} // namespace cactusford::http
