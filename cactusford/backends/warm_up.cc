#include "cactusford/backends/warm_up.h"

#include <algorithm>
#include <cmath>

namespace cactusford::backends {

namespace {

// The period over which requests are counted, in place of the second in which
// the server counts them. Requests that take up to 100 ms to arrive can arrive
// in one second although they were sent 1,100 ms apart, which is 1,111 ms on a
// clock that is fast by 1%. With 1,100 ms, two full budgets arrived within
// 989 ms.
constexpr std::uint64_t counted_period_ms = 1120;

// The number of senders may be up to twice the number that this sender knows,
// itself included. With one unknown sender in the divisor instead, four senders
// that knew of one other each could send 32 requests where 26 are allowed.
constexpr double unknown_senders_factor = 2;

std::uint64_t
rounded_up(double value)
{
  // Quotients of integers that should be whole may lie just above.
  constexpr double tolerance = 1e-9;
  return static_cast<std::uint64_t>(std::ceil(value - tolerance));
}

warm_up_budget
budget_of(double requests)
{
  const auto whole = std::max<std::uint64_t>(rounded_up(requests), 1);
  const auto period = static_cast<double>(counted_period_ms) *
                      static_cast<double>(whole) / requests;
  return { whole, rounded_up(period) };
}

// Requests in any second that a server bears at most.
double
most_per_second(const warm_up_policy& p, const warm_up_limits& l)
{
  return l.per_second * p.excess + p.slack;
}

double
unnoticed_share(const warm_up_policy& p,
                const warm_up_limits& l,
                std::uint32_t others)
{
  return most_per_second(p, l) / (unknown_senders_factor * (others + 1.0));
}

std::uint64_t
returns_ms(const warm_up_state& s, const warm_up_budget& b)
{
  return s.sent_ms.size() < b.requests
           ? 0
           : s.sent_ms[s.sent_ms.size() - b.requests] + b.period_ms;
}

} // namespace

std::string_view
name_of(cold_cause c) noexcept
{
  switch (c) {
    case cold_cause::none:
      return "none";
    case cold_cause::announced:
      return "announced";
    case cold_cause::first_seen:
      return "first_seen";
    case cold_cause::reappeared:
      return "reappeared";
    case cold_cause::restarted:
      return "restarted";
    case cold_cause::undrained:
      return "undrained";
    case cold_cause::refused:
      return "refused";
    case cold_cause::header:
      return "header";
  }
  return "unknown";
}

warm_up_budget
cold_budget(const warm_up_policy& p,
            const warm_up_limits& l,
            std::uint32_t others)
{
  return budget_of(
    std::min(l.per_second / (others + 2.0), unnoticed_share(p, l, others)));
}

warm_up_budget
unnoticed_budget(const warm_up_policy& p,
                 const warm_up_limits& l,
                 std::uint32_t others)
{
  // Rounded down: one more request from each sender would exceed the limit.
  const auto share = unnoticed_share(p, l, others);
  return budget_of(share < 1 ? share : std::floor(share));
}

const warm_up_limits*
limits_of(const warm_up_policy& p, std::string_view service)
{
  const auto found = p.limits.find(service);
  const bool in_force =
    p.is_enabled && found != p.limits.end() && found->second.per_second > 0;
  return in_force ? &found->second : nullptr;
}

std::uint32_t
other_senders(const warm_up_policy& p, std::string_view service)
{
  const auto owners = p.other_owners.find(service);
  if (p.call_services.contains(service)) {
    return std::max(p.other_entries,
                    owners == p.other_owners.end() ? 0 : owners->second);
  }
  return owners == p.other_owners.end() ? assumed_senders : owners->second;
}

std::uint64_t
cold_until_ms(const warm_up_state& s, const warm_up_limits& l)
{
  const auto from = [&l](std::uint64_t at_ms) {
    return at_ms == 0 ? 0 : at_ms + l.cold_ms;
  };
  return std::max({ s.announced_until_ms,
                    s.stated_until_ms,
                    from(s.assumed_at_ms),
                    from(s.undrained_at_ms) });
}

bool
is_cold(const warm_up_state& s,
        const warm_up_policy& p,
        std::string_view service,
        std::uint64_t now_ms)
{
  const auto* l = limits_of(p, service);
  return l != nullptr && now_ms < cold_until_ms(s, *l);
}

void
note_sent(warm_up_state& s,
          const warm_up_policy& p,
          std::string_view service,
          std::uint64_t now_ms)
{
  const auto* l = limits_of(p, service);
  if (l == nullptr) {
    return;
  }
  s.sent_ms.push_back(now_ms);
  // No budget is larger than that of a sender that knows no other.
  const auto most = std::max(cold_budget(p, *l, 0).requests,
                             unnoticed_budget(p, *l, 0).requests);
  if (s.sent_ms.size() > most) {
    s.sent_ms.erase(s.sent_ms.begin());
  }
}

bool
has_warm_up_budget(const warm_up_state& s,
                   const warm_up_policy& p,
                   std::string_view service,
                   std::uint64_t now_ms)
{
  return budget_returns_ms(s, p, service, now_ms) <= now_ms;
}

std::uint64_t
budget_returns_ms(const warm_up_state& s,
                  const warm_up_policy& p,
                  std::string_view service,
                  std::uint64_t now_ms)
{
  const auto* l = limits_of(p, service);
  if (l == nullptr || s.sent_ms.empty()) {
    return now_ms;
  }
  const auto others = other_senders(p, service);
  const auto cold_until = cold_until_ms(s, *l);
  // A cold server can be used again at the latest when it is warm.
  const auto for_cold =
    now_ms < cold_until
      ? std::min(cold_until, returns_ms(s, cold_budget(p, *l, others)))
      : 0;
  // Entries send a warm server of calls many times what a cold one bears. The
  // share of one entry of 22 would be one call a second.
  const auto for_any = p.call_services.contains(service)
                         ? 0
                         : returns_ms(s, unnoticed_budget(p, *l, others));
  return std::max({ now_ms, for_cold, for_any });
}

} // namespace cactusford::backends
