// The schedule of faults of one soak run, derived from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cactusford::soak {

enum class fault_kind
{
  // Signals to one entry, in this order: SIGKILL and a later restart, SIGTERM
  // and a later restart, SIGSTOP and a later SIGCONT, SIGHUP.
  kill_entry,
  stop_entry,
  pause_entry,
  reload_entry,
  // SIGKILL to all entries, and a later restart.
  kill_all,
  // Faults on the connections of one entry to the store.
  delay_store,
  reset_store,
  cut_store_one_way,
  silence_store,
  // Faults on the connections to one engine.
  delay_engine,
  reset_engine,
  cut_engine_one_way,
  silence_engine,
  // Faults of the store: it refuses all calls, loses responses of writes, or
  // compacts its history.
  refuse_store,
  lose_answers,
  compact_store,
  // Faults of a data centre: an order to drain it is given and later removed,
  // its engines can't be reached, or one of its engines restarts cold.
  drain_data_centre,
  cut_data_centre,
  restart_engine_cold,
  // Faults of one engine: it loads newer weights, aborts its streams in the
  // middle of an event, answers resumed runs with status 500 while the store
  // loses responses of writes, or its entry in the store is removed and created
  // again at once.
  load_weights,
  abort_streams,
  fail_resumed_runs,
  relist_engine,
};

constexpr std::size_t fault_kind_count = 23;

std::string_view
name_of(fault_kind k) noexcept;

struct fault
{
  fault_kind kind = fault_kind::kill_entry;
  // Index of the entry, engine or data centre, for faults that affect only one.
  std::size_t target = 0;
  std::uint64_t at_ms = 0;
  std::uint64_t duration_ms = 0;

  friend bool operator==(const fault&, const fault&) = default;
};

struct plan_options
{
  std::uint64_t seed = 1;
  std::uint64_t length_ms = 20000;
  std::size_t entries = 4;
  std::size_t engines = 3;
  // Restricts the faults to pauses of entries and to their connections to the
  // store, and makes them rarer. The other entries are undisturbed meanwhile
  // and must learn of changes in time.
  bool only_store_paths = false;
  // Restricts the faults to those of data centres, so that all entries are
  // undisturbed and each request to a drained data centre is checked.
  bool only_data_centres = false;
  // Restricts the faults to those of engines that fail items midway, change
  // their weights and their entries.
  bool only_engines = false;
};

constexpr std::size_t data_centre_count = 3;

// Returns the faults in the order of their start. Some come in series, and they
// overlap.
std::vector<fault>
make_plan(const plan_options& o);

} // namespace cactusford::soak
