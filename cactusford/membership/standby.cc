#include "cactusford/membership/standby.h"

namespace cactusford::membership {

namespace {

// Two watches through a relay and some delay: a reply comes with each.
constexpr std::uint64_t reply_max_age_ms = 4000;

// A step has seconds to spare, and each probe is one small message in each
// direction. A mistaken takeover costs only duplicate runs. An owner that
// refuses connections has crashed; it may restart at once, but then has lost
// its in-memory state.
constexpr probe_schedule of_standby{ 300, 1300, 500, 0 };

// Two probes missed, after the standbys have had their time.
constexpr std::uint64_t rare_interval_ms = 5000;
constexpr std::uint64_t rare_silent_ms =
  2 * rare_interval_ms + of_standby.silent_ms;
constexpr probe_schedule of_others{ rare_interval_ms,
                                    rare_silent_ms,
                                    rare_silent_ms,
                                    3000 };

} // namespace

bool
is_standby(const standby_state& s, std::uint64_t now_ms)
{
  const auto is_recent = [now_ms](std::uint64_t at_ms) {
    return at_ms != 0 && now_ms - at_ms <= reply_max_age_ms;
  };
  return s.is_relay || !is_recent(s.replied_at_ms) || is_recent(s.named_at_ms);
}

probe_schedule
schedule_of(bool is_standby)
{
  return is_standby ? of_standby : of_others;
}

} // namespace cactusford::membership
