#include "cactusford/batches/run_health.h"

#include <algorithm>

namespace cactusford::batches {

std::string_view
name_of(run_health h) noexcept
{
  switch (h) {
    case run_health::active:
      return "active";
    case run_health::waiting:
      return "waiting";
    case run_health::stalled:
      return "silent";
  }
  return "unknown";
}

std::uint64_t
silent_time_ms(std::uint64_t last_event_ms, std::uint64_t now_ms)
{
  return now_ms > last_event_ms ? now_ms - last_event_ms : 0;
}

run_health
health_of(const run_view& r)
{
  const auto limit =
    r.has_events && !r.is_cold ? r.silence_limit_ms : first_event_limit_ms;
  if (r.silent_ms <= limit) {
    return run_health::active;
  }
  // An engine that does not state its slots has at least one.
  const auto slots = std::max<std::uint32_t>(r.engine_slots, 1);
  // On a cold engine only the events of other runs show that it is alive: the
  // connections of one that has crashed while it was cold are silent too.
  const bool is_waiting =
    (r.is_shared && (r.engine_runs > slots || r.has_active_sibling)) ||
    (r.is_cold && r.has_active_sibling);
  return is_waiting ? run_health::waiting : run_health::stalled;
}

// Engines seldom let a run wait as long as a prompt may take. One stream may
// hang while the others of its engine go on, and its owner may have no free
// slot elsewhere until the end of the step, because items wait for each one.
bool
must_move(const run_view& r)
{
  const auto health = health_of(r);
  const auto longest_wait_ms =
    r.is_cold ? 2 * first_event_limit_ms : first_event_limit_ms;
  return health == run_health::stalled ||
         (health == run_health::waiting && r.silent_ms > longest_wait_ms);
}

bool
may_move_to_free_slot(const run_view& r)
{
  return health_of(r) == run_health::waiting && r.has_events && !r.is_cold &&
         r.silent_ms >= min_wait_before_move_ms;
}

} // namespace cactusford::batches
