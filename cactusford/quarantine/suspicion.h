// Attributes reported backend server crashes to requests. Free of side effects.
//
// A crash takes down all requests that run on the server and may have another
// cause, so a single crash says little about one request. Three crashes in a
// row without a successful response are sufficient evidence: a call lasts some
// ten milliseconds, so unrelated crashes hit the same call three times in a row
// in practice only if it runs next to a poison request.
//
// In that case the poison request has at least as many crashes, and the crashes
// attributed to it are not counted against other requests.
#pragma once

#include "cactusford/quarantine/fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::quarantine {

// A crash of one incarnation of a backend server, and the requests of the
// reporting instance that were running there. `running` is empty if the
// instance found the server crashed after another server of the service had
// crashed.
struct crash
{
  std::string backend;
  std::uint64_t started_ms = 0;
  std::vector<fingerprint> running;
  // When the crash was detected; 0 means the time of the report.
  std::uint64_t at_ms = 0;

  friend bool operator==(const crash&, const crash&) = default;
};

// Observations of one instance.
struct report
{
  std::string reporter;
  std::uint64_t at_ms = 0;
  std::vector<crash> crashes;
  // Requests that a backend server had answered by `at_ms`, which clears them
  // of earlier crashes.
  std::vector<fingerprint> answered;
  // The request of which the reporter runs a trial, or empty.
  fingerprint trial = {};

  friend bool operator==(const report&, const report&) = default;
};

struct evidence_limits
{
  // The service promises at most three crashes by one request, plus three while
  // reports reach the other instances. A request that shares most of its
  // crashes with another one needs one more crash to tell the two apart.
  std::uint32_t crashes = 3;
  std::uint32_t crashes_when_contested = 4;
  // From this number of observed crashes on, an item waits before its next run.
  // It runs for a second or more, so engines that crash one after another hit
  // the same item far more often than the same call.
  std::uint32_t crashes_of_item = 5;
  // Limits that include crashes attributed to another request or cause. Such
  // crashes are weaker evidence, but after this many without a response the
  // request is quarantined whatever else was running. Otherwise several poison
  // requests that arrive together would exonerate each other forever. The
  // promise allows six crashes; if two instances send the request at the same
  // time, both crashes count.
  std::uint32_t crashes_with_others = 4;
  std::uint32_t total_crashes = 6;
  // The pause doubles with each further crash.
  std::uint64_t item_pause_ms = 500;
  std::uint64_t max_item_pause_ms = 2000;
  // Pause before the first trial of a scorer's call; it doubles with each
  // trial.
  std::uint64_t scorer_pause_ms = 2000;
  // Limit for a call that a server has answered before and whose other crashes
  // all happened in repeated failures of several servers. It bounds the crashes
  // by a call that a release made poisonous and that takes idle servers down.
  std::uint32_t total_crashes_beside_failures = 9;
  // How long a request stays quarantined. A release that fixes the service
  // takes minutes or more, and each earlier trial may crash a server with all
  // requests that it runs.
  std::uint64_t quarantine_ms = 600000;
  // A crash within this time of the crash of an idle server has the same cause.
  // Crashed idle servers are found by probes that start when a crash is
  // detected, and the clocks of the instances are close.
  std::uint64_t idle_crash_window_ms = 60;
  // If servers crash within this time of each other, some with the request and
  // some without, the crashes have one cause: as far as clocks and reports can
  // tell, they are simultaneous.
  std::uint64_t same_cause_window_ms = 20;
  // Older reports are ignored. Until a report expires, one more crash is enough
  // to quarantine the request again.
  std::uint64_t retention_ms = 3600000;
  // A trial run has ended within this time or is abandoned.
  std::uint64_t trial_ms = 10000;
  // Trials without a response after which a call is quarantined whatever else
  // was running. The promise allows three runs after the third crash.
  std::uint32_t max_trials = 3;
  // Maximum number of reports held, of some 300 bytes each. The crash of a rack
  // of forty servers under 1,100 entries causes about this many.
  std::size_t max_reports = 2000;

  friend bool operator==(const evidence_limits&,
                         const evidence_limits&) = default;
};

// What else may have caused most crashes of a request. The value is the number
// of trials that settle it.
enum class other_cause : std::uint32_t
{
  // Nothing else ran on the server.
  none = 0,
  // Other requests ran on the server.
  other_request = 1,
  // Servers without the request crashed at the same time.
  other_server = 2,
};

// Evidence against one request.
struct suspicion
{
  // Crashes while the request ran, less those attributed to another request.
  std::uint32_t crashes = 0;
  // Crashes attributed to another request, and crashes that coincide with the
  // crash of an idle server.
  std::uint32_t explained = 0;
  std::uint32_t with_idle_peer = 0;
  // Crashes without an idle peer during which no other server crashed.
  std::uint32_t lone = 0;
  // Crashes of idle servers at other times than the request's own crashes,
  // between its first and its last one. Simultaneous ones count once.
  std::uint32_t failures_without = 0;
  // All crashes while the request ran. Simultaneous ones, which count once
  // above, count separately.
  std::uint32_t observed = 0;
  std::uint64_t last_crash_ms = 0;
  bool is_last_with_idle_peer = false;
  // Another request shares most of the crashes, so either may be the poison
  // one.
  bool contested = false;
  other_cause cause = other_cause::none;
  // Trial runs since the request was last answered, and the time of the last.
  std::uint32_t trials = 0;
  std::uint64_t last_trial_ms = 0;
  // Those of the trials that ended in a crash together with an idle server.
  std::uint32_t lost_trials = 0;
  // A server answered the request before these crashes.
  bool was_answered = false;

  friend bool operator==(const suspicion&, const suspicion&) = default;
};

using reports_by_name = std::map<std::string, report>;

std::map<fingerprint, suspicion>
derive_suspicions(const reports_by_name& reports,
                  const evidence_limits& limits);

} // namespace cactusford::quarantine
