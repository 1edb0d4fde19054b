// Decides which entries take over the work of an entry that has died. Pure
// functions: the current time is a parameter.
//
// If every entry probed every owner, an owner of a fleet of a thousand entries
// would answer three thousand probes a second, and its death would cause a
// conditional write by each entry that has not seen the first one's. The
// largest entries, which a relay names in its replies, probe often and take
// over. The others probe rarely, for the case that all of those died too.
#pragma once

#include <cstdint>

namespace cactusford::membership {

// What an entry knows of its own place. Times are in milliseconds on the steady
// clock; 0 means never.
struct standby_state
{
  bool is_relay = false;
  // When a relay last replied, and last named this entry among the largest.
  std::uint64_t replied_at_ms = 0;
  std::uint64_t named_at_ms = 0;

  friend bool operator==(const standby_state&, const standby_state&) = default;
};

// An entry that has no reply of a relay is a standby too: the relays may be the
// ones that died.
bool
is_standby(const standby_state& s, std::uint64_t now_ms);

struct probe_schedule
{
  std::uint64_t interval_ms = 0;
  // An owner that has been silent for this long is presumed dead.
  std::uint64_t silent_ms = 0;
  // The same for an owner whose address refuses connections.
  std::uint64_t refused_ms = 0;
  // When to take over a batch that its owner has released to anyone.
  std::uint64_t released_ms = 0;

  friend bool operator==(const probe_schedule&,
                         const probe_schedule&) = default;
};

probe_schedule
schedule_of(bool is_standby);

} // namespace cactusford::membership
