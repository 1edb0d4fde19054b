// Records the pace of runs, and decides which runs move to another engine
// because of the speed of theirs. Free of side effects: the current time is a
// parameter.
#pragma once

#include "cactusford/backends/registry.h"

#include <cstdint>
#include <string>

namespace cactusford::backends {

enum class move_cause
{
  none,
  // The engine is in trouble.
  trouble,
  // The engine is slow, and the run would end too late on it.
  late,
};

std::string_view
name_of(move_cause cause) noexcept;

// Moves of an item so far.
struct move_history
{
  // The last engine that it left because of trouble, and the period of trouble.
  std::string left_id;
  std::uint64_t left_period_ms = 0;
  bool has_moved_late = false;
  // The last period of trouble in which the run was counted as kept.
  std::uint64_t kept_period_ms = 0;

  friend bool operator==(const move_history&, const move_history&) = default;
};

struct run_outlook
{
  double remaining_events = 0;
  std::uint64_t due_ms = 0;
};

// Records events of a run that arrived together. `last_event_ms` is the time of
// the run's event before them.
void
note_events(registry& r,
            backend& b,
            gap_window& window,
            std::uint64_t events,
            std::uint64_t last_event_ms,
            std::uint64_t now_ms);

// Returns the expected time between two events of a run on the engine at its
// load plus `more_runs`; 0 if unknown.
double
expected_gap_ms(const registry& r,
                const backend& b,
                std::uint32_t more_runs,
                std::uint64_t now_ms);

bool
is_in_trouble(const registry& r, const backend& b, std::uint64_t now_ms);

std::size_t
servers_in_trouble(const registry& r, std::uint64_t now_ms);

// Returns why a run should leave its engine if another one is better.
move_cause
cause_to_move(const registry& r,
              const backend& here,
              const run_outlook& run,
              const move_history& history,
              std::uint64_t now_ms);

// Returns true if the run should move to this engine.
bool
should_move(const registry& r,
            const backend& here,
            const backend& there,
            move_cause cause,
            const run_outlook& run,
            std::uint64_t now_ms);

// Records the decision on a run that had a cause to move.
void
note_move(registry& r, const backend& here, move_cause cause, move_history& h);

void
note_kept(registry& r, const backend& here, move_cause cause, move_history& h);

} // namespace cactusford::backends
