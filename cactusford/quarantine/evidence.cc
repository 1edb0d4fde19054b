#include "cactusford/quarantine/evidence.h"

#include <algorithm>

namespace cactusford::quarantine {

namespace {

void
refresh(evidence& e)
{
  if (e.changed) {
    e.changed = false;
    e.suspicions = derive_suspicions(e.reports, e.limits);
  }
}

std::uint32_t
total_crashes(const suspicion& s)
{
  return s.crashes + s.explained + s.with_idle_peer;
}

// Returns true if the request has enough crashes to be quarantined.
bool
reaches_limit(const evidence_limits& l, const suspicion& s, run_kind kind)
{
  const bool is_item = kind == run_kind::item;
  const auto alone = s.contested ? l.crashes_when_contested : l.crashes;
  if (is_item) {
    return s.crashes >= std::max(alone, l.crashes_of_item) ||
           total_crashes(s) >= l.total_crashes_of_item;
  }
  return s.crashes >= alone ||
         s.crashes + s.explained >= l.crashes_with_others ||
         total_crashes(s) >= l.total_crashes;
}

} // namespace

void
add_report(evidence& e, const std::string& name, report r)
{
  e.reports[name] = std::move(r);
  e.changed = true;
  if (e.reports.size() > e.limits.max_reports) {
    const auto oldest = std::min_element(
      e.reports.begin(), e.reports.end(), [](const auto& a, const auto& b) {
        return a.second.at_ms < b.second.at_ms;
      });
    e.reports.erase(oldest);
  }
}

void
remove_report(evidence& e, const std::string& name)
{
  e.changed = e.reports.erase(name) > 0 || e.changed;
}

std::vector<std::string>
expire_reports(evidence& e, std::uint64_t now_ms)
{
  std::vector<std::string> expired;
  for (const auto& [name, r] : e.reports) {
    if (r.at_ms + e.limits.retention_ms < now_ms) {
      expired.push_back(name);
    }
  }
  for (const auto& name : expired) {
    remove_report(e, name);
  }
  return expired;
}

bool
has_crashes(const decision& v) noexcept
{
  return v.crashes + v.explained > 0;
}

decision
evaluate(evidence& e, const fingerprint& f, run_kind kind, std::uint64_t now_ms)
{
  refresh(e);
  const auto found = e.suspicions.find(f);
  if (found == e.suspicions.end()) {
    return {};
  }
  const auto& s = found->second;
  const auto explained = s.explained + s.with_idle_peer;
  if (!reaches_limit(e.limits, s, kind)) {
    const auto status =
      s.crashes > 0 ? request_status::suspected : request_status::clear;
    return { status, s.crashes, explained, 0 };
  }
  const auto until = s.last_crash_ms + e.limits.quarantine_ms;
  const bool tried = s.last_trial_ms > s.last_crash_ms;
  const auto trial_until = tried ? s.last_trial_ms + e.limits.trial_ms : 0;
  if (now_ms < std::max(until, trial_until)) {
    return { request_status::quarantined,
             s.crashes,
             explained,
             std::max(until, trial_until) };
  }
  return { request_status::on_trial, s.crashes, explained, 0 };
}

std::map<fingerprint, decision>
quarantined_calls(evidence& e, std::uint64_t now_ms)
{
  refresh(e);
  std::map<fingerprint, decision> refused;
  for (const auto& [work, s] : e.suspicions) {
    const auto v = evaluate(e, work, run_kind::call, now_ms);
    if (v.status == request_status::quarantined) {
      refused[work] = v;
    }
  }
  return refused;
}

} // namespace cactusford::quarantine
