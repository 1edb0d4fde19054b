// Hedged requests: decides when an unanswered repeatable call is also sent to a
// second backend server, and how often. Pure.
//
// A fixed delay fails under bursts. The last items of a hundred texts end
// within half a second, and each is followed by a scorer call of 80 ms. These
// calls queue for slots on six servers that also serve callers, so nearly all
// of them exceeded any fixed delay: 6,025 of 11,079 calls were repeats, and one
// caller in four was answered late.
//
// A second attempt is therefore made only when a call takes longer than nearly
// all calls of its kind, and for at most three calls in ten: about as many need
// one when one of three servers is silent.
#pragma once

#include "cactusford/admission/budget.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cactusford::edge {

struct second_attempts
{
  static constexpr std::size_t sample_count = 64;

  // Ring buffer of the latest latencies of answered calls, in milliseconds.
  std::array<std::uint32_t, sample_count> latencies_ms{};
  std::size_t answer_count = 0;
  admission::retry_budget budget{ 0.3, 20, 20 };

  friend bool operator==(const second_attempts&,
                         const second_attempts&) = default;
};

void
record_first_attempt(second_attempts& s);

// Records the latency of an answered call.
void
record_answer(second_attempts& s, std::uint64_t took_ms);

// How long a call waits for an answer before a second attempt is made.
std::uint64_t
second_attempt_delay_ms(const second_attempts& s);

// Takes one second attempt from the budget; false if the budget is used up.
bool
try_take_second_attempt(second_attempts& s);

} // namespace cactusford::edge
