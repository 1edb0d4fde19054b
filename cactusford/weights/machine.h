// State machine with which a sidecar brings its engine to the target weight
// version. Pure functions; times are milliseconds of a steady clock. See
// docs/WEIGHTS.md.
#pragma once

#include "cactusford/engine/client.h"

#include <cstdint>
#include <string>

namespace cactusford::weights {

enum class phase
{
  // The engine's versions are unknown; they must be read back before any order.
  unknown,
  idle,
  reading,
  staging,
  staged,
  swapping,
};

struct weight_state
{
  std::string model;
  phase current_phase = phase::unknown;
  std::uint64_t target_version = 0;
  // Configuration version that declares the target; orders to the engine carry
  // it as their fencing token.
  std::uint64_t fence = 0;
  std::uint64_t active = 0;
  std::uint64_t staged = 0;
  // Incremented when a swap starts and when it ends. Tokens from an engine that
  // reports no version are attributed to a version only if the epoch did not
  // change meanwhile.
  std::uint64_t swap_epoch = 0;
  std::uint32_t failures = 0;
  // No action starts before this time (backoff after a failure).
  std::uint64_t retry_not_before_ms = 0;
  // Engines swap in waves so that they do not all pause at once.
  std::uint64_t earliest_swap_ms = 0;

  friend bool operator==(const weight_state&, const weight_state&) = default;
};

enum class action
{
  none,
  read_back,
  stage,
  swap,
};

// Sets the target version. Ignored unless `fence` is higher than the last one.
void
set_target(weight_state& m,
           std::uint64_t version,
           std::uint64_t fence,
           std::uint64_t earliest_swap_ms);

// Returns the next action and changes the state as if it had started.
action
next_action(weight_state& m, std::uint64_t now_ms);

void
on_read(weight_state& m,
        const result<engine::versions>& r,
        std::uint64_t now_ms);

void
on_order(weight_state& m,
         engine::order_kind kind,
         std::uint64_t version,
         const failure& f,
         std::uint64_t now_ms);

// The version that new work is attributed to; 0 while it is not known.
std::uint64_t
serving_version(const weight_state& m);

// Delay of the swap for the instance at `position` among the `count` instances
// of its pool. Each wave swaps at most `max_swapping_share` of them, and at
// least one.
std::uint64_t
wave_delay_ms(std::size_t position,
              std::size_t count,
              double max_swapping_share,
              std::uint64_t swap_ms);

} // namespace cactusford::weights
