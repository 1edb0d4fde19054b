// Checks the promises of the service on the event logs of all processes. Pure.
// The rules stand in docs/HISTORY.md.
#pragma once

#include "cactusford/timeline/event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusford::timeline {

struct promise_result
{
  std::string promise;
  std::uint64_t checked = 0;
  std::vector<std::string> violations;
};

struct history_limits
{
  // Longest time from an accepted configuration to its being in force.
  std::uint64_t max_propagation_ms = 8000;
  // Longest time in which a leaving backend server may still get work.
  std::uint64_t leaving_ms = 3000;
};

// All `*.log` files below the folder, merged into one order. Lines that are
// not events are passed over.
std::vector<record>
read_logs(const std::string& folder);

// Cause before effect: by timestamp, then by process.
void
sort_records(std::vector<record>& records);

// One result for each of the nine promises, in the order of the brief.
std::vector<promise_result>
check_history(const std::vector<record>& records, const history_limits& l);

// "promise=NAME checked=N violations=N".
std::string
to_string(const promise_result& r);

// Longest time from accepted to in force on a process that was up throughout,
// in milliseconds.
std::uint64_t
longest_propagation_ms(const std::vector<record>& records);

} // namespace cactusford::timeline
