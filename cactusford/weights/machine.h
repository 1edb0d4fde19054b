// What a sidecar does to bring its engine to the wanted weight version. Pure;
// times are milliseconds of a steady clock. See docs/WEIGHTS.md.
#pragma once

#include "cactusford/engine/client.h"

#include <cstdint>
#include <string>

namespace cactusford::weights {

enum class phase
{
  // What the engine holds is not known: read back before anything else.
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
  phase now = phase::unknown;
  std::uint64_t target_version = 0;
  // Configuration version of the wanted weights; the fencing number of orders.
  std::uint64_t fence = 0;
  std::uint64_t active = 0;
  std::uint64_t staged = 0;
  // Counts the beginnings and ends of swaps: tokens from an engine that names
  // no version are attributed only while this stands still.
  std::uint64_t swap_epoch = 0;
  std::uint32_t failures = 0;
  // No order before this time.
  std::uint64_t not_before_ms = 0;
  // A swap waits until its wave, so that not all engines pause at once.
  std::uint64_t swap_not_before_ms = 0;

  friend bool operator==(const weight_state&, const weight_state&) = default;
};

enum class action
{
  none,
  read_back,
  stage,
  swap,
};

// Takes a newer wish. An older fence is ignored.
void
set_target(weight_state& m,
           std::uint64_t version,
           std::uint64_t fence,
           std::uint64_t swap_not_before_ms);

// The next step, which the machine notes as begun.
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

// The version that may be named for new work, 0 when none may.
std::uint64_t
serving_version(const weight_state& m);

// Position of an instance among `count` of its pool -> delay of its swap.
std::uint64_t
wave_delay_ms(std::size_t position,
              std::size_t count,
              double max_swapping_share,
              std::uint64_t swap_ms);

} // namespace cactusford::weights
