// Counts the requests of each workspace that started to run in each time
// window. Pure functions.
//
// Each entry counts its own requests and sends the counts to the instance that
// holds the duty of reporting them. It sends the total of every window that is
// still open, so that a message that arrives twice, late or at a new holder
// changes nothing.
#pragma once

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cactusford::usage {

// Number of requests by workspace.
using counts = std::map<std::string, std::uint64_t>;

// Counts by window number. Window k begins k window lengths after the Unix
// epoch.
using windows = std::map<std::uint64_t, counts>;

// Maximum number of windows kept: two minutes of five seconds each. Older
// windows that still wait for the platform are dropped.
constexpr std::size_t max_windows = 24;

// Counts a request of the workspace that started to run in that window. Drops
// the oldest window if there are too many and returns its number.
std::optional<std::uint64_t>
count_run(windows& w, std::uint64_t number, const std::string& workspace);

// Drops all windows up to and including this one.
void
drop_through(windows& w, std::uint64_t number);

// The counts of one incarnation of an instance.
struct instance_counts
{
  std::string instance;
  // Start time of the process: each incarnation counts from zero.
  std::uint64_t started_ms = 0;
  windows open;

  friend bool operator==(const instance_counts&,
                         const instance_counts&) = default;
};

nlohmann::json
encode(const instance_counts& t);

store::decoded<instance_counts>
instance_counts_from(const nlohmann::json& j);

nlohmann::json
encode(const counts& c);

store::decoded<counts>
counts_from(const nlohmann::json& j);

// The counts that the holder has received from all instances.
struct received_counts
{
  std::map<std::string, std::map<std::uint64_t, windows>> by_instance;

  friend bool operator==(const received_counts&,
                         const received_counts&) = default;
};

// Keeps the larger value of each count: a count never decreases while its
// window is open.
void
merge(received_counts& c, const instance_counts& t);

counts
sum(const received_counts& c, std::uint64_t number);

void
drop_through(received_counts& c, std::uint64_t number);

} // namespace cactusford::usage
