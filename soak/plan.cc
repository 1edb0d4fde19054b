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
    "kill_entry",     "stop_entry",   "pause_entry",  "reload_entry",
    "kill_all",       "delay_store",  "reset_store",  "cut_store_one_way",
    "silence_store",  "delay_engine", "reset_engine", "cut_engine_one_way",
    "silence_engine", "refuse_store", "lose_answers", "compact_store",
  };
  return names.at(static_cast<std::size_t>(k));
}

std::vector<fault>
make_plan(const plan_options& o)
{
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
               : static_cast<fault_kind>(random_below(fault_kind_count));
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
  return plan;
}

} // namespace cactusford::soak
