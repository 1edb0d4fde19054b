#include "cactusford/backends/reach_evidence.h"

#include "cactusford/backends/eligibility.h"

#include <algorithm>
#include <vector>

namespace cactusford::backends {

namespace {

// A connect time-out that fires later than this was held up by this process,
// which may not have read the answer yet.
constexpr std::uint64_t max_timer_delay_ms = 200;

// A check takes 250 ms, and failures count together for 400 ms.
constexpr std::uint64_t doubt_ms = 100;

std::size_t
servers_of(const registry& r, std::string_view data_centre)
{
  return static_cast<std::size_t>(
    std::count_if(r.all.begin(), r.all.end(), [&](const auto& e) {
      return e.second.info.data_centre == data_centre;
    }));
}

// Nothing is sent to the servers of a drained data centre, not even a
// connection.
template<typename Predicate>
const backend*
choose_server(const registry& r,
              std::string_view data_centre,
              double random,
              Predicate may_use)
{
  if (data_centres::is_drained(r.topology.drains, data_centre)) {
    return nullptr;
  }
  std::vector<const backend*> all;
  for (const auto& [id, b] : r.all) {
    if (b.info.data_centre == data_centre && !b.info.leaving && may_use(b)) {
      all.push_back(&b);
    }
  }
  if (all.empty()) {
    return nullptr;
  }
  const auto count = static_cast<double>(all.size());
  return all[static_cast<std::size_t>(random * count) % all.size()];
}

} // namespace

bool
note_reached(registry& r, const backend& b, std::uint64_t now_ms)
{
  auto& reach = r.topology.reach;
  data_centres::note_answer(reach, b.info.data_centre, now_ms);
  return !reach.changes.empty();
}

// A server that leaves closes its connections on its way out.
bool
note_silent(registry& r,
            const backend& b,
            std::uint64_t since_ms,
            std::uint64_t now_ms)
{
  auto& reach = r.topology.reach;
  if (!reach.is_enabled || b.info.leaving) {
    return false;
  }
  data_centres::note_silence(reach,
                             b.info.data_centre,
                             { b.info.id, since_ms, now_ms },
                             servers_of(r, b.info.data_centre));
  return !reach.changes.empty();
}

bool
note_not_connected(registry& r,
                   const backend& b,
                   const failed_connect& f,
                   std::uint64_t now_ms)
{
  const auto took_ms = now_ms > f.started_ms ? now_ms - f.started_ms : 0;
  if (took_ms < f.timeout_ms) {
    data_centres::note_refusal(r.topology.reach, b.info.data_centre, b.info.id);
    return false;
  }
  return took_ms <= f.timeout_ms + max_timer_delay_ms &&
         note_silent(r, b, f.started_ms, now_ms);
}

bool
is_stranded(const registry& r, const backend& b, std::uint64_t last_event_ms)
{
  return data_centres::is_stranded(
    r.topology.reach, b.info.data_centre, last_event_ms);
}

bool
is_cut_off(const registry& r, std::uint64_t now_ms)
{
  const auto& reach = r.topology.reach;
  if (data_centres::count_unreachable(reach) == 0) {
    return false;
  }
  return std::none_of(r.all.begin(), r.all.end(), [&](const auto& e) {
    const auto& data_centre = e.second.info.data_centre;
    return data_centre != reach.own &&
           data_centres::is_reachable(reach, data_centre, now_ms);
  });
}

bool
is_beyond_reach(const registry& r,
                std::string_view service,
                const data_centres::home_regions& homes,
                std::uint64_t now_ms)
{
  if (data_centres::count_unreachable(r.topology.reach) == 0) {
    return false;
  }
  bool has_unreachable = false;
  for (const auto& [id, b] : r.all) {
    if (b.info.service != service) {
      continue;
    }
    const auto state = eligibility_of(r, b, homes, now_ms);
    has_unreachable = has_unreachable || state == eligibility::unreachable;
    if (state == eligibility::eligible || state == eligibility::warming_up ||
        state == eligibility::returning) {
      return false;
    }
  }
  return has_unreachable;
}

std::vector<std::string>
doubtful_data_centres(const registry& r, std::uint64_t now_ms)
{
  std::vector<std::string> all;
  for (const auto& [name, c] : r.topology.reach.all) {
    if (!c.is_unreachable && !c.silent.empty() &&
        now_ms <= c.silent.back().at_ms + doubt_ms) {
      all.push_back(name);
    }
  }
  return all;
}

const backend*
choose_for_check(const registry& r, std::string_view data_centre, double random)
{
  const auto found = r.topology.reach.all.find(data_centre);
  if (found == r.topology.reach.all.end()) {
    return nullptr;
  }
  const auto& silent = found->second.silent;
  return choose_server(r, data_centre, random, [&](const backend& b) {
    return std::none_of(silent.begin(), silent.end(), [&](const auto& s) {
      return s.server == b.info.id;
    });
  });
}

const backend*
choose_for_probe(const registry& r, std::string_view data_centre, double random)
{
  return choose_server(
    r, data_centre, random, [](const backend&) { return true; });
}

} // namespace cactusford::backends
