// The faults of one soak run, drawn from its seed. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cactusford::soak {

enum class fault_kind
{
  // Signals to an entry: SIGKILL and a start later, SIGTERM and a start,
  // SIGSTOP and SIGCONT, SIGHUP.
  kill_entry,
  stop_entry,
  pause_entry,
  reload_entry,
  // SIGKILL to all entries.
  kill_all,
  // The connections of an entry to the store.
  delay_store,
  reset_store,
  cut_store_one_way,
  silence_store,
  // The connections to an engine.
  delay_engine,
  reset_engine,
  cut_engine_one_way,
  silence_engine,
  // The store itself: refuses all, loses answers, forgets its history.
  refuse_store,
  lose_answers,
  compact_store,
};

constexpr std::size_t fault_kinds = 16;

std::string_view
name_of(fault_kind k) noexcept;

struct fault
{
  fault_kind kind = fault_kind::kill_entry;
  // Which entry or engine, where it concerns one.
  std::size_t target = 0;
  std::uint64_t at_ms = 0;
  std::uint64_t for_ms = 0;

  friend bool operator==(const fault&, const fault&) = default;
};

struct plan_options
{
  std::uint64_t seed = 1;
  std::uint64_t length_ms = 20000;
  std::size_t entries = 4;
  std::size_t engines = 3;
  // Only pauses of entries and harm on their paths to the store, and fewer: the
  // others are calm meanwhile, and must learn changes in time.
  bool only_store_paths = false;
};

// In the order of their beginning. They come in series and overlap.
std::vector<fault>
make_plan(const plan_options& o);

} // namespace cactusford::soak
