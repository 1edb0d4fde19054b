#include "cactusford/batches/placement.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace cactusford::batches {

namespace {

// Owners of open batches are probed every 300 ms. An owner that missed two
// probes may be gone, and a batch given to it would have to wait for the next
// takeover.
constexpr std::uint64_t seen_limit_ms = 800;

// An entry with at least this share of the largest entry's capacity is large
// enough. Moving the steps costs a hundred connections and the saved text of
// resubmitted items.
constexpr double large_enough = 0.7;

std::optional<membership::member>
living_runner(const placement_view& v)
{
  const auto newest = std::max_element(
    v.of_trainer.begin(), v.of_trainer.end(), [](const auto& a, const auto& b) {
      return a.accepted_wall_ms < b.accepted_wall_ms;
    });
  const bool lives =
    newest != v.of_trainer.end() && v.now_ms - newest->seen_ms <= seen_limit_ms;
  return lives ? std::optional{ newest->of } : std::nullopt;
}

// Returns the largest entry that runs no other trainer's steps, or the largest
// of all if every entry does.
membership::member
largest_free(const placement_view& v)
{
  const auto rank_of = [&](const membership::member& m) {
    return std::tuple{ !v.busy.contains(m.instance),
                       m.capacity,
                       membership::weight_of(m.instance, v.trainer) };
  };
  auto best = v.self;
  for (const auto& m : v.known) {
    best = rank_of(m) > rank_of(best) ? m : best;
  }
  return best;
}

} // namespace

membership::member
choose_runner(const placement_view& v)
{
  const auto best = largest_free(v);
  const auto is_large_enough = [&](const membership::member& m) {
    return m.capacity >= large_enough * best.capacity;
  };
  const auto runner = living_runner(v);
  if (runner && is_large_enough(*runner)) {
    return *runner;
  }
  const bool is_free = !v.busy.contains(v.self.instance);
  return is_free && is_large_enough(v.self) ? v.self : best;
}

std::optional<membership::member>
choose_successor(const placement_view& v)
{
  std::optional<membership::member> first;
  for (const auto& m : v.known) {
    if (m.instance == v.self.instance) {
      continue;
    }
    if (!v.busy.contains(m.instance)) {
      return m;
    }
    first = first ? first : m;
  }
  return first;
}

} // namespace cactusford::batches
