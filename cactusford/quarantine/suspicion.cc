#include "cactusford/quarantine/suspicion.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace cactusford::quarantine {

namespace {

using life = std::pair<std::string, std::uint64_t>;

struct seen_end
{
  std::uint64_t at_ms = 0;
  // Together with an idle server.
  bool is_beside_idle = false;
  // Who ran it there.
  std::string reporter;
};

// A request and the lives that ended under it.
using ends_by_work = std::map<fingerprint, std::map<life, seen_end>>;

std::uint64_t
time_of(const ended_life& l, const report& r)
{
  return l.at_ms != 0 ? l.at_ms : r.at_ms;
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

// When lives ended under which nobody ran anything: no request ended them.
std::set<std::uint64_t>
times_of_idle_ends(const reports_by_name& reports)
{
  std::map<life, std::uint64_t> idle;
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      idle.emplace(life{ l.backend, l.started_ms }, time_of(l, r));
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

// A life that several instances report has ended once.
ends_by_work
ends_without_answer(const reports_by_name& reports, std::uint64_t moment_ms)
{
  const auto answers = last_answers(reports);
  const auto idle = times_of_idle_ends(reports);
  ends_by_work ends;
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      const life ended{ l.backend, l.started_ms };
      const auto seen_ms = time_of(l, r);
      const bool beside_idle = is_near(idle, seen_ms, moment_ms);
      for (const auto& f : l.ran) {
        const auto answered = answers.find(f);
        if (answered == answers.end() || seen_ms > answered->second) {
          auto& end = ends[f][ended];
          end.at_ms = std::max(end.at_ms, seen_ms);
          end.is_beside_idle = end.is_beside_idle || beside_idle;
          end.reporter = r.reporter;
        }
      }
    }
  }
  return ends;
}

// A life that ended, and all that instances were running there.
struct reported_end
{
  life of;
  std::uint64_t at_ms = 0;
  std::set<fingerprint> ran;
};

using ends_by_time = std::multimap<std::uint64_t, reported_end>;

// All lives that were reported, also of requests that have been answered since.
ends_by_time
by_time(const reports_by_name& reports)
{
  std::map<life, reported_end> ends;
  for (const auto& [name, r] : reports) {
    for (const auto& l : r.ended) {
      auto& e = ends[{ l.backend, l.started_ms }];
      e.of = { l.backend, l.started_ms };
      e.at_ms = std::max(e.at_ms, time_of(l, r));
      e.ran.insert(l.ran.begin(), l.ran.end());
    }
  }
  ends_by_time sorted;
  for (auto& [l, e] : ends) {
    sorted.emplace(e.at_ms, std::move(e));
  }
  return sorted;
}

enum class company
{
  // Nothing but this request ran where lives ended in that instant.
  none,
  // Others ran beside it.
  beside,
  // Some life ended without it.
  apart,
};

company
company_of(const ends_by_time& all,
           const fingerprint& work,
           std::uint64_t at_ms,
           std::uint64_t instant_ms)
{
  auto found = company::none;
  const auto from = at_ms > instant_ms ? at_ms - instant_ms : 0;
  const auto end = all.upper_bound(at_ms + instant_ms);
  for (auto e = all.lower_bound(from); e != end; ++e) {
    const auto& ran = e->second.ran;
    if (!ran.contains(work)) {
      return company::apart;
    }
    found = ran.size() > 1 ? company::beside : found;
  }
  return found;
}

// A rack takes a request, its second attempt and its repeats at other instances
// down together, and each server of it would count: what ended in one instant
// counts once. One instance that sent it from server to server has seen an end
// each time, however fast they came.
std::set<life>
separate_ends(const fingerprint& work,
              const std::map<life, seen_end>& own,
              const ends_by_time& all,
              std::uint64_t instant_ms)
{
  std::multimap<std::uint64_t, life> sorted;
  for (const auto& [l, end] : own) {
    sorted.emplace(end.at_ms, l);
  }
  std::set<life> separate;
  std::uint64_t last_ms = 0;
  std::string_view last_reporter;
  for (const auto& [at, l] : sorted) {
    const auto& reporter = own.at(l).reporter;
    const bool is_same_instant =
      !separate.empty() && at <= last_ms + instant_ms;
    const auto with = company_of(all, work, at, instant_ms);
    const bool is_counted =
      is_same_instant &&
      (with == company::apart ||
       (with == company::beside && reporter != last_reporter));
    if (!is_counted) {
      separate.insert(l);
      last_ms = at;
      last_reporter = reporter;
    }
  }
  return separate;
}

struct candidate
{
  fingerprint work;
  const std::map<life, seen_end>* ends = nullptr;
  // Lives that ended under it: beside no idle server, beside one, and those
  // that no other request explains.
  std::size_t beside_none = 0;
  std::size_t beside_idle = 0;
  std::set<life> own;
  bool is_settled = false;
};

candidate
candidate_of(const fingerprint& work,
             const std::map<life, seen_end>& lives,
             const ends_by_time& sorted,
             const evidence_limits& limits)
{
  candidate c;
  c.work = work;
  c.ends = &lives;
  c.own = separate_ends(work, lives, sorted, limits.instant_ms);
  // When all servers of a service go down again and again, the same healthy
  // request is there several times, and nothing is answered in between that
  // would clear it.
  c.beside_idle = std::erase_if(
    c.own, [&](const life& l) { return lives.at(l).is_beside_idle; });
  c.beside_none = c.own.size();
  return c;
}

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
  s.explained = static_cast<std::uint32_t>(c.beside_none - c.own.size());
  s.beside_idle = static_cast<std::uint32_t>(c.beside_idle);
  for (const auto& [ended, end] : *c.ends) {
    s.last_end_ms = std::max(s.last_end_ms, end.at_ms);
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
// taken for the poisonous one.
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
    all.push_back(candidate_of(work, lives, sorted, limits));
  }
  std::map<fingerprint, suspicion> suspicions;
  blame(all, limits, suspicions);
  for (const auto& c : all) {
    if (!c.is_settled) {
      suspicions[c.work] = suspicion_of(c);
    }
  }
  note_trials(reports, suspicions);
  return suspicions;
}

} // namespace cactusford::quarantine
