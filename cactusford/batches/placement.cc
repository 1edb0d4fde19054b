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

// An entry counts as recently restarted if it started within
// `restart_memory_ms` and later than the first entries of the deployment by
// `first_start_spread_ms`. Start times are by the entries' own clocks, which
// may differ by seconds.
constexpr std::uint64_t restart_memory_ms = 60000;
constexpr std::uint64_t first_start_spread_ms = 10000;

// Start times closer together than this are equal.
constexpr std::uint64_t start_resolution_ms = 10000;

// A successor with at least this share of the largest entry's capacity is large
// enough: a batch that is moved once more loses 0.24 to 0.9 s, an entry of half
// the capacity delays it by less.
constexpr double min_successor_share = 0.5;

// Stops within this time suggest in which data centre the next one will be.
constexpr std::uint64_t stop_relevance_ms = 5000;

bool
is_drained(const placement_view& view, const membership::member& m)
{
  return view.data_centres.drained.contains(m.data_centre);
}

bool
has_left(const placement_view& view, const membership::member& m)
{
  const auto& left = view.data_centres.departures;
  return std::any_of(left.begin(), left.end(), [&](const auto& d) {
    return d.instance == m.instance && d.started_ms >= m.started_ms;
  });
}

bool
is_idle(const placement_view& view, const membership::member& m)
{
  return !view.busy_instances.contains(m.instance);
}

// Returns this entry and those that it knows, without those that have left.
std::vector<membership::member>
candidates(const placement_view& view)
{
  std::vector<membership::member> all{ view.self };
  for (const auto& m : view.largest_entries) {
    if (m.instance != view.self.instance && !has_left(view, m)) {
      all.push_back(m);
    }
  }
  return all;
}

template<typename Rank>
membership::member
highest(const std::vector<membership::member>& members, const Rank& rank_of)
{
  return *std::max_element(
    members.begin(), members.end(), [&](const auto& a, const auto& b) {
      return rank_of(a) < rank_of(b);
    });
}

double
largest_capacity(const std::vector<membership::member>& members)
{
  double most = 0;
  for (const auto& m : members) {
    most = std::max(most, m.capacity);
  }
  return most;
}

// An entry that runs another trainer's steps is no measure of what is large
// enough, unless all do.
std::vector<membership::member>
large_enough(const placement_view& view,
             const std::vector<membership::member>& all)
{
  std::vector<membership::member> idle;
  std::copy_if(all.begin(),
               all.end(),
               std::back_inserter(idle),
               [&](const auto& m) { return is_idle(view, m); });
  const auto limit =
    min_capacity_share * largest_capacity(idle.empty() ? all : idle);
  auto large = all;
  std::erase_if(large, [&](const auto& m) { return m.capacity < limit; });
  return large;
}

membership::member
choose_runner_by_data_centre(const placement_view& view)
{
  const auto large = large_enough(view, candidates(view));
  const bool all_drained =
    std::all_of(large.begin(), large.end(), [&](const auto& m) {
      return is_drained(view, m);
    });
  const auto runner = live_runner(view);
  if (runner && !has_left(view, *runner) &&
      (all_drained || !is_drained(view, *runner)) &&
      runner->capacity >= min_capacity_share * largest_capacity(large)) {
    return *runner;
  }
  return highest(large, [&](const membership::member& m) {
    return std::tuple{ !is_drained(view, m),
                       m.region == view.self.region,
                       is_idle(view, m),
                       !view.data_centres.busy.contains(m.data_centre),
                       m.instance == view.self.instance,
                       m.capacity,
                       membership::weight_of(m.instance, view.trainer) };
  });
}

// Returns the start time of a recently restarted entry in steps of
// `start_resolution_ms`; 0 for any other.
std::uint64_t
restart_rank(const placement_view& view, const membership::member& m)
{
  return is_recently_restarted(view, m) ? m.started_ms / start_resolution_ms
                                        : 0;
}

// This entry is being stopped, so its own data centre is one of them.
bool
is_where_stops_were_seen(const placement_view& view,
                         const membership::member& m)
{
  const auto& left = view.data_centres.departures;
  return m.data_centre == view.self.data_centre ||
         std::any_of(left.begin(), left.end(), [&](const auto& d) {
           return d.data_centre == m.data_centre &&
                  d.left_ms_ago <= stop_relevance_ms;
         });
}

std::optional<membership::member>
choose_successor_by_data_centre(const placement_view& view)
{
  auto others = candidates(view);
  others.erase(others.begin());
  if (others.empty()) {
    return std::nullopt;
  }
  const auto limit = min_successor_share * largest_capacity(others);
  return highest(others, [&](const membership::member& m) {
    const auto restarted = restart_rank(view, m);
    return std::tuple{ m.capacity >= limit,
                       m.region == view.self.region,
                       !is_drained(view, m),
                       is_idle(view, m),
                       restarted,
                       restarted != 0 || !is_where_stops_were_seen(view, m),
                       m.capacity,
                       m.started_ms,
                       membership::weight_of(m.instance, view.trainer) };
  });
}

} // namespace

bool
is_recently_restarted(const placement_view& view, const membership::member& m)
{
  // Entries of an earlier version may not announce their start.
  auto first = m.started_ms;
  if (view.self.started_ms != 0) {
    first = std::min(first, view.self.started_ms);
  }
  for (const auto* members :
       { &view.largest_entries, &view.data_centres.departures }) {
    for (const auto& other : *members) {
      first = other.started_ms == 0 ? first : std::min(first, other.started_ms);
    }
  }
  return m.started_ms > first + first_start_spread_ms &&
         m.started_ms + restart_memory_ms > view.data_centres.wall_ms;
}

std::string_view
reason_for(const placement_view& view, const membership::member& successor)
{
  if (view.data_centres.is_enabled && is_recently_restarted(view, successor)) {
    return "restarted";
  }
  return view.data_centres.is_enabled &&
             !is_where_stops_were_seen(view, successor)
           ? "other_data_centre"
           : "largest";
}

std::uint64_t
handover_delay_ms(std::uint64_t grace_ms)
{
  // A batch lives for 7.5 s, its due time.
  constexpr std::uint64_t half_life_ms = 4000;
  // The time that a handover may take while the store is slow, and the time
  // that is reserved before the process is killed.
  constexpr std::uint64_t reserve_ms = 3500;
  return std::min(half_life_ms, grace_ms - std::min(grace_ms, reserve_ms));
}

membership::member
choose_runner(const placement_view& view)
{
  if (view.data_centres.is_enabled) {
    return choose_runner_by_data_centre(view);
  }
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
  if (view.data_centres.is_enabled) {
    return choose_successor_by_data_centre(view);
  }
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
