// Chooses the entry that runs a newly submitted batch. Does no I/O.
//
// A trainer submits a step of one to two hundred items every few seconds, each
// time at a different entry, and resubmits unfinished groups with the next
// step. An entry that runs consecutive steps of a trainer keeps its hundred
// connections to the engines, its measurements of their pace, and the text of
// resubmitted items.
//
// Entries differ in capacity by a factor of five. On a small entry each step is
// scheduled, read and listed some tenths of a second late, which delays the
// trainer's next step.
#pragma once

#include "cactusford/membership/directory.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::batches {

// An entry that runs an earlier batch of the same trainer.
struct runner
{
  membership::member entry;
  // When the batch was accepted, on the wall clock.
  std::uint64_t accepted_wall_ms = 0;
  // When the entry last answered a probe, on the steady clock.
  std::uint64_t seen_ms = 0;

  friend bool operator==(const runner&, const runner&) = default;
};

// Rules for a deployment over several data centres. If disabled, entries are
// chosen by their capacity and by what they run.
struct data_centre_rules
{
  bool is_enabled = false;
  // Data centres in which open batches of other trainers are owned.
  std::set<std::string, std::less<>> busy;
  // Data centres to whose backend servers no new work may be sent.
  std::set<std::string, std::less<>> drained;
  // Entries that announced their shutdown lately.
  std::vector<membership::member> departures;
  // The time of day, to compare with the start times of entries.
  std::uint64_t wall_ms = 0;

  friend bool operator==(const data_centre_rules&,
                         const data_centre_rules&) = default;
};

// What the accepting entry knows about the others.
struct placement_view
{
  membership::member self;
  // Identifies the trainer. Entries of equal capacity are ranked differently
  // for each trainer, because several trainers submit their first steps at the
  // same moment.
  std::string trainer;
  // Entries that run batches of the same trainer.
  std::vector<runner> trainer_runners;
  // The largest entries, in descending order of capacity.
  std::vector<membership::member> largest_entries;
  // Instances that run open batches of other trainers.
  std::set<std::string> busy_instances;
  std::uint64_t now_ms = 0;
  data_centre_rules data_centres;
};

// Returns the entry that should run the batch, or `self` if no other is clearly
// better.
//
// The runner of the trainer's newest batch is kept unless another entry is
// clearly larger. Otherwise the batch goes to the largest entry that runs no
// other trainer's steps, or stays here if this entry is about as large.
//
// With rules for data centres, entries that are large enough are ranked: not in
// a drained data centre, in this entry's region (the trainer is there), running
// no other trainer's steps, in a data centre without another trainer's owner.
membership::member
choose_runner(const placement_view& view);

// Returns the entry that continues a batch when `self` shuts down: the first of
// the known entries that runs no other trainer's steps. Returns nothing if no
// other entry is known.
//
// A step released without a successor was taken over by whichever entry wrote
// first. That was usually a small one, which needed 0.5 to 0.9 s to continue
// it, compared with 0.24 s on a large one, and which was itself stopped soon
// after.
//
// With rules for data centres, a rolling stop is taken into account: it stops
// each entry once, so entries that were restarted during it are preferred.
// Otherwise an entry is preferred whose data centre differs from those in which
// stops were last seen.
std::optional<membership::member>
choose_successor(const placement_view& view);

// Why this successor was chosen, for the log: `restarted`, `other_data_centre`
// or `largest`.
std::string_view
reason_for(const placement_view& view, const membership::member& successor);

// Returns true if the entry was started so recently that a rolling stop has
// already restarted it.
bool
is_recently_restarted(const placement_view& view, const membership::member& m);

// How long an entry that is shutting down goes on with its batches before it
// hands them over. A batch that is handed over no earlier than half its life
// has at most two owners, in whatever order entries are stopped, and most
// batches end before. 0 if the time until the process is killed doesn't allow
// it.
std::uint64_t
handover_delay_ms(std::uint64_t grace_ms);

} // namespace cactusford::batches
