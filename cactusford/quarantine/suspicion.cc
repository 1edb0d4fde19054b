#include "cactusford/quarantine/suspicion.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusford::quarantine {

namespace {

using life = std::pair<std::string, std::uint64_t>;

// A request and the lives that ended under it, with when.
using ends_by_work = std::map<fingerprint, std::map<life, std::uint64_t>>;

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

// When lives ended under which nobody ran anything: no request ended them.
std::set<std::uint64_t>
times_of_idle_ends(const reports_by_name& reports)
{
  std::map<life, std::uint64_t> idle;
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      idle.emplace(life{ l.backend, l.started_ms }, r.at_ms);
    }
  }
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      if (!l.ran.empty()) {
        idle.erase({ l.backend, l.started_ms });
      }
    }
  }
  std::set<std::uint64_t> times;
  for (const auto& [l, at] : idle) {
    times.insert(at);
  }
  return times;
}

bool
is_near(const std::set<std::uint64_t>& times,
        std::uint64_t at_ms,
        std::uint64_t moment_ms)
{
  const auto from = at_ms > moment_ms ? at_ms - moment_ms : 0;
  const auto next = times.lower_bound(from);
  return next != times.end() && *next <= at_ms + moment_ms;
}

// A life that several instances report has ended once. What ended together with
// an idle server is held against nobody: when all servers of a service go down
// again and again, the same healthy request is there several times, and nothing
// is answered in between that would clear it.
ends_by_work
ends_without_answer(const reports_by_name& reports, std::uint64_t moment_ms)
{
  const auto answers = last_answers(reports);
  const auto idle = times_of_idle_ends(reports);
  ends_by_work ends;
  for (const auto& [name, r] : reports) {
    if (is_near(idle, r.at_ms, moment_ms)) {
      continue;
    }
    for (const auto& l : r.ended) {
      const life ended{ l.backend, l.started_ms };
      for (const auto& f : l.ran) {
        const auto answered = answers.find(f);
        if (answered == answers.end() || r.at_ms > answered->second) {
          auto& at = ends[f][ended];
          at = std::max(at, r.at_ms);
        }
      }
    }
  }
  return ends;
}

// All lives that were reported, also of requests that have been answered since.
std::multimap<std::uint64_t, life>
by_time(const reports_by_name& reports)
{
  std::map<life, std::uint64_t> times;
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      auto& at = times[{ l.backend, l.started_ms }];
      at = std::max(at, r.at_ms);
    }
  }
  std::multimap<std::uint64_t, life> sorted;
  for (const auto& [l, at] : times) {
    sorted.emplace(at, l);
  }
  return sorted;
}

// Some life ended in that instant under other requests alone.
bool
others_ended_too(const std::multimap<std::uint64_t, life>& all,
                 const std::map<life, std::uint64_t>& own,
                 std::uint64_t at_ms,
                 std::uint64_t instant_ms)
{
  const auto from = at_ms > instant_ms ? at_ms - instant_ms : 0;
  const auto end = all.upper_bound(at_ms + instant_ms);
  return std::any_of(all.lower_bound(from), end, [&](const auto& e) {
    return !own.contains(e.second);
  });
}

// A rack takes a request and its second attempt down together, and each server
// of it would count. What ended in the same instant as servers that did not run
// the request counts once.
std::set<life>
separate_ends(const std::map<life, std::uint64_t>& own,
              const std::multimap<std::uint64_t, life>& all,
              std::uint64_t instant_ms)
{
  std::multimap<std::uint64_t, life> sorted;
  for (const auto& [l, at] : own) {
    sorted.emplace(at, l);
  }
  std::set<life> separate;
  std::uint64_t last_ms = 0;
  for (const auto& [at, l] : sorted) {
    if (separate.empty() || at > last_ms + instant_ms ||
        !others_ended_too(all, own, at, instant_ms)) {
      separate.insert(l);
      last_ms = at;
    }
  }
  return separate;
}

struct candidate
{
  fingerprint work;
  const std::map<life, std::uint64_t>* ends = nullptr;
  // Lives that no other request explains.
  std::set<life> own;
  bool is_settled = false;
};

std::size_t
shared_lives(const candidate& a, const candidate& b)
{
  const auto shared =
    std::count_if(a.own.begin(), a.own.end(), [&](const life& l) {
      return b.own.contains(l);
    });
  return static_cast<std::size_t>(shared);
}

std::size_t
most_own(const std::vector<candidate>& all)
{
  std::size_t most = 0;
  for (const auto& c : all) {
    most = c.is_settled ? most : std::max(most, c.own.size());
  }
  return most;
}

suspicion
suspicion_of(const candidate& c)
{
  suspicion s;
  s.ends = static_cast<std::uint32_t>(c.own.size());
  for (const auto& [ended, at] : *c.ends) {
    s.last_end_ms = std::max(s.last_end_ms, at);
  }
  return s;
}

bool
is_contested(const candidate& c,
             const std::vector<candidate>& all,
             const evidence_limits& limits)
{
  return std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return &other != &c && shared_lives(c, other) + 1 >= limits.ends;
  });
}

// Those with the most ends are blamed for theirs, and what is left is counted
// against the others. Of two that mostly ran together neither is blamed before
// one more end has come: a bystander that died once more by chance would be
// taken for the guilty one.
void
blame(std::vector<candidate>& all,
      const evidence_limits& limits,
      std::map<fingerprint, suspicion>& out)
{
  for (auto most = most_own(all); most >= limits.ends; most = most_own(all)) {
    std::set<life> explained;
    for (auto& c : all) {
      if (c.is_settled || c.own.size() != most) {
        continue;
      }
      auto& s = out[c.work] = suspicion_of(c);
      s.contested = is_contested(c, all, limits);
      if (!s.contested || most >= limits.ends_when_contested) {
        explained.insert(c.own.begin(), c.own.end());
      }
    }
    for (auto& c : all) {
      c.is_settled = c.is_settled || c.own.size() == most;
      if (!c.is_settled) {
        std::erase_if(c.own,
                      [&](const life& l) { return explained.contains(l); });
      }
    }
  }
}

void
note_trials(const reports_by_name& reports,
            std::map<fingerprint, suspicion>& suspicions)
{
  for (const auto& [name, r] : reports) {
    const auto found = suspicions.find(r.trial);
    if (found != suspicions.end()) {
      auto& last = found->second.last_trial_ms;
      last = std::max(last, r.at_ms);
    }
  }
}

} // namespace

std::map<fingerprint, suspicion>
derive(const reports_by_name& reports, const evidence_limits& limits)
{
  const auto ends = ends_without_answer(reports, limits.moment_ms);
  const auto sorted = by_time(reports);
  std::vector<candidate> all;
  for (const auto& [work, lives] : ends) {
    all.push_back(
      { work, &lives, separate_ends(lives, sorted, limits.instant_ms), false });
  }
  std::map<fingerprint, suspicion> suspicions;
  blame(all, limits, suspicions);
  for (const auto& c : all) {
    if (!c.is_settled && !c.own.empty()) {
      suspicions[c.work] = suspicion_of(c);
    }
  }
  note_trials(reports, suspicions);
  return suspicions;
}

} // namespace cactusford::quarantine
