// Queue of texts that wait for their scorer call. Does no I/O.
//
// When sixty texts of a step are to be scored and one of the calls is a poison
// request, it crashes each server that runs it. If all waiting calls were sent
// as soon as servers have restarted, which they do within half a second of each
// other, the poison request would bring down the calls beside it each time and
// could not be told apart from them. A call during which a server has crashed
// is therefore sent without any other such call in flight: healthy calls are
// answered and cleared one by one, and the poison request crashes its server
// alone.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace cactusford::batches {

// A text without a score: the batch, and the item's index in it.
struct unscored_text
{
  std::string batch;
  std::size_t at = 0;

  friend bool operator==(const unscored_text&, const unscored_text&) = default;
};

struct score_queue
{
  // In the order of arrival.
  std::deque<unscored_text> waiting;
  bool suspect_in_flight = false;

  friend bool operator==(const score_queue&, const score_queue&) = default;
};

struct next_score
{
  unscored_text text;
  // Servers have crashed during this call; call `on_suspect_finished` when it
  // ends.
  bool is_suspect = false;

  friend bool operator==(const next_score&, const next_score&) = default;
};

void
add(score_queue& q, unscored_text t);

// Removes and returns the first text whose call may be sent.
std::optional<next_score>
take_next(score_queue& q,
          const std::function<bool(const unscored_text&)>& is_suspect);

void
on_suspect_finished(score_queue& q);

} // namespace cactusford::batches
