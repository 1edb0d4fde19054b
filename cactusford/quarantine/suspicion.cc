#include "cactusford/quarantine/suspicion.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace cactusford::quarantine {

namespace {

using incarnation = std::pair<std::string, std::uint64_t>;

struct observed_crash
{
  std::uint64_t at_ms = 0;
  // An idle server crashed at about the same time.
  bool is_with_idle_peer = false;
  // The instance that sent the request to the server.
  std::string reporter;
};

// For each request, the incarnations that crashed while they ran it.
using crashes_by_request =
  std::map<fingerprint, std::map<incarnation, observed_crash>>;

std::uint64_t
time_of(const crash& c, const report& r)
{
  return c.at_ms != 0 ? c.at_ms : r.at_ms;
}

std::map<fingerprint, std::uint64_t>
last_answers(const reports_by_name& reports)
{
  std::map<fingerprint, std::uint64_t> last;
  for (const auto& [name, r] : reports) {
    for (const auto& f : r.answered) {
      auto& at = last[f];
      at = std::max(at, r.at_ms);
    }
  }
  return last;
}

// Returns the crash times of servers on which no instance ran anything. These
// crashes were not caused by a request.
std::set<std::uint64_t>
idle_crash_times(const reports_by_name& reports)
{
  std::map<incarnation, std::uint64_t> idle;
  for (const auto& [name, r] : reports) {
    for (const auto& c : r.crashes) {
      idle.emplace(incarnation{ c.backend, c.started_ms }, time_of(c, r));
    }
  }
  for (const auto& [name, r] : reports) {
    for (const auto& c : r.crashes) {
      if (!c.running.empty()) {
        idle.erase({ c.backend, c.started_ms });
      }
    }
  }
  std::set<std::uint64_t> times;
  for (const auto& [of, at] : idle) {
    times.insert(at);
  }
  return times;
}

bool
has_time_near(const std::set<std::uint64_t>& times,
              std::uint64_t at_ms,
              std::uint64_t window_ms)
{
  const auto from = at_ms > window_ms ? at_ms - window_ms : 0;
  const auto next = times.lower_bound(from);
  return next != times.end() && *next <= at_ms + window_ms;
}

// Counts the failures between the first and the last of the given crashes that
// coincide with none of them.
std::uint32_t
failures_without(const std::set<std::uint64_t>& idle,
                 const std::map<incarnation, observed_crash>& own,
                 std::uint64_t window_ms)
{
  std::set<std::uint64_t> own_times;
  for (const auto& [of, observed] : own) {
    own_times.insert(observed.at_ms);
  }
  std::uint32_t count = 0;
  std::uint64_t last_ms = 0;
  const auto end = idle.upper_bound(*own_times.rbegin());
  for (auto at = idle.lower_bound(*own_times.begin()); at != end; ++at) {
    const bool is_counted = count > 0 && *at <= last_ms + window_ms;
    if (!is_counted && !has_time_near(own_times, *at, window_ms)) {
      ++count;
      last_ms = *at;
    }
  }
  return count;
}

// Collects the crashes that each request has had since it was last answered. A
// crash that several instances report counts once.
crashes_by_request
crashes_since_answer(const reports_by_name& reports, std::uint64_t window_ms)
{
  const auto answers = last_answers(reports);
  const auto idle = idle_crash_times(reports);
  crashes_by_request crashes;
  for (const auto& [name, r] : reports) {
    for (const auto& c : r.crashes) {
      const incarnation of{ c.backend, c.started_ms };
      const auto detected_ms = time_of(c, r);
      const bool with_idle_peer = has_time_near(idle, detected_ms, window_ms);
      for (const auto& f : c.running) {
        const auto answered = answers.find(f);
        if (answered == answers.end() || detected_ms > answered->second) {
          auto& observed = crashes[f][of];
          observed.at_ms = std::max(observed.at_ms, detected_ms);
          observed.is_with_idle_peer =
            observed.is_with_idle_peer || with_idle_peer;
          observed.reporter = r.reporter;
        }
      }
    }
  }
  return crashes;
}

// A crash with everything that all instances were running on the server.
struct reported_crash
{
  incarnation of;
  std::uint64_t at_ms = 0;
  std::set<fingerprint> running;
};

using crashes_by_time = std::multimap<std::uint64_t, reported_crash>;

// Returns all reported crashes, including those of requests that have been
// answered since.
crashes_by_time
sort_by_time(const reports_by_name& reports)
{
  std::map<incarnation, reported_crash> crashes;
  for (const auto& [name, r] : reports) {
    for (const auto& c : r.crashes) {
      auto& e = crashes[{ c.backend, c.started_ms }];
      e.of = { c.backend, c.started_ms };
      e.at_ms = std::max(e.at_ms, time_of(c, r));
      e.running.insert(c.running.begin(), c.running.end());
    }
  }
  crashes_by_time sorted;
  for (auto& [of, e] : crashes) {
    sorted.emplace(e.at_ms, std::move(e));
  }
  return sorted;
}

// What ran on the servers that crashed at the same time.
enum class simultaneous_crashes
{
  // Only the given request ran on them.
  only_this_request,
  // The given request ran on all of them, next to others on at least one.
  with_others,
  // At least one of them did not run the given request.
  without_request,
};

simultaneous_crashes
classify_simultaneous(const crashes_by_time& all,
                      const fingerprint& request,
                      std::uint64_t at_ms,
                      std::uint64_t window_ms)
{
  auto found = simultaneous_crashes::only_this_request;
  const auto from = at_ms > window_ms ? at_ms - window_ms : 0;
  const auto end = all.upper_bound(at_ms + window_ms);
  for (auto e = all.lower_bound(from); e != end; ++e) {
    const auto& running = e->second.running;
    if (!running.contains(request)) {
      return simultaneous_crashes::without_request;
    }
    found = running.size() > 1 ? simultaneous_crashes::with_others : found;
  }
  return found;
}

// Returns the crashes that count separately. When a rack fails, it may take
// down a request, its second attempt and its repeats at other instances on
// several servers at once, so simultaneous crashes count once. Crashes seen by
// a single instance that sent the request from server to server each count,
// however fast they follow each other, unless another server crashed at the
// same time without the request. Those that several instances see count once
// even if nothing else ran there: a small service may run only this request
// when all its servers fail.
std::set<incarnation>
independent_crashes(const fingerprint& request,
                    const std::map<incarnation, observed_crash>& own,
                    const crashes_by_time& all,
                    std::uint64_t window_ms)
{
  std::multimap<std::uint64_t, incarnation> sorted;
  for (const auto& [of, observed] : own) {
    sorted.emplace(observed.at_ms, of);
  }
  std::set<incarnation> independent;
  std::uint64_t last_ms = 0;
  std::string_view last_reporter;
  for (const auto& [at, of] : sorted) {
    const auto& reporter = own.at(of).reporter;
    const bool is_same_instant =
      !independent.empty() && at <= last_ms + window_ms;
    const auto others = classify_simultaneous(all, request, at, window_ms);
    const bool is_already_counted =
      is_same_instant && (others == simultaneous_crashes::without_request ||
                          reporter != last_reporter);
    if (!is_already_counted) {
      independent.insert(of);
      last_ms = at;
      last_reporter = reporter;
    }
  }
  return independent;
}

bool
has_other_crash(const crashes_by_time& all,
                const incarnation& of,
                std::uint64_t at_ms,
                std::uint64_t window_ms)
{
  const auto from = at_ms > window_ms ? at_ms - window_ms : 0;
  return std::any_of(all.lower_bound(from),
                     all.upper_bound(at_ms + window_ms),
                     [&](const auto& each) { return each.second.of != of; });
}

std::uint32_t
count_lone(const std::map<incarnation, observed_crash>& own,
           const crashes_by_time& all,
           std::uint64_t window_ms)
{
  const auto lone = std::count_if(own.begin(), own.end(), [&](const auto& c) {
    return !c.second.is_with_idle_peer &&
           !has_other_crash(all, c.first, c.second.at_ms, window_ms);
  });
  return static_cast<std::uint32_t>(lone);
}

struct candidate
{
  fingerprint request;
  const std::map<incarnation, observed_crash>* crashes = nullptr;
  // Independent crashes of the request: without and with the simultaneous crash
  // of an idle server, and those of the former that are not attributed to
  // another request.
  std::size_t without_idle_peer = 0;
  std::size_t with_idle_peer = 0;
  std::set<incarnation> own;
  std::uint32_t lone = 0;
  std::uint32_t failures_without = 0;
  other_cause cause = other_cause::none;
  bool is_decided = false;
};

other_cause
cause_of(simultaneous_crashes crashes)
{
  switch (crashes) {
    case simultaneous_crashes::only_this_request:
      return other_cause::none;
    case simultaneous_crashes::with_others:
      return other_cause::other_request;
    case simultaneous_crashes::without_request:
      return other_cause::other_server;
  }
  return other_cause::none;
}

// The median over the crashes: a single one that seems to leave no doubt is
// common when a rack fails after a poison request has taken down most of it.
other_cause
cause_of(const candidate& c,
         const crashes_by_time& all,
         std::uint64_t window_ms)
{
  std::vector<other_cause> causes;
  for (const auto& i : c.own) {
    const auto at = c.crashes->at(i).at_ms;
    causes.push_back(
      cause_of(classify_simultaneous(all, c.request, at, window_ms)));
  }
  if (causes.empty()) {
    return other_cause::none;
  }
  const auto middle =
    causes.begin() + static_cast<long>((causes.size() - 1) / 2);
  std::nth_element(causes.begin(), middle, causes.end());
  return *middle;
}

candidate
candidate_of(const fingerprint& request,
             const std::map<incarnation, observed_crash>& crashes,
             const crashes_by_time& sorted,
             const std::set<std::uint64_t>& idle,
             const evidence_limits& limits)
{
  candidate c;
  c.request = request;
  c.crashes = &crashes;
  c.own =
    independent_crashes(request, crashes, sorted, limits.same_cause_window_ms);
  // If all servers of a service crash together repeatedly, the same healthy
  // request may be running each time without a response in between that would
  // clear it. Such crashes are counted apart.
  c.with_idle_peer = std::erase_if(c.own, [&](const incarnation& i) {
    return crashes.at(i).is_with_idle_peer;
  });
  c.without_idle_peer = c.own.size();
  c.lone = count_lone(crashes, sorted, limits.same_cause_window_ms);
  c.failures_without =
    failures_without(idle, crashes, limits.idle_crash_window_ms);
  c.cause = cause_of(c, sorted, limits.same_cause_window_ms);
  return c;
}

std::size_t
shared_crashes(const candidate& a, const candidate& b)
{
  const auto shared =
    std::count_if(a.own.begin(), a.own.end(), [&](const incarnation& i) {
      return b.own.contains(i);
    });
  return static_cast<std::size_t>(shared);
}

std::size_t
max_own(const std::vector<candidate>& all)
{
  std::size_t max = 0;
  for (const auto& c : all) {
    max = c.is_decided ? max : std::max(max, c.own.size());
  }
  return max;
}

suspicion
suspicion_of(const candidate& c)
{
  suspicion s;
  s.crashes = static_cast<std::uint32_t>(c.own.size());
  s.explained = static_cast<std::uint32_t>(c.without_idle_peer - c.own.size());
  s.with_idle_peer = static_cast<std::uint32_t>(c.with_idle_peer);
  s.lone = c.lone;
  s.failures_without = c.failures_without;
  s.observed = static_cast<std::uint32_t>(c.crashes->size());
  s.cause = c.cause;
  for (const auto& [of, observed] : *c.crashes) {
    if (observed.at_ms >= s.last_crash_ms) {
      s.last_crash_ms = observed.at_ms;
      s.is_last_with_idle_peer = observed.is_with_idle_peer;
    }
  }
  return s;
}

bool
is_contested(const candidate& c,
             const std::vector<candidate>& all,
             const evidence_limits& limits)
{
  return std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return &other != &c && shared_crashes(c, other) + 1 >= limits.crashes;
  });
}

