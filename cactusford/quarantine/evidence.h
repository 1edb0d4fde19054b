// Collects reports of backend server crashes and decides whether a request may
// be sent. Free of side effects: the current time is a parameter, in Unix
// milliseconds, because instances exchange their timestamps.
#pragma once

#include "cactusford/quarantine/suspicion.h"

namespace cactusford::quarantine {

// Kinds of runs that differ in what crashes mean for a request.
enum class run_kind
{
  call,
  // The scorer's call for an item. Its item stays incomplete without an answer,
  // so it is tried again after a pause as long as trials are left.
  scorer_call,
  // A generation: it runs for seconds next to others on the same engine. Its
  // trainer is owed the result, so it is delayed after crashes, never refused.
  item,
};

struct evidence
{
  evidence_limits limits;
  reports_by_name reports;
  // Derived from `reports`; recomputed on access when `changed` is set.
  std::map<fingerprint, suspicion> suspicions;
  bool changed = false;

  friend bool operator==(const evidence&, const evidence&) = default;
};

// Adds a report. A report of the same name is replaced.
void
add_report(evidence& e, const std::string& name, report r);

void
remove_report(evidence& e, const std::string& name);

// Removes reports older than the retention time and returns their names.
std::vector<std::string>
expire_reports(evidence& e, std::uint64_t now_ms);

enum class request_status
{
  // No crash is attributed to the request.
  clear,
  // Crashes are attributed to the request, but too few to quarantine it.
  suspected,
  // One run at a time in the whole deployment shows whether the request crashes
  // servers: its crashes may have another cause, or its quarantine has expired.
  on_trial,
  // Such a run is under way, and its outcome decides.
  awaiting_trial,
  // The request is not sent to any backend server.
  quarantined,
  // An item that runs again after a pause.
  paused,
};

struct decision
{
  request_status status = request_status::clear;
  std::uint32_t crashes = 0;
  // Further crashes, which are attributed to another request or cause.
  std::uint32_t explained = 0;
  // For `quarantined` and `paused`: when the request may be tried again.
  std::uint64_t until_ms = 0;
  // The evidence that a trial would add to. Instances that decide on the same
  // evidence compete for the same trial.
  std::uint64_t last_crash_ms = 0;
  std::uint32_t trials = 0;

  friend bool operator==(const decision&, const decision&) = default;
};

// Returns true if servers crashed while they ran the request, whatever the
// cause, and none has answered it since. Each instance then runs it one at a
// time and does not retry it after a crash.
bool
has_crashes(const decision& v) noexcept;

decision
evaluate(evidence& e,
         const fingerprint& f,
         run_kind kind,
         std::uint64_t now_ms);

// Returns all calls that are quarantined now, with the decision on each.
std::map<fingerprint, decision>
quarantined_calls(evidence& e, std::uint64_t now_ms);

} // namespace cactusford::quarantine
