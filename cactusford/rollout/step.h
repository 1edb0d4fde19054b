// State of a training step. It has a slot for each sample, which the first
// valid sample fills. Pure functions; times are in milliseconds of the steady
// clock.
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
  // Attempts to produce the sample. A sample that was dropped as stale is
  // started again.
  std::uint32_t attempts = 0;
  std::uint64_t started_ms = 0;
  std::uint64_t tokens = 0;
  // Open calls for the slot: two while a duplicate runs.
  std::uint32_t calls = 0;
  // Set in phase `ready`.
  std::optional<sample> body;
};

struct step
{
  std::string job;
  std::uint64_t number = 0;
  std::uint32_t group_size = 1;
  std::vector<slot_state> slots;
  // Number of slots in each phase, updated together with the slots.
  std::size_t waiting = 0;
  std::size_t ready = 0;
  std::size_t delivered = 0;
  // Index of the first slot that may be waiting.
  std::size_t cursor = 0;
};

step
make_step(const std::string& job,
          std::uint64_t number,
          std::uint32_t groups,
          std::uint32_t group_size);

// Marks the next waiting slot as running and returns its index, or nothing if
// no slot is waiting.
std::optional<std::uint32_t>
start_next(step& s, std::uint64_t now_ms);

// Returns a slot to the waiting phase, because its call failed permanently or
// its sample was dropped. Has no effect on a delivered slot.
void
release_slot(step& s, std::uint32_t index);

// Returns false if the slot is not running. The sample is then a duplicate that
// must be dropped.
bool
begin_scoring(step& s, std::uint32_t index);

// Stores the scored sample and marks the slot as ready. Has no effect if the
// slot is not in phase `scoring`.
void
fill(step& s, std::uint32_t index, sample body);

// Marks the slots that the trainer reports as received as delivered. Returns
// the number of slots that were not delivered before.
std::size_t
mark_received(step& s, const std::string& bitmap);

// Returns the indices of at most `limit` ready slots.
std::vector<std::uint32_t>
ready_slots(const step& s, std::size_t limit);

bool
is_received(const std::string& bitmap, std::uint32_t index);

void
set_received(std::string& bitmap, std::uint32_t index);

// Returns the oldest weight version of the runs, or 0 if there are no runs or
// one of them has no version.
std::uint64_t
oldest_version(const sample& s);

// Adds tokens to the last run if it has the same version, otherwise appends a
// new run.
void
add_run(sample& s, std::uint64_t version, std::uint32_t tokens);

} // namespace cactusford::rollout