// Attributes crashes to the requests with the most crashes first; only the
// remaining ones count against other requests. If two requests mostly ran
// together, neither takes the blame before one more crash: otherwise a healthy
// request with one additional unrelated crash would be taken for the poison
// one.
void
attribute_crashes(std::vector<candidate>& all,
                  const evidence_limits& limits,
                  std::map<fingerprint, suspicion>& out)
{
  for (auto max = max_own(all); max >= limits.crashes; max = max_own(all)) {
    std::set<incarnation> explained;
    for (auto& c : all) {
      if (c.is_decided || c.own.size() != max) {
        continue;
      }
      auto& s = out[c.request] = suspicion_of(c);
      s.contested = is_contested(c, all, limits);
      if (!s.contested || max >= limits.crashes_when_contested) {
        explained.insert(c.own.begin(), c.own.end());
      }
    }
    for (auto& c : all) {
      c.is_decided = c.is_decided || c.own.size() == max;
      if (!c.is_decided) {
        std::erase_if(
          c.own, [&](const incarnation& i) { return explained.contains(i); });
      }
    }
  }
}

// Returns true if the first crash after the start of a trial coincides with the
// crash of an idle server.
bool
is_lost(const std::map<incarnation, observed_crash>& crashes,
        std::uint64_t trial_ms)
{
  const observed_crash* first = nullptr;
  for (const auto& [of, observed] : crashes) {
    if (observed.at_ms > trial_ms &&
        (first == nullptr || observed.at_ms < first->at_ms)) {
      first = &observed;
    }
  }
  return first != nullptr && first->is_with_idle_peer;
}

