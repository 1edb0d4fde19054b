// Checks in the event logs of all processes whether the service kept its
// guarantees, which the output calls promises. Pure functions; docs/HISTORY.md
// has the rules.
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
  // Maximum time from accepting a configuration until it is in force on a
  // process.
  std::uint64_t max_propagation_ms = 8000;
  // Maximum time during which a leaving backend server may still receive calls.
  std::uint64_t leaving_ms = 3000;
};

// Reads all `*.log` files below the folder and sorts their events. Lines that
// are not events are skipped.
std::vector<record>
read_logs(const std::string& folder);

// Sorts by timestamp, then by process, so that a cause precedes its effect.
void
sort_records(std::vector<record>& records);

// Returns one result for each of the nine promises, always in the same order.
std::vector<promise_result>
check_history(const std::vector<record>& records, const history_limits& l);

// Formats as "promise=NAME checked=N violations=N".
std::string
to_string(const promise_result& r);

// Returns the longest time in milliseconds from accepting a configuration until
// it was in force on a process. Only counts processes that were up all along.
std::uint64_t
longest_propagation_ms(const std::vector<record>& records);

} // namespace cactusford::timeline
