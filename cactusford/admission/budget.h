// Limits retries to a fraction of the first attempts, so that an outage of many
// backend servers does not cause a retry storm. Free of side effects beyond
// `retry_budget`.
#pragma once

#include <cstdint>

namespace cactusford::admission {

struct retry_budget
{
  // Retries allowed per first attempt.
  double ratio = 0.2;
  double limit = 50;
  double tokens = 50;

  friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

// Adds the retry credit of one first attempt, up to the limit.
void
credit_first_attempt(retry_budget& b);

// Returns false if the budget is used up.
bool
take_retry(retry_budget& b);

// Exponential backoff with full jitter; `random` is uniform between 0 and 1.
std::uint64_t
backoff_ms(std::uint32_t attempt, double random);

} // namespace cactusford::admission
