#include "cactusford/batches/placement.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace cactusford::batches {

namespace {

// Owners of open batches are probed every 300 ms. An owner that missed two
// probes may be gone, and a batch given to it would have to wait for the next
// takeover.
constexpr std::uint64_t max_answer_age_ms = 800;

// An entry with at least this share of the largest entry's capacity is large
// enough. Moving the steps costs a hundred connections and the saved text of
// resubmitted items.
constexpr double min_capacity_share = 0.7;

std::optional<membership::member>
live_runner(const placement_view& view)
{
  const auto newest =
    std::max_element(view.trainer_runners.begin(),
                     view.trainer_runners.end(),
                     [](const auto& a, const auto& b) {
                       return a.accepted_wall_ms < b.accepted_wall_ms;
                     });
  const bool is_alive = newest != view.trainer_runners.end() &&
                        view.now_ms - newest->seen_ms <= max_answer_age_ms;
  return is_alive ? std::optional{ newest->entry } : std::nullopt;
}

// Returns the largest entry that runs no other trainer's steps, or the largest
// of all if every entry does.
membership::member
largest_idle_entry(const placement_view& view)
{
  const auto rank_of = [&](const membership::member& m) {
    return std::tuple{ !view.busy_instances.contains(m.instance),
                       m.capacity,
                       membership::weight_of(m.instance, view.trainer) };
  };
  auto best = view.self;
  for (const auto& m : view.largest_entries) {
    best = rank_of(m) > rank_of(best) ? m : best;
  }
  return best;
}

} // namespace

membership::member
choose_runner(const placement_view& view)
{
  const auto best = largest_idle_entry(view);
  const auto is_large_enough = [&](const membership::member& m) {
    return m.capacity >= min_capacity_share * best.capacity;
  };
  const auto runner = live_runner(view);
  if (runner && is_large_enough(*runner)) {
    return *runner;
  }
  const bool is_free = !view.busy_instances.contains(view.self.instance);
  return is_free && is_large_enough(view.self) ? view.self : best;
}

std::optional<membership::member>
choose_successor(const placement_view& view)
{
  std::optional<membership::member> fallback;
  for (const auto& m : view.largest_entries) {
    if (m.instance == view.self.instance) {
      continue;
    }
    if (!view.busy_instances.contains(m.instance)) {
      return m;
    }
    fallback = fallback ? fallback : m;
  }
  return fallback;
}

} // namespace cactusford::batches
