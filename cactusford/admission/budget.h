// Limits retries to a fraction of first tries, so that an outage of many
// backend servers is not followed by a retry storm. Pure.
#pragma once

#include <cstdint>

namespace cactusford::admission {

struct retry_budget
{
  // Retries allowed for each first try.
  double ratio = 0.2;
  double limit = 50;
  double tokens = 50;

  friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

void
credit_first_attempt(retry_budget& b);

// False when the budget is spent.
bool
take_retry(retry_budget& b);

// Exponential with full jitter; `random` is uniform in 0 to 1.
std::uint64_t
backoff_ms(std::uint32_t attempt, double random);

} // namespace cactusford::admission
