// Which waiting item starts next. Pure.
//
// Pattern: lengths have a long tail. A few items of a step run five times as
// long as the mean, up to nearly all the time that the step has, and a step
// ends with its longest groups. There are more items than free slots at the
// start of a step, and two steps of a trainer may be open. So the item with
// the least time to spare goes first: due time less the expected run, over all
// open batches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusford::batches {

// Milliseconds of an engine for one token of the caller's estimate, learned
// from runs that ended.
struct token_pace
{
  // Before the first run has ended: what engines of this class need.
  double ms = 0.65;

  friend bool operator==(const token_pace&, const token_pace&) = default;
};

// A run of a text that was expected to have `hint` tokens took `run_ms`.
void
note_run(token_pace& p, std::uint64_t hint, std::uint64_t run_ms);

// What is left of a run that has made text for `made_ms` already. One that
// outlived its estimate is of the long tail: as much again may be to come.
std::uint64_t
expected_run_ms(const token_pace& p,
                std::uint64_t hint,
                std::uint64_t made_ms = 0);

// How long a run may stay without an event before it goes on elsewhere, given
// the usual pause between two events; 0: not known.
//
// Pattern: an engine that loads weights holds the runs of that model up for
// about a second, and the longest texts of a step have half a second to spare.
// Going on elsewhere costs the reading of the text so far, some 40 ms.
std::uint64_t
silence_limit_ms(double usual_event_ms);

// How urgent a run is to an engine that has more than it can run at once, from
// 0 to 9. `expected_ms` is what is left of it.
//
// Pattern: owners of several trainers begin their steps at the same moment and
// send to the same engines. What has no place waits there; among those that
// wait, and that give way when memory runs out, is the longest text of a step.
std::uint32_t
urgency_of(std::uint64_t due_ms,
           std::uint64_t expected_ms,
           std::uint64_t now_ms);

struct waiting_item
{
  // Which batch and which of its items.
  std::size_t batch = 0;
  std::size_t item = 0;
  std::uint64_t due_ms = 0;
  std::uint64_t expected_ms = 0;

  friend bool operator==(const waiting_item&, const waiting_item&) = default;
};

// The least time to spare first; ties in the order they came.
void
sort_by_slack(std::vector<waiting_item>& items);

} // namespace cactusford::batches
