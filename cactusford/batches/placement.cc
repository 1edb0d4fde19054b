#include "cactusford/batches/placement.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Owners of open batches are asked every 300 ms; one that missed two questions
// may be gone, and a batch given to it would wait for the next takeover.
constexpr std::uint64_t seen_limit_ms = 800;

} // namespace

std::optional<runner>
choose_runner(const std::vector<runner>& of_trainer,
              double own_capacity,
              std::uint64_t now_ms)
{
  const auto newest = std::max_element(
    of_trainer.begin(), of_trainer.end(), [](const auto& a, const auto& b) {
      return a.accepted_wall_ms < b.accepted_wall_ms;
    });
  if (newest == of_trainer.end()) {
    return std::nullopt;
  }
  const bool lives = now_ms - newest->seen_ms <= seen_limit_ms;
  const bool large = newest->capacity >= own_capacity;
  return lives && large ? std::optional{ *newest } : std::nullopt;
}

} // namespace cactusford::batches