void
record_trials(const reports_by_name& reports,
              const crashes_by_request& crashes,
              std::map<fingerprint, suspicion>& suspicions)
{
  const auto answers = last_answers(reports);
  for (const auto& [name, r] : reports) {
    const auto found = suspicions.find(r.trial);
    const auto answered = answers.find(r.trial);
    const bool is_answered =
      answered != answers.end() && r.at_ms <= answered->second;
    if (found != suspicions.end() && !is_answered) {
      auto& s = found->second;
      ++s.trials;
      s.lost_trials += is_lost(crashes.at(r.trial), r.at_ms) ? 1 : 0;
      s.last_trial_ms = std::max(s.last_trial_ms, r.at_ms);
    }
  }
}

} // namespace

std::map<fingerprint, suspicion>
derive_suspicions(const reports_by_name& reports, const evidence_limits& limits)
{
  const auto crashes =
    crashes_since_answer(reports, limits.idle_crash_window_ms);
  const auto sorted = sort_by_time(reports);
  const auto idle = idle_crash_times(reports);
  std::vector<candidate> all;
  for (const auto& [request, request_crashes] : crashes) {
    all.push_back(candidate_of(request, request_crashes, sorted, idle, limits));
  }
  std::map<fingerprint, suspicion> suspicions;
  attribute_crashes(all, limits, suspicions);
  for (const auto& c : all) {
    if (!c.is_decided) {
      suspicions[c.request] = suspicion_of(c);
    }
  }
  for (const auto& [request, at] : last_answers(reports)) {
    const auto found = suspicions.find(request);
    if (found != suspicions.end()) {
      found->second.was_answered = true;
    }
  }
  record_trials(reports, crashes, suspicions);
  return suspicions;
}

} // namespace cactusford::quarantine
