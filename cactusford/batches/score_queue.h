// Texts that wait for their scorer's call, and which of them goes next. Pure.
//
// Pattern: sixty texts of a step are to be scored, and one of these calls ends
// each server that runs it. Servers come back within half a second of each
// other; all calls that wait are sent at once, a poisonous one takes those
// beside it down each time, and nothing tells it from them. So a call under
// which a server has ended goes alone among its like: the healthy ones are
// answered and cleared one after the other, and the poisonous one ends its
// server by itself.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace cactusford::batches {

// A text without its score: the batch, and the item's place in it.
struct unscored_text
{
  std::string batch;
  std::size_t at = 0;

  friend bool operator==(const unscored_text&, const unscored_text&) = default;
};

struct score_queue
{
  // In the order they came.
  std::deque<unscored_text> waiting;
  bool suspect_is_under_way = false;

  friend bool operator==(const score_queue&, const score_queue&) = default;
};

struct next_score
{
  unscored_text text;
  // Servers have ended under this call: tell `note_suspect_ended` of its end.
  bool is_suspect = false;

  friend bool operator==(const next_score&, const next_score&) = default;
};

void
add(score_queue& q, unscored_text t);

// The first that may go, taken off the queue.
std::optional<next_score>
take_next(score_queue& q,
          const std::function<bool(const unscored_text&)>& is_suspect);

void
note_suspect_ended(score_queue& q);

} // namespace cactusford::batches
