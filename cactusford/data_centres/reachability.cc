#include "cactusford/data_centres/reachability.h"

#include <algorithm>
#include <utility>

namespace cactusford::data_centres {

namespace {

// Failures that lie farther apart are taken for failures of single servers.
constexpr std::uint64_t failure_window_ms = 400;

// Two servers can be slow or loading weights at once, and one often is.
constexpr std::size_t min_failed_servers = 2;

// When a data centre is lost, its last answer can be later than the last event
// of another stream there, by at most the time between two events of a stream:
// 40 ms usually, 90 ms on slow engines. A request that has been silent for
// longer when a server answers says nothing about the data centre.
constexpr std::uint64_t event_gap_ms = 100;

// Longer than a sender's first runs there need to show a fault, and the
// shortest time between two times at which a data centre becomes unreachable.
constexpr std::uint64_t returning_ms = 1000;

bool
is_judged(const reachability& r, std::string_view data_centre)
{
  return r.is_enabled && !data_centre.empty() && data_centre != r.own;
}

contact*
find(reachability& r, std::string_view data_centre)
{
  const auto found = r.all.find(data_centre);
  return found == r.all.end() ? nullptr : &found->second;
}

const contact*
find(const reachability& r, std::string_view data_centre)
{
  const auto found = r.all.find(data_centre);
  return found == r.all.end() ? nullptr : &found->second;
}

bool
is_returning(const contact& c, std::uint64_t now_ms)
{
  return !c.is_unreachable && c.returned_ms != 0 &&
         now_ms < c.returned_ms + returning_ms;
}

void
record(std::vector<silence>& all, const silence& s)
{
  std::erase_if(all, [&](const auto& other) {
    return other.server == s.server ||
           other.at_ms + failure_window_ms < s.at_ms;
  });
  all.push_back(s);
}

} // namespace

void
note_answer(reachability& r, std::string_view data_centre, std::uint64_t now_ms)
{
  if (!is_judged(r, data_centre)) {
    return;
  }
  auto* c = find(r, data_centre);
  if (c == nullptr) {
    c = &r.all[std::string{ data_centre }];
  }
  c->answered_ms = now_ms;
  c->silent.clear();
  if (!c->is_unreachable) {
    return;
  }
  c->is_unreachable = false;
  c->returned_ms = now_ms;
  r.changes.push_back(
    { std::string{ data_centre }, true, 0, now_ms - c->unreachable_since_ms });
}

void
note_silence(reachability& r,
             std::string_view data_centre,
             const silence& s,
             std::size_t servers)
{
  if (!is_judged(r, data_centre)) {
    return;
  }
  auto& c = r.all[std::string{ data_centre }];
  if (c.is_unreachable || s.since_ms + event_gap_ms < c.answered_ms) {
    return;
  }
  record(c.silent, s);
  const auto needed =
    std::min(min_failed_servers, std::max<std::size_t>(servers, 1));
  if (c.silent.size() < needed || is_returning(c, s.at_ms)) {
    return;
  }
  c.is_unreachable = true;
  c.suspected_ms = c.silent.front().at_ms;
  c.unreachable_since_ms = s.at_ms;
  c.next_probe_ms = s.at_ms;
  r.changes.push_back(
    { std::string{ data_centre }, false, c.silent.size(), 0 });
}

void
note_refusal(reachability& r,
             std::string_view data_centre,
             std::string_view server)
{
  if (auto* c = find(r, data_centre)) {
    std::erase_if(c->silent, [&](const auto& s) { return s.server == server; });
  }
}

contact_state
state_of(const reachability& r,
         std::string_view data_centre,
         std::uint64_t now_ms)
{
  const auto* c = find(r, data_centre);
  if (c == nullptr) {
    return contact_state::in_service;
  }
  if (c->is_unreachable) {
    return contact_state::unreachable;
  }
  return is_returning(*c, now_ms) ? contact_state::returning
                                  : contact_state::in_service;
}

bool
is_reachable(const reachability& r,
             std::string_view data_centre,
             std::uint64_t now_ms)
{
  return state_of(r, data_centre, now_ms) != contact_state::unreachable;
}

bool
may_add_run(const reachability& r,
            std::string_view data_centre,
            std::uint32_t own_runs,
            std::uint64_t now_ms)
{
  return own_runs == 0 ||
         state_of(r, data_centre, now_ms) != contact_state::returning;
}

bool
is_stranded(const reachability& r,
            std::string_view data_centre,
            std::uint64_t last_event_ms)
{
  const auto* c = find(r, data_centre);
  return c != nullptr && c->is_unreachable && last_event_ms <= c->suspected_ms;
}

std::size_t
count_unreachable(const reachability& r)
{
  return static_cast<std::size_t>(
    std::count_if(r.all.begin(), r.all.end(), [](const auto& e) {
      return e.second.is_unreachable;
    }));
}

std::vector<std::string>
take_due_probes(reachability& r, std::uint64_t now_ms)
{
  std::vector<std::string> due;
  for (auto& [name, c] : r.all) {
    if (c.is_unreachable && c.next_probe_ms <= now_ms) {
      c.next_probe_ms = now_ms + probe_interval_ms;
      due.push_back(name);
    }
  }
  return due;
}

std::optional<std::uint64_t>
next_probe_ms(const reachability& r)
{
  std::optional<std::uint64_t> next;
  for (const auto& [name, c] : r.all) {
    if (c.is_unreachable && (!next || c.next_probe_ms < *next)) {
      next = c.next_probe_ms;
    }
  }
  return next;
}

std::vector<reachability_change>
take_changes(reachability& r)
{
  return std::exchange(r.changes, {});
}

} // namespace cactusford::data_centres
