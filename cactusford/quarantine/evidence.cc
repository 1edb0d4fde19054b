#include "cactusford/quarantine/evidence.h"

#include <algorithm>

namespace cactusford::quarantine {

namespace {

void
refresh(evidence& e)
{
  if (e.changed) {
    e.changed = false;
    e.suspicions = derive(e.reports, e.limits);
  }
}

std::uint32_t
ends_in_all(const suspicion& s)
{
  return s.ends + s.explained + s.beside_idle;
}

// Its ends are enough to keep it out.
bool
is_enough(const evidence_limits& l, const suspicion& s, run_kind kind)
{
  const bool is_item = kind == run_kind::item;
  const auto alone = s.contested ? l.ends_when_contested : l.ends;
  if (is_item) {
    return s.ends >= std::max(alone, l.ends_of_item) ||
           ends_in_all(s) >= l.ends_in_all_of_item;
  }
  return s.ends >= alone || s.ends + s.explained >= l.ends_beside_others ||
         ends_in_all(s) >= l.ends_in_all;
}

} // namespace

void
take(evidence& e, const std::string& name, report r)
{
  e.reports[name] = std::move(r);
  e.changed = true;
  if (e.reports.size() > e.limits.reports) {
    const auto oldest = std::min_element(
      e.reports.begin(), e.reports.end(), [](const auto& a, const auto& b) {
        return a.second.at_ms < b.second.at_ms;
      });
    e.reports.erase(oldest);
  }
}

void
drop(evidence& e, const std::string& name)
{
  e.changed = e.reports.erase(name) > 0 || e.changed;
}

std::vector<std::string>
expire(evidence& e, std::uint64_t now_ms)
{
  std::vector<std::string> gone;
  for (const auto& [name, r] : e.reports) {
    if (r.at_ms + e.limits.remember_ms < now_ms) {
      gone.push_back(name);
    }
  }
  for (const auto& name : gone) {
    drop(e, name);
  }
  return gone;
}

bool
has_crashes(const verdict& v) noexcept
{
  return v.ends + v.explained > 0;
}

verdict
judge(evidence& e, const fingerprint& f, run_kind kind, std::uint64_t now_ms)
{
  refresh(e);
  const auto found = e.suspicions.find(f);
  if (found == e.suspicions.end()) {
    return {};
  }
  const auto& s = found->second;
  const auto explained = s.explained + s.beside_idle;
  if (!is_enough(e.limits, s, kind)) {
    const auto what =
      s.ends > 0 ? request_status::suspected : request_status::clear;
    return { what, s.ends, explained, 0 };
  }
  const auto until = s.last_end_ms + e.limits.refuse_ms;
  const bool tried = s.last_trial_ms > s.last_end_ms;
  const auto trial_until = tried ? s.last_trial_ms + e.limits.trial_ms : 0;
  if (now_ms < std::max(until, trial_until)) {
    return { request_status::quarantined,
             s.ends,
             explained,
             std::max(until, trial_until) };
  }
  return { request_status::on_trial, s.ends, explained, 0 };
}

std::map<fingerprint, verdict>
refused_calls(evidence& e, std::uint64_t now_ms)
{
  refresh(e);
  std::map<fingerprint, verdict> refused;
  for (const auto& [work, s] : e.suspicions) {
    const auto v = judge(e, work, run_kind::call, now_ms);
    if (v.what == request_status::quarantined) {
      refused[work] = v;
    }
  }
  return refused;
}

} // namespace cactusford::quarantine
