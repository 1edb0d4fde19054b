// Decides what becomes of a run that has had no event for some time. Does no
// I/O.
//
// An engine with more runs than slots lets some of them wait, and preempts runs
// when its memory is full. Such a run is silent like one on an engine that
// hangs, but the engine is healthy: its other runs would be moved for nothing,
// and a second start of the text on a new connection makes the others wait in
// turn.
#pragma once

#include <cstdint>
#include <string_view>

namespace cactusford::batches {

enum class run_health
{
  // Had an event within its limit.
  active,
  // Has no slot on its engine, or was preempted there.
  waiting,
  stalled,
};

std::string_view
name_of(run_health h) noexcept;

// Returns how long a run has had no event. The check of all runs starts runs
// itself, so their times may be later than that of the check: 0 then.
std::uint64_t
silent_time_ms(std::uint64_t last_event_ms, std::uint64_t now_ms);

// What is known of a run and of its engine.
struct run_view
{
  bool has_events = false;
  std::uint64_t silent_ms = 0;
  // Limit for a run that has had events.
  std::uint64_t silence_limit_ms = 0;
  // Runs of all owners on the engine.
  std::uint32_t engine_runs = 0;
  std::uint32_t engine_slots = 0;
  // Another run of the same owner and model on the engine had an event within
  // the silence limit.
  bool has_active_sibling = false;
  // More than one owner has open batches on the service. Otherwise all silent
  // runs are stalled.
  bool is_shared = true;
  // The engine is cold, and its runs pause for longer than usual.
  bool is_cold = false;

  friend bool operator==(const run_view&, const run_view&) = default;
};

// A run without its first event for this long is moved to another engine. The
// limit is longer than an engine takes to process a prompt. Also the limit for
// all runs on a cold engine.
constexpr std::uint64_t first_event_limit_ms = 1500;

run_health
health_of(const run_view& r);

// Minimum time that a run waits before it may move to a free slot.
constexpr std::uint64_t min_wait_before_move_ms = 500;

// Returns true if the run moves although it is not known whether there is a
// free slot elsewhere.
bool
must_move(const run_view& r);

// Returns true if the run moves provided that its owner may use a free slot on
// another engine.
bool
may_move_to_free_slot(const run_view& r);

} // namespace cactusford::batches
