#include "cactusford/admission/budget.h"

#include <algorithm>

namespace cactusford::admission {

namespace {

constexpr double first_backoff_ms = 10;
constexpr double max_backoff_ms = 500;

} // namespace

void
credit_first_attempt(retry_budget& b)
{
  b.tokens = std::min(b.limit, b.tokens + b.ratio);
}

bool
take_retry(retry_budget& b)
{
  if (b.tokens < 1) {
    return false;
  }
  b.tokens -= 1;
  return true;
}

std::uint64_t
backoff_ms(std::uint32_t attempt, double random)
{
  const auto exponent = std::min<std::uint32_t>(attempt, 10);
  const auto max_delay = std::min(
    first_backoff_ms * static_cast<double>(1U << exponent), max_backoff_ms);
  return static_cast<std::uint64_t>(1 + random * max_delay);
}

} // namespace cactusford::admission
