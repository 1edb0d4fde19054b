#include "cactusford/batches/score_queue.h"

#include <utility>

namespace cactusford::batches {

void
add(score_queue& q, unscored_text t)
{
  q.waiting.push_back(std::move(t));
}

std::optional<next_score>
take_next(score_queue& q,
          const std::function<bool(const unscored_text&)>& is_suspect)
{
  for (auto at = q.waiting.begin(); at != q.waiting.end(); ++at) {
    const bool suspect = is_suspect(*at);
    if (suspect && q.suspect_in_flight) {
      continue;
    }
    next_score next{ std::move(*at), suspect };
    q.waiting.erase(at);
    q.suspect_in_flight = q.suspect_in_flight || suspect;
    return next;
  }
  return std::nullopt;
}

void
on_suspect_finished(score_queue& q)
{
  q.suspect_in_flight = false;
}

} // namespace cactusford::batches
