#include "cactusford/quarantine/evidence.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusford::quarantine {

namespace {

using life = std::pair<std::string, std::uint64_t>;

// A request and the lives that ended under it, with when.
using ends_by_work = std::map<fingerprint, std::map<life, std::uint64_t>>;

std::map<fingerprint, std::uint64_t>
last_answers(const evidence& e)
{
  std::map<fingerprint, std::uint64_t> last;
  for (const auto& [name, r] : e.reports) {
    for (const auto& f : r.answered) {
      auto& at = last[f];
      at = std::max(at, r.at_ms);
    }
  }
  return last;
}

// When each life ended, by the first that reported it.
std::map<life, std::uint64_t>
times_of_ends(const evidence& e)
{
  std::map<life, std::uint64_t> times;
  for (const auto& [name, r] : e.reports) {
    for (const auto& l : r.ended) {
      const life ended{ l.backend, l.started_ms };
      const auto known = times.emplace(ended, r.at_ms).first;
      known->second = std::min(known->second, r.at_ms);
    }
  }
  return times;
}

// A life that several instances report has ended once.
ends_by_work
ends_without_answer(const evidence& e,
                    const std::map<life, std::uint64_t>& times)
{
  const auto answers = last_answers(e);
  ends_by_work ends;
  for (const auto& [name, r] : e.reports) {
    for (const auto& l : r.ended) {
      const life ended{ l.backend, l.started_ms };
      for (const auto& f : l.ran) {
        const auto answered = answers.find(f);
        if (answered == answers.end() || r.at_ms > answered->second) {
          ends[f][ended] = times.at(ended);
        }
      }
    }
  }
  return ends;
}

struct timed_life
{
  std::uint64_t at_ms = 0;
  life of;

  friend auto operator<=>(const timed_life&, const timed_life&) = default;
};

std::set<timed_life>
by_time(const std::map<life, std::uint64_t>& times)
{
  std::set<timed_life> sorted;
  for (const auto& [l, at] : times) {
    sorted.insert({ at, l });
  }
  return sorted;
}

// Some life ended at about that time under other requests alone.
bool
others_ended_too(const std::set<timed_life>& all,
                 const std::map<life, std::uint64_t>& own,
                 std::uint64_t at_ms,
                 std::uint64_t moment_ms)
{
  const auto from = at_ms > moment_ms ? at_ms - moment_ms : 0;
  for (auto it = all.lower_bound({ from, {} });
       it != all.end() && it->at_ms <= at_ms + moment_ms;
       ++it) {
    if (!own.contains(it->of)) {
      return true;
    }
  }
  return false;
}

// A rack takes a request and its second attempt down together, and each server
// of it would count. What ended together with servers that did not run the
// request counts once.
std::set<life>
separate_ends(const std::map<life, std::uint64_t>& own,
              const std::set<timed_life>& all,
              std::uint64_t moment_ms)
{
  std::set<life> separate;
  std::uint64_t last_ms = 0;
  for (const auto& l : by_time(own)) {
    const bool is_next = separate.empty() || l.at_ms > last_ms + moment_ms ||
                         !others_ended_too(all, own, l.at_ms, moment_ms);
    if (is_next) {
      separate.insert(l.of);
      last_ms = l.at_ms;
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
  bool settled = false;
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
    most = c.settled ? most : std::max(most, c.own.size());
  }
  return most;
}

std::uint64_t
last_of(const std::map<life, std::uint64_t>& ends)
{
  std::uint64_t last = 0;
  for (const auto& [l, at] : ends) {
    last = std::max(last, at);
  }
  return last;
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
      if (c.settled || c.own.size() != most) {
        continue;
      }
      const bool contested =
        std::any_of(all.begin(), all.end(), [&](const auto& other) {
          return &other != &c && shared_lives(c, other) + 1 >= limits.ends;
        });
      out[c.work] = { static_cast<std::uint32_t>(most),
                      last_of(*c.ends),
                      contested };
      if (!contested || most >= limits.ends_when_contested) {
        explained.insert(c.own.begin(), c.own.end());
      }
    }
    for (auto& c : all) {
      const bool done = !c.settled && c.own.size() == most;
      c.settled = c.settled || done;
      if (!c.settled) {
        std::erase_if(c.own,
                      [&](const life& l) { return explained.contains(l); });
      }
    }
  }
}

void
derive(evidence& e)
{
  e.changed = false;
  e.suspicions.clear();
  const auto times = times_of_ends(e);
  const auto sorted = by_time(times);
  const auto ends = ends_without_answer(e, times);
  std::vector<candidate> all;
  for (const auto& [work, lives] : ends) {
    all.push_back({ work,
                    &lives,
                    separate_ends(lives, sorted, e.limits.moment_ms),
                    false });
  }
  blame(all, e.limits, e.suspicions);
  for (const auto& c : all) {
    if (!c.settled && !c.own.empty()) {
      e.suspicions[c.work] = { static_cast<std::uint32_t>(c.own.size()),
                               last_of(*c.ends),
                               false };
    }
  }
}

// How many ends are enough to keep it out.
std::uint32_t
enough(const evidence_limits& l, const suspicion& s, run_kind kind)
{
  const auto ends = s.contested ? l.ends_when_contested : l.ends;
  return kind == run_kind::item ? std::max(ends, l.ends_of_item) : ends;
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

std::string_view
name_of(standing s) noexcept
{
  switch (s) {
    case standing::clear:
      return "clear";
    case standing::suspected:
      return "suspected";
    case standing::refused:
      return "refused";
  }
  return "unknown";
}

verdict
judge(evidence& e, const fingerprint& f, run_kind kind, std::uint64_t now_ms)
{
  if (e.changed) {
    derive(e);
  }
  const auto found = e.suspicions.find(f);
  if (found == e.suspicions.end()) {
    return {};
  }
  const auto& s = found->second;
  const auto until = s.last_end_ms + e.limits.refuse_ms;
  const bool refused = s.ends >= enough(e.limits, s, kind) && now_ms < until;
  return { refused ? standing::refused : standing::suspected,
           s.ends,
           refused ? until : 0 };
}

std::map<fingerprint, verdict>
refused_calls(evidence& e, std::uint64_t now_ms)
{
  if (e.changed) {
    derive(e);
  }
  std::map<fingerprint, verdict> refused;
  for (const auto& [work, s] : e.suspicions) {
    const auto v = judge(e, work, run_kind::call, now_ms);
    if (v.what == standing::refused) {
      refused[work] = v;
    }
  }
  return refused;
}

} // namespace cactusford::quarantine
