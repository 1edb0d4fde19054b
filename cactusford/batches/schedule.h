// Decides which waiting item starts next. Does no I/O.
//
// Run lengths have a long tail: a few items of a step run five times as long as
// the mean, up to nearly the whole time available, and a step ends with its
// longest groups. At the start of a step there are more items than free slots,
// and two steps of a trainer may be open. The item with the least slack
// therefore starts first: due time minus expected run time, over all open
// batches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusford::batches {

// Milliseconds that an engine needs per token of the caller's estimate, learned
// from completed runs.
struct token_pace
{
  // Initial value until the first run has ended: what engines of this class
  // need.
  double ms = 0.65;

  friend bool operator==(const token_pace&, const token_pace&) = default;
};

// Updates the pace with a run that took `run_ms` and was expected to have
// `hint` tokens.
void
record_run(token_pace& p, std::uint64_t hint, std::uint64_t run_ms);

// Returns the expected remaining time of a run that has already been generating
// for `elapsed_ms`. A run that has exceeded its estimate belongs to the long
// tail: half of the time it has already taken is expected to remain.
std::uint64_t
expected_run_ms(const token_pace& p,
                std::uint64_t hint,
                std::uint64_t elapsed_ms = 0);

// Returns how long a run may go without an event before it is moved to another
// engine, given the typical time between two events (0 if unknown).
//
// An engine that loads weights stalls the runs of that model for about a
// second, while the longest texts of a step have half a second of slack. Moving
// a run costs processing its text so far on the other engine, about 40 ms.
std::uint64_t
silence_limit_ms(double typical_event_gap_ms);

// Returns the urgency of a run, from 0 to 9, for an engine that has more runs
// than it can execute at once; lower values are more urgent. `expected_ms` is
// the remaining run time.
//
// Owners of several trainers start their steps at the same moment on the same
// engines. Runs without a slot wait there, and runs are preempted when memory
// runs out; without an urgency this would affect the longest text of a step as
// well.
std::uint32_t
urgency_of(std::uint64_t due_ms,
           std::uint64_t expected_ms,
           std::uint64_t now_ms);

struct waiting_item
{
  // Index of the batch, and index of the item in it.
  std::size_t batch = 0;
  std::size_t item = 0;
  std::uint64_t due_ms = 0;
  std::uint64_t expected_ms = 0;

  friend bool operator==(const waiting_item&, const waiting_item&) = default;
};

// Sorts by slack, smallest first. Equal items keep their order.
void
sort_by_slack(std::vector<waiting_item>& items);

} // namespace cactusford::batches
