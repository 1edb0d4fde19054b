// What reports of ended backend servers say against each request. Pure.
//
// A backend server that ends takes all requests down that it runs, and it may
// end for a cause of its own: one end says little of one request. Three ends
// under the same request, without an answer in between, do: a call lasts some
// ten milliseconds, so that ends for other causes meet the same one three times
// in a row in practice only when it runs beside the poisonous one. Then the
// poisonous one has as many ends or more, and what it explains is not counted
// against others.
#pragma once

#include "cactusford/quarantine/fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::quarantine {

// One life of a backend server that has ended, and what an instance was running
// there: nothing, when it was found to have ended beside another.
struct ended_life
{
  std::string backend;
  std::uint64_t started_ms = 0;
  std::vector<fingerprint> ran;
  // When it was seen; 0: with the rest of the report.
  std::uint64_t at_ms = 0;

  friend bool operator==(const ended_life&, const ended_life&) = default;
};

// What one instance has seen.
struct report
{
  std::string reporter;
  std::uint64_t at_ms = 0;
  std::vector<ended_life> ended;
  // Requests that a backend server has answered by then, and so doesn't end of.
  std::vector<fingerprint> answered;
  // The request that the reporter tries again now; empty: none.
  fingerprint trial = {};

  friend bool operator==(const report&, const report&) = default;
};

struct evidence_limits
{
  // The promise allows three ends, and three more while instances hear of each
  // other. A request that shares most of its ends with another needs one end
  // more to tell them apart.
  std::uint32_t ends = 3;
  std::uint32_t ends_when_contested = 4;
  // An item runs for a second or more: engines that crash by turns meet the
  // same one far more often than a call. Its one owner sees all of its ends at
  // once, so that five come well before any other instance could add one.
  std::uint32_t ends_of_item = 5;
  // Ends that another request or cause explains say less, and yet not nothing:
  // a request under which so many servers have ended, without one answer, is
  // kept out whatever else ran there. Several poisonous requests that come
  // together would otherwise explain each other's ends for ever. The promise
  // allows six; of two instances that send it at the same time both count.
  std::uint32_t ends_beside_others = 4;
  std::uint32_t ends_in_all = 6;
  std::uint32_t ends_in_all_of_item = 10;
  // How long such a request is kept out. A new release of the service takes
  // minutes or more; each trial before it may cost a server with all that runs
  // there.
  std::uint64_t refuse_ms = 600000;
  // A life that ends within this time of one that ended idle ended for the same
  // cause. An idle one is found by a look that begins when an end is seen, and
  // clocks are near.
  std::uint64_t moment_ms = 60;
  // Lives that end this close, some with the request and some without, ended
  // for one cause: as far as clocks and reports tell, at the same instant.
  std::uint64_t instant_ms = 20;
  // Reports older than this count no more. Until then one more end is enough.
  std::uint64_t remember_ms = 3600000;
  // A run that tries it again has ended within this time, or is given up.
  std::uint64_t trial_ms = 10000;
  // Reports held: a rack of forty servers that ends under eleven hundred
  // entries leaves about as many. Some 300 bytes each.
  std::size_t reports = 2000;

  friend bool operator==(const evidence_limits&,
                         const evidence_limits&) = default;
};

// What is held against one request.
struct suspicion
{
  // Lives that ended under it, less those that another request explains.
  std::uint32_t ends = 0;
  // Those that another request explains, and those that an idle server explains
  // which ended beside.
  std::uint32_t explained = 0;
  std::uint32_t beside_idle = 0;
  std::uint64_t last_end_ms = 0;
  // Another one shares most of them: either may be the poisonous one.
  bool contested = false;
  std::uint64_t last_trial_ms = 0;

  friend bool operator==(const suspicion&, const suspicion&) = default;
};

using reports_by_name = std::map<std::string, report>;

std::map<fingerprint, suspicion>
derive(const reports_by_name& reports, const evidence_limits& limits);

} // namespace cactusford::quarantine
