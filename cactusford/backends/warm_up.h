// Limits the requests that this instance sends to backend servers that are
// cold. Pure: the current time is a parameter.
//
// Each sender gets an equal part of what a cold server bears. No sender asks
// another one, so the parts are cut small enough for senders that are not known
// yet; see docs/design/warm-up.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::backends {

// Limits of the servers of one service, from the configuration.
struct warm_up_limits
{
  // How long a server stays cold after its start.
  std::uint64_t cold_ms = 0;
  // Requests a second that a cold server bears, from all instances together; 0:
  // servers are never cold.
  double per_second = 0;

  friend bool operator==(const warm_up_limits&,
                         const warm_up_limits&) = default;
};

// Number of other senders that is assumed until it is known.
constexpr std::uint32_t assumed_senders = 32;

// What an instance knows about cold servers in general.
struct warm_up_policy
{
  // By service.
  std::map<std::string, warm_up_limits, std::less<>> limits;
  // In any second a server may get up to `per_second * excess + slack`
  // requests.
  double excess = 1.5;
  std::uint32_t slack = 5;
  // False: no server counts as cold.
  bool is_enabled = true;
  // By engine service: the number of other instances that run batches on it.
  std::map<std::string, std::uint32_t, std::less<>> other_owners;
  // Services to which every entry sends calls, and the number of other entries.
  std::set<std::string, std::less<>> call_services;
  std::uint32_t other_entries = assumed_senders;

  friend bool operator==(const warm_up_policy&,
                         const warm_up_policy&) = default;
};

// Why a server counts as cold.
enum class cold_cause
{
  none,
  announced,
  // Appeared in the list after the first complete one.
  first_seen,
  // Is listed again after its entry was missing.
  reappeared,
  restarted,
  // Its data centre is no longer drained.
  undrained,
  // Refused a connection, as a process that restarts does.
  refused,
  // Stated by a header of an answer.
  header,
};

std::string_view
name_of(cold_cause c) noexcept;

// What this instance knows about one server. All times are on the steady clock;
// 0: never.
struct warm_up_state
{
  // The server counts as cold before this time, as it announced.
  std::uint64_t announced_until_ms = 0;
  // Likewise, as it stated in an answer.
  std::uint64_t stated_until_ms = 0;
  // When this instance last had a reason to assume that the server is cold. It
  // counts as cold from then for the service's `cold_ms`.
  std::uint64_t assumed_at_ms = 0;
  // An announcement that arrives before this time may be older than the event
  // at `assumed_at_ms` and does not end the assumption.
  std::uint64_t assumption_firm_until_ms = 0;
  std::uint64_t undrained_at_ms = 0;
  // Times of this instance's latest requests, in ascending order.
  std::vector<std::uint64_t> sent_ms;

  friend bool operator==(const warm_up_state&, const warm_up_state&) = default;
};

// At most `requests` in any period of `period_ms`.
struct warm_up_budget
{
  std::size_t requests = 0;
  std::uint64_t period_ms = 0;

  friend bool operator==(const warm_up_budget&,
                         const warm_up_budget&) = default;
};

// What a sender that knows `others` other senders may send to a cold server. A
// fractional budget allows one more request in a longer period.
warm_up_budget
cold_budget(const warm_up_policy& p,
            const warm_up_limits& l,
            std::uint32_t others);

// What it may send to any server of the service, as the server may have become
// cold without notice.
warm_up_budget
unnoticed_budget(const warm_up_policy& p,
                 const warm_up_limits& l,
                 std::uint32_t others);

// Returns the limits in force for the service, or null if its servers are never
// cold.
const warm_up_limits*
limits_of(const warm_up_policy& p, std::string_view service);

std::uint32_t
other_senders(const warm_up_policy& p, std::string_view service);

// Returns when the server stops to count as cold.
std::uint64_t
cold_until_ms(const warm_up_state& s, const warm_up_limits& l);

bool
is_cold(const warm_up_state& s,
        const warm_up_policy& p,
        std::string_view service,
        std::uint64_t now_ms);

// Records that a request is sent to the server now.
void
note_sent(warm_up_state& s,
          const warm_up_policy& p,
          std::string_view service,
          std::uint64_t now_ms);

// Returns true if this instance may send the server another request now.
bool
has_warm_up_budget(const warm_up_state& s,
                   const warm_up_policy& p,
                   std::string_view service,
                   std::uint64_t now_ms);

// Returns the earliest time at which this instance may send the server another
// request; `now_ms` or earlier if it may now.
std::uint64_t
budget_returns_ms(const warm_up_state& s,
                  const warm_up_policy& p,
                  std::string_view service,
                  std::uint64_t now_ms);

} // namespace cactusford::backends
