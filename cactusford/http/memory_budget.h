// Accounting of the memory that callers make a process hold: their requests,
// the answers that wait for them, and the batches that they submit. Memory is
// taken before it is used, and what cannot be taken is refused. Pure.
#pragma once

#include "cactusford/http/buffer_budget.h"

#include <cstdint>

namespace cactusford::http {

struct memory_limits
{
  // Bound on everything that callers make the process hold; 0: unbounded.
  std::uint64_t total_bytes = 0;
  // Bounds on parts of it; 0: unbounded.
  std::uint64_t request_bytes = 0;
  std::uint64_t submission_bytes = 0;

  friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

// Returns the limits of an instance with this much memory, unbounded for 0.
// `request_mb` replaces the bound on requests unless 0.
memory_limits
memory_limits_for(std::uint64_t memory_mb, std::uint64_t request_mb) noexcept;

// A request that holds more than this is large. Large requests leave an eighth
// of each bound to the others, which most callers send.
constexpr std::uint64_t small_request_bytes = 64U << 10;

struct memory_budget
{
  memory_limits limits;
  buffer_budget answers;
  std::uint64_t request_bytes = 0;
  // The part of `request_bytes` that large requests hold.
  std::uint64_t large_request_bytes = 0;
  std::uint64_t submission_bytes = 0;
  std::uint64_t peak_request_bytes = 0;

  friend bool operator==(const memory_budget&, const memory_budget&) = default;
};

std::uint64_t
held_bytes(const memory_budget& b) noexcept;

// What one request holds.
struct request_hold
{
  std::uint64_t bytes = 0;

  friend bool operator==(const request_hold&, const request_hold&) = default;
};

// Changes what a request holds. Returns false, without a change, if it would
// grow beyond a bound.
bool
resize(memory_budget& b, request_hold& h, std::uint64_t bytes) noexcept;

// Returns true if a request of this size would fit into an empty budget.
bool
can_ever_fit(const memory_limits& l, std::uint64_t bytes) noexcept;

// Takes memory for a submitted batch. Returns false if there is none.
bool
take_submission(memory_budget& b, std::uint64_t bytes) noexcept;

void
release_submission(memory_budget& b, std::uint64_t bytes) noexcept;

// Returns true if `bytes` more may be used for a moment, while nothing else
// runs.
bool
has_room_for_moment(const memory_budget& b, std::uint64_t bytes) noexcept;

// Returns how many connections may be open: the bytes that arrive on each
// without being read, at most `unread_bytes`, must fit into an eighth of the
// memory.
std::uint64_t
connection_limit_for(std::uint64_t memory_mb,
                     std::uint64_t unread_bytes) noexcept;

} // namespace cactusford::http
