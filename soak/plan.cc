#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace cactusford::soak {

namespace {

// Faults begin after the first work has, this long apart on average, and most
// of them last longer than that: two or three are there at the same time.
constexpr std::uint64_t calm_ms = 1500;
constexpr std::uint64_t mean_gap_ms = 700;
constexpr std::uint64_t mean_gap_of_paths_ms = 2500;
constexpr std::uint64_t shortest_ms = 200;
constexpr std::uint64_t longest_ms = 4000;

// A series is the same fault again and again, as when a rolling restart meets
// entries that are just back.
constexpr double series_share = 0.25;
constexpr std::uint64_t series_gap_ms = 400;

constexpr std::array path_faults{ fault_kind::pause_entry,
                                  fault_kind::delay_store,
                                  fault_kind::reset_store,
                                  fault_kind::cut_store_one_way,
                                  fault_kind::silence_store };

} // namespace

std::string_view
name_of(fault_kind k) noexcept
{
  constexpr std::array<std::string_view, fault_kinds> names{
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
  const auto below = [&](std::uint64_t n) { return random() % n; };
  const auto chance = [&] {
    constexpr double parts = 1000;
    return static_cast<double>(below(1000)) / parts;
  };
  const auto mean_gap = o.only_store_paths ? mean_gap_of_paths_ms : mean_gap_ms;
  std::vector<fault> all;
  auto at = calm_ms;
  while (at < o.length_ms) {
    fault f;
    f.kind = o.only_store_paths ? path_faults.at(below(path_faults.size()))
                                : static_cast<fault_kind>(below(fault_kinds));
    const bool of_engine = f.kind >= fault_kind::delay_engine &&
                           f.kind <= fault_kind::silence_engine;
    const auto targets = of_engine ? o.engines : o.entries;
    // Half of the harm to paths meets the first relay, which asks for all.
    const bool of_first = o.only_store_paths && below(2) == 0;
    f.target = of_first ? 0 : below(targets);
    f.for_ms = shortest_ms + below(longest_ms - shortest_ms);
    const auto times = chance() < series_share ? 2 + below(3) : 1;
    for (std::uint64_t n = 0; n < times && at < o.length_ms; ++n) {
      f.at_ms = at;
      f.target = (f.target + n) % targets;
      all.push_back(f);
      at += n + 1 < times ? series_gap_ms : 0;
    }
    at += below(2 * mean_gap);
  }
  return all;
}

} // namespace cactusford::soak
