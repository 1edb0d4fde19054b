// Reports of ended backend servers, and whether a request may be sent. Pure:
// time is passed in, in milliseconds since 1970, as instances report to each
// other.
#pragma once

#include "cactusford/quarantine/suspicion.h"

namespace cactusford::quarantine {

// What runs differ in, as far as ends are concerned.
enum class run_kind
{
  call,
  // A generation lasts for seconds beside others on its engine.
  item,
};

struct evidence
{
  evidence_limits limits;
  reports_by_name reports;
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

enum class request_status
{
  // No backend server has ended under it that nothing else explains.
  clear,
  // Some have.
  suspected,
  // It was kept out long enough: one run at a time, in the whole deployment,
  // may show whether it still ends them.
  on_trial,
  // It is not sent to any.
  refused,
};

struct verdict
{
  request_status what = request_status::clear;
  std::uint32_t ends = 0;
  // Ends beside those that another request, or another cause, explains.
  std::uint32_t explained = 0;
  // For `refused`: when it may be tried again.
  std::uint64_t until_ms = 0;

  friend bool operator==(const verdict&, const verdict&) = default;
};

// Servers have ended under it, explained or not, and none has answered since.
// It runs once at a time at each instance, and not again after an end.
bool
has_crashes(const verdict& v) noexcept;

verdict
judge(evidence& e, const fingerprint& f, run_kind kind, std::uint64_t now_ms);

// All calls that are kept out now, with what is held against them.
std::map<fingerprint, verdict>
refused_calls(evidence& e, std::uint64_t now_ms);

} // namespace cactusford::quarantine
