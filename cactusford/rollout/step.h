// One training step: a slot for each sample, filled by the first valid one.
// Pure; times are steady milliseconds.
#pragma once

#include "cactusford/rollout/rollout.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::rollout {

enum class slot_phase
{
  waiting,
  running,
  scoring,
  ready,
  delivered,
};

struct slot_state
{
  slot_phase phase = slot_phase::waiting;
  // Attempts of the whole sample: a dropped stale one begins anew.
  std::uint32_t attempts = 0;
  std::uint64_t started_ms = 0;
  std::uint64_t tokens = 0;
  // Calls under way for it: two while a duplicate runs.
  std::uint32_t calls = 0;
  // Set from `ready` on.
  std::optional<sample> body;
};

struct step
{
  std::string job;
  std::uint64_t number = 0;
  std::uint32_t group_size = 1;
  std::vector<slot_state> slots;
  // Counts by phase, kept with the slots.
  std::size_t waiting = 0;
  std::size_t ready = 0;
  std::size_t delivered = 0;
  // First slot that may be waiting.
  std::size_t cursor = 0;
};

step
make_step(const std::string& job,
          std::uint64_t number,
          std::uint32_t groups,
          std::uint32_t group_size);

// The next slot to start. It is running from now on.
std::optional<std::uint32_t>
start_next(step& s, std::uint64_t now_ms);

// The call of a slot failed for good: it waits again.
void
release_slot(step& s, std::uint32_t index);

// False when the slot is filled already: the sample is a duplicate to drop.
bool
begin_scoring(step& s, std::uint32_t index);

void
fill(step& s, std::uint32_t index, sample body);

// Takes the trainer's word for what it holds. Returns how many became
// delivered by it.
std::size_t
mark_received(step& s, const std::string& bitmap);

// Ready slots, up to `most`.
std::vector<std::uint32_t>
ready_slots(const step& s, std::size_t most);

bool
is_received(const std::string& bitmap, std::uint32_t index);

void
set_received(std::string& bitmap, std::uint32_t index);

// Oldest weight version of the runs; 0 when one of them names none.
std::uint64_t
oldest_version(const sample& s);

// Appends tokens to the last run or begins a new one.
void
add_run(sample& s, std::uint64_t version, std::uint32_t tokens);

} // namespace cactusford::rollout
