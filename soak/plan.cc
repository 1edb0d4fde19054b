#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace cactusford::soak {

namespace {

// Faults begin only after work has started. Most last longer than the mean gap
// between them, so that two or three are active at the same time.
constexpr std::uint64_t first_fault_ms = 1500;
constexpr std::uint64_t mean_gap_ms = 700;
constexpr std::uint64_t store_path_mean_gap_ms = 2500;
constexpr std::uint64_t min_duration_ms = 200;
constexpr std::uint64_t max_duration_ms = 4000;

// A series repeats one fault on successive targets, like a rolling restart that
// reaches entries which have only just restarted.
constexpr double series_probability = 0.25;
constexpr std::uint64_t series_gap_ms = 400;

// Data centres are drained for longer than entries may take to follow the
// order. One data centre at a time is drained or cut off.
constexpr std::uint64_t data_centre_mean_gap_ms = 1000;
constexpr std::uint64_t min_drain_ms = 6500;
constexpr std::uint64_t max_drain_ms = 8500;
constexpr std::uint64_t engine_restart_ms = 200;

constexpr std::uint64_t engine_mean_gap_ms = 600;

constexpr std::array store_path_faults{ fault_kind::pause_entry,
                                        fault_kind::delay_store,
                                        fault_kind::reset_store,
                                        fault_kind::cut_store_one_way,
                                        fault_kind::silence_store };

} // namespace

std::string_view
name_of(fault_kind k) noexcept
{
  constexpr std::array<std::string_view, fault_kind_count> names{
    "kill_entry",          "stop_entry",        "pause_entry",
    "reload_entry",        "kill_all",          "delay_store",
    "reset_store",         "cut_store_one_way", "silence_store",
    "delay_engine",        "reset_engine",      "cut_engine_one_way",
    "silence_engine",      "refuse_store",      "lose_answers",
    "compact_store",       "drain_data_centre", "cut_data_centre",
    "restart_engine_cold", "load_weights",      "abort_streams",
    "fail_resumed_runs",   "relist_engine",
  };
  return names.at(static_cast<std::size_t>(k));
}

namespace {

constexpr auto data_centre_faults =
  static_cast<std::size_t>(fault_kind::drain_data_centre);
constexpr auto engine_faults =
  static_cast<std::size_t>(fault_kind::load_weights);

// Has its own random numbers, so that the other faults of a seed don't depend
// on the faults of data centres.
std::vector<fault>
plan_for_data_centres(const plan_options& o)
{
  constexpr std::uint64_t stream = 0xda7a;
  std::mt19937_64 random{ o.seed ^ stream };
  const auto random_between = [&](std::uint64_t from, std::uint64_t to) {
    return from + random() % (to - from);
  };
  std::vector<fault> plan;
  auto at = first_fault_ms;
  while (at < o.length_ms) {
    fault f;
    f.kind = static_cast<fault_kind>(
      random_between(data_centre_faults, engine_faults));
    f.at_ms = at;
    at += random_between(0, 2 * data_centre_mean_gap_ms);
    if (f.kind == fault_kind::restart_engine_cold) {
      f.target = random() % o.engines;
      f.duration_ms = engine_restart_ms;
    } else {
      f.target = random() % data_centre_count;
      f.duration_ms = f.kind == fault_kind::drain_data_centre
                        ? random_between(min_drain_ms, max_drain_ms)
                        : random_between(min_duration_ms, max_duration_ms);
      at += f.duration_ms;
    }
    plan.push_back(f);
  }
  return plan;
}

// Has its own random numbers too. The faults of one kind overlap on several
// engines, as all load weights that are published.
std::vector<fault>
plan_for_engines(const plan_options& o)
{
  constexpr std::uint64_t stream = 0xe9e;
  std::mt19937_64 random{ o.seed ^ stream };
  const auto random_between = [&](std::uint64_t from, std::uint64_t to) {
    return from + random() % (to - from);
  };
  std::vector<fault> plan;
  for (auto at = first_fault_ms; at < o.length_ms;
       at += random_between(0, 2 * engine_mean_gap_ms)) {
    fault f;
    f.kind =
      static_cast<fault_kind>(random_between(engine_faults, fault_kind_count));
    f.target = random() % o.engines;
    f.at_ms = at;
    f.duration_ms = random_between(min_duration_ms, max_duration_ms);
    plan.push_back(f);
  }
  return plan;
}

} // namespace

std::vector<fault>
make_plan(const plan_options& o)
{
  if (o.only_data_centres) {
    return plan_for_data_centres(o);
  }
  if (o.only_engines) {
    return plan_for_engines(o);
  }
  std::mt19937_64 random{ o.seed };
  const auto random_below = [&](std::uint64_t n) { return random() % n; };
  const auto random_fraction = [&] {
    constexpr double resolution = 1000;
    return static_cast<double>(random_below(1000)) / resolution;
  };
  const auto mean_gap =
    o.only_store_paths ? store_path_mean_gap_ms : mean_gap_ms;
  std::vector<fault> plan;
  auto at = first_fault_ms;
  while (at < o.length_ms) {
    fault f;
    f.kind = o.only_store_paths
               ? store_path_faults.at(random_below(store_path_faults.size()))
               : static_cast<fault_kind>(random_below(data_centre_faults));
    const bool is_engine_fault = f.kind >= fault_kind::delay_engine &&
                                 f.kind <= fault_kind::silence_engine;
    const auto targets = is_engine_fault ? o.engines : o.entries;
    // Half of these faults affect the first relay, which reads from the store
    // for all entries.
    const bool is_first_relay = o.only_store_paths && random_below(2) == 0;
    f.target = is_first_relay ? 0 : random_below(targets);
    f.duration_ms =
      min_duration_ms + random_below(max_duration_ms - min_duration_ms);
    const auto repetitions =
      random_fraction() < series_probability ? 2 + random_below(3) : 1;
    for (std::uint64_t n = 0; n < repetitions && at < o.length_ms; ++n) {
      f.at_ms = at;
      f.target = (f.target + n) % targets;
      plan.push_back(f);
      at += n + 1 < repetitions ? series_gap_ms : 0;
    }
    at += random_below(2 * mean_gap);
  }
  if (!o.only_store_paths) {
    for (const auto& more : { plan_for_data_centres(o), plan_for_engines(o) }) {
      plan.insert(plan.end(), more.begin(), more.end());
    }
    std::stable_sort(
      plan.begin(), plan.end(), [](const fault& a, const fault& b) {
        return a.at_ms < b.at_ms;
      });
  }
  return plan;
}

} // namespace cactusford::soak
