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

// Returns true if crashes with an idle peer are no evidence against the
// request: a server answered it before, none of its crashes hit a single
// server, and idle servers also fail without it. A poison request has no
// answer, and one that a release made poisonous has no such failures while it
// does not run, or crashes a single server.
bool
is_beside_failures(const evidence_limits& l, const suspicion& s)
{
  return s.was_answered && s.with_idle_peer > 0 && s.lone == 0 &&
         s.crashes + s.explained < l.crashes &&
         s.crashes + s.explained + s.with_idle_peer <
           l.total_crashes_beside_failures &&
         2 * s.failures_without >= s.with_idle_peer;
}

std::uint32_t
total_crashes(const evidence_limits& l, const suspicion& s)
{
  const auto with_idle_peer = is_beside_failures(l, s) ? 0 : s.with_idle_peer;
  return s.crashes + s.explained + with_idle_peer;
}

// Returns false if an idle server crashed together with each of the request's
// servers: whatever took them down, it was no request. From the limit for all
// crashes on, trials confirm that.
bool
may_need_trial(const evidence_limits& l, const suspicion& s)
{
  return s.crashes + s.explained > 0 ||
         (is_beside_failures(l, s) && s.with_idle_peer >= l.total_crashes);
}

// Returns true if the request has enough crashes to be quarantined.
bool
reaches_limit(const evidence_limits& l, const suspicion& s)
{
  const auto alone = s.contested ? l.crashes_when_contested : l.crashes;
  return s.crashes >= alone ||
         s.crashes + s.explained >= l.crashes_with_others ||
         total_crashes(l, s) >= l.total_crashes;
}

bool
has_used_trials(const evidence_limits& l, const suspicion& s)
{
  const auto lost = is_beside_failures(l, s) ? s.lost_trials : 0;
  return may_need_trial(l, s) && s.trials - lost >= l.max_trials;
}

// Returns true if the request may have crashed as many servers as it is allowed
// to, but it is not settled that it did. Runs of its own settle it, and only
// one instance at a time makes such a run: instances that each sent the request
// before they knew of the other's crash took down more servers than allowed.
bool
needs_trial(const evidence_limits& l, const suspicion& s)
{
  if (s.observed < l.crashes || !may_need_trial(l, s) ||
      has_used_trials(l, s)) {
    return false;
  }
  // A rack that failed during the last run has settled nothing.
  const bool is_last_valid =
    !s.is_last_with_idle_peer || total_crashes(l, s) >= l.total_crashes;
  const bool is_settled =
    is_last_valid && s.trials >= static_cast<std::uint32_t>(s.cause);
  return !is_settled || !reaches_limit(l, s);
}

bool
is_trial_running(const evidence_limits& l,
                 const suspicion& s,
                 std::uint64_t now_ms)
{
  return s.last_trial_ms > s.last_crash_ms &&
         now_ms < s.last_trial_ms + l.trial_ms;
}

std::uint64_t
doubled(std::uint64_t pause_ms, std::uint32_t times, std::uint64_t max_ms)
{
  constexpr std::uint32_t max_doublings = 10;
  return std::min(pause_ms << std::min(times, max_doublings), max_ms);
}

// Returns when an item may run again. Engines that crash one after another for
// causes of their own get a growing pause in which to recover.
std::uint64_t
item_pause_end_ms(const evidence_limits& l,
                  const suspicion& s,
                  std::uint64_t now_ms)
{
  // A time ahead of this instance's clock is that of another instance.
  if (s.observed < l.crashes_of_item || s.last_crash_ms > now_ms) {
    return 0;
  }
  const auto excess = s.observed - l.crashes_of_item;
  return s.last_crash_ms +
         doubled(l.item_pause_ms, excess, l.max_item_pause_ms);
}

// Returns when the next trial of a scorer's call may start. The pause lets a
// series of unrelated crashes end before the trials are used up.
std::uint64_t
scorer_pause_end_ms(const evidence_limits& l, const suspicion& s)
{
  return s.last_crash_ms +
         doubled(l.scorer_pause_ms, s.trials, l.quarantine_ms);
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
  decision d;
  d.crashes = s.crashes;
  d.explained = s.explained + s.with_idle_peer;
  d.last_crash_ms = s.last_crash_ms;
  d.trials = s.trials;
  if (kind == run_kind::item) {
    const auto until = item_pause_end_ms(e.limits, s, now_ms);
    const bool is_paused = now_ms < until;
    d.until_ms = is_paused ? until : 0;
    d.status = is_paused       ? request_status::paused
               : s.crashes > 0 ? request_status::suspected
                               : request_status::clear;
    return d;
  }
  const bool is_running = is_trial_running(e.limits, s, now_ms);
  const bool has_trial_left = kind == run_kind::scorer_call &&
                              reaches_limit(e.limits, s) &&
                              !has_used_trials(e.limits, s);
  if (needs_trial(e.limits, s) || has_trial_left) {
    const auto until = kind == run_kind::scorer_call && !is_running
                         ? scorer_pause_end_ms(e.limits, s)
                         : 0;
    const bool is_paused = now_ms < until && s.last_crash_ms <= now_ms;
    d.until_ms = is_paused ? until : 0;
    d.status = is_paused    ? request_status::quarantined
               : is_running ? request_status::awaiting_trial
                            : request_status::on_trial;
    return d;
  }
  if (!reaches_limit(e.limits, s) && !has_used_trials(e.limits, s)) {
    d.status =
      s.crashes > 0 ? request_status::suspected : request_status::clear;
    return d;
  }
  const auto until = s.last_crash_ms + e.limits.quarantine_ms;
  const auto trial_until = is_running ? s.last_trial_ms + e.limits.trial_ms : 0;
  const auto until_ms = std::max(until, trial_until);
  const bool is_over = now_ms >= until_ms;
  d.status = is_over ? request_status::on_trial : request_status::quarantined;
  d.until_ms = is_over ? 0 : until_ms;
  return d;
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
