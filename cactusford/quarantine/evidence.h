// Which requests end the backend servers that run them. Pure: time is passed
// in, in milliseconds since 1970, as instances report to each other.
//
// A backend server that ends takes all requests down that it runs, and it may
// end for a cause of its own: one end says little of one request. Three ends
// under the same request, without an answer in between, do: a call lasts some
// ten milliseconds, so that ends for other causes meet the same one three times
// in a row in practice only when it runs beside the guilty one. Then the guilty
// one has as many ends or more, and what it explains is not counted against
// others.
#pragma once

#include "cactusford/quarantine/fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::quarantine {

// One life of a backend server that has ended, and what an instance was running
// there.
struct ended_life
{
  std::string backend;
  std::uint64_t started_ms = 0;
  std::vector<fingerprint> ran;

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

  friend bool operator==(const report&, const report&) = default;
};

// What runs differ in, as far as ends are concerned.
enum class run_kind
{
  call,
  // A generation lasts for seconds beside others on its engine.
  item,
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
  // How long such a request is kept out. A new release of the service takes
  // minutes or more; each trial before it may cost a server with all that runs
  // there.
  std::uint64_t refuse_ms = 600000;
  // Lives that end within this time of each other, some with the request and
  // some without, may have a cause in common, such as a rack: they count as one
  // end. A report gathers for up to 200 ms, and clocks are near.
  std::uint64_t moment_ms = 250;
  // Reports older than this count no more. Until then one more end is enough.
  std::uint64_t remember_ms = 3600000;
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
  std::uint64_t last_end_ms = 0;
  // Another one shares most of them: either may be the guilty one.
  bool contested = false;

  friend bool operator==(const suspicion&, const suspicion&) = default;
};

struct evidence
{
  evidence_limits limits;
  std::map<std::string, report> reports;
  // Derived from the reports, when they have changed.
  std::map<fingerprint, suspicion> suspicions;
  bool changed = false;

  friend bool operator==(const evidence&, const evidence&) = default;
};

// A report under its name; the same name again replaces it.
void
take(evidence& e, const std::string& name, report r);

void
drop(evidence& e, const std::string& name);

// Drops what is too old to count. Returns its names.
std::vector<std::string>
expire(evidence& e, std::uint64_t now_ms);

enum class standing
{
  // No backend server has ended under it.
  clear,
  // Some have. It is run, but not twice at a time.
  suspected,
  // It is not sent to any.
  refused,
};

std::string_view
name_of(standing s) noexcept;

struct verdict
{
  standing what = standing::clear;
  std::uint32_t ends = 0;
  // For `refused`: when it may be tried again.
  std::uint64_t until_ms = 0;

  friend bool operator==(const verdict&, const verdict&) = default;
};

verdict
judge(evidence& e, const fingerprint& f, run_kind kind, std::uint64_t now_ms);

// All calls that are kept out now, with what is held against them.
std::map<fingerprint, verdict>
refused_calls(evidence& e, std::uint64_t now_ms);

} // namespace cactusford::quarantine
