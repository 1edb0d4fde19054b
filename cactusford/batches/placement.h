// Which entry runs a batch that was just submitted. Pure.
//
// Pattern: a trainer submits a step of one to two hundred items every few
// seconds, each time at another entry, and the next step's unfinished groups
// come again. An entry that runs a trainer's steps one after the other keeps
// its hundred connections to the engines, the pace that it has seen of them,
// and the text of the items that come again. Entries differ in size by a factor
// of five: where a small one runs the steps, each is planned, read and listed
// some tenths of a second late, and the trainer asks for the next one later.
#pragma once

#include "cactusford/membership/directory.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactusford::batches {

// An entry that runs an earlier batch of the same trainer.
struct runner
{
  membership::member of;
  // When the batch was accepted, by the time of day.
  std::uint64_t accepted_wall_ms = 0;
  // When it last said that it lives, on the steady clock.
  std::uint64_t seen_ms = 0;

  friend bool operator==(const runner&, const runner&) = default;
};

// What the entry that accepts a batch knows.
struct placement_view
{
  membership::member self;
  // Tells trainers apart: equally large entries are taken in another order for
  // each, as first steps are submitted at the same moment.
  std::string trainer;
  // Runs batches of the same trainer.
  std::vector<runner> of_trainer;
  // The largest entries, by falling capacity.
  std::vector<membership::member> known;
  // Instances that run open batches of other trainers.
  std::set<std::string> busy;
  std::uint64_t now_ms = 0;
};

// Who runs it; `self` where nobody is clearly better.
//
// The runner of the trainer's newest batch keeps it unless another entry is
// clearly larger. Otherwise it goes to the largest entry that runs no other
// trainer's steps, and stays here if this one is about as large.
membership::member
choose_runner(const placement_view& v);

// Who goes on with a batch when `self` leaves: the first of the known entries
// that runs no other trainer's steps. Nothing when no entry is known.
//
// Released without a name, a step went to whichever entry was first to write,
// mostly a small one that needed 0.5 to 0.9 s to go on with it, where a large
// one needs 0.24 s, and that was stopped soon after.
std::optional<membership::member>
choose_successor(const placement_view& v);

} // namespace cactusford::batches
