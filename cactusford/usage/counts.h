// How many requests of each workspace began to run in each window of time.
// Pure.
//
// Each entry counts its own, and tells the instance that holds the duty of
// reporting them. It tells the whole count of every window that is still open,
// so that a message that comes twice, late or to a new holder adds nothing.
#pragma once

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cactusford::usage {

// Requests by workspace.
using counts = std::map<std::string, std::uint64_t>;

// Counts by the number of the window: window k begins k times its length after
// the start of 1970.
using windows = std::map<std::uint64_t, counts>;

// Windows kept: two minutes of five seconds each. What waits longer for the
// platform is given up.
constexpr std::size_t most_windows = 24;

// A request of the workspace began to run in that window. Drops the oldest
// window when there are too many; returns its number, or nothing.
std::optional<std::uint64_t>
note(windows& w, std::uint64_t number, const std::string& workspace);

// Drops all windows up to this one.
void
close_until(windows& w, std::uint64_t number);

// What one life of an instance has counted.
struct told_counts
{
  std::string instance;
  // When its process started: the counts of each life are its own.
  std::uint64_t started_ms = 0;
  windows open;

  friend bool operator==(const told_counts&, const told_counts&) = default;
};

nlohmann::json
encode(const told_counts& t);

store::decoded<told_counts>
told_counts_from(const nlohmann::json& j);

nlohmann::json
encode(const counts& c);

store::decoded<counts>
counts_from(const nlohmann::json& j);

// What the holder has heard from all.
struct collection
{
  std::map<std::string, std::map<std::uint64_t, windows>> by_instance;

  friend bool operator==(const collection&, const collection&) = default;
};

// A count never falls while its window is open: the larger one holds.
void
take(collection& c, const told_counts& t);

counts
sum(const collection& c, std::uint64_t number);

void
close_until(collection& c, std::uint64_t number);

} // namespace cactusford::usage
