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
  // Kept for answers of calls that run.
  std::uint64_t reserved_bytes = 0;
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

// The same for a call whose answer is expected to have this length.
bool
may_take_call(const buffer_budget& b, std::uint64_t expected_bytes) noexcept;

// The same for a call whose answer is known to be short. An eighth beyond the
// bound is kept for these, so that callers who do not read long answers do not
// shut out the others.
bool
may_take_short_call(const buffer_budget& b) noexcept;

// True if so much is held beyond the bound that the long answers of calls that
// were taken at once would use up the room of short ones.
bool
must_cut_answers(const buffer_budget& b) noexcept;

// True while so little is held that a slow reader of one answer may take its
// time.
bool
is_ample(const buffer_budget& b) noexcept;

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
