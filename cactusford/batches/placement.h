// Which entry runs a batch that was just submitted. Pure.
//
// Pattern: a trainer submits a step of about a hundred items every few seconds,
// each time at another entry, and the next step's unfinished groups come again.
// An entry that runs a trainer's steps one after the other keeps its hundred
// connections to the engines, the pace that it has seen of them, and the text
// of the items that come again; one that starts anew opens a connection for
// nearly every item. Entries differ in size by a factor of five.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::batches {

// An entry that runs an earlier batch of the same trainer.
struct runner
{
  std::string instance;
  std::string address;
  // Its share of a core.
  double capacity = 0;
  // When the batch was accepted, by the time of day.
  std::uint64_t accepted_wall_ms = 0;
  // When it last said that it lives, on the steady clock.
  std::uint64_t seen_ms = 0;

  friend bool operator==(const runner&, const runner&) = default;
};

// The runner of the trainer's newest batch, if it is known to live and is no
// smaller than the entry that asks. Nothing: the asking entry runs it itself.
std::optional<runner>
choose_runner(const std::vector<runner>& of_trainer,
              double own_capacity,
              std::uint64_t now_ms);

} // namespace cactusford::batches
