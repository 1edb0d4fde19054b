// When a repeatable call without an answer goes to a second backend server, and
// how often. Pure.
//
// Pattern: the last items of a hundred texts end within half a second, and each
// is followed by a scorer's call of 80 ms. They share six servers with callers,
// wait for places, and take longer than any fixed time after which a second
// attempt is made: of 11,079 calls 6,025 were repeats, and one caller in four
// was answered late. So a second attempt is made when a call takes longer than
// nearly all of its kind, and for three calls in ten at most: with one server
// of three silent, about as many need it.
#pragma once

#include "cactusford/admission/budget.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cactusford::edge {

struct second_attempts
{
  static constexpr std::size_t window = 64;

  // The latest times of calls that were answered, in milliseconds.
  std::array<std::uint32_t, window> took_ms{};
  std::size_t seen = 0;
  admission::retry_budget budget{ 0.3, 20, 20 };

  friend bool operator==(const second_attempts&,
                         const second_attempts&) = default;
};

void
note_first_attempt(second_attempts& s);

// A call was answered after this time.
void
note_answer(second_attempts& s, std::uint64_t took_ms);

// How long a call waits for its answer before a second attempt.
std::uint64_t
second_attempt_after_ms(const second_attempts& s);

// False while the budget is spent.
bool
take_second_attempt(second_attempts& s);

} // namespace cactusford::edge
