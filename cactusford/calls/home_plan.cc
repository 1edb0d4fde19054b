#include "cactusford/calls/home_plan.h"

#include <algorithm>

namespace cactusford::calls {

namespace {

using configuration::home_map;

std::vector<std::string>
peers_of(const home_map& map, const std::string& instance)
{
  std::vector<std::string> peers;
  for (const auto& m : map.members) {
    if (m.instance != instance) {
      peers.push_back(m.instance);
    }
  }
  return peers;
}

bool
has_member(const home_map& map, const std::string& instance)
{
  return std::any_of(map.members.begin(),
                     map.members.end(),
                     [&](const auto& m) { return m.instance == instance; });
}

} // namespace

home_map
plan_homes(const plan_input& in)
{
  home_map next = in.current;
  // A missing member may only have lost its connections and still run its keys.
  // Until its lease has expired, no other home runs keys that it may have run.
  for (const auto& m : in.current.members) {
    if (!in.live.contains(m.instance)) {
      next.former.push_back({ m.instance,
                              m.incarnation,
                              in.now_ms + in.lease_ms,
                              peers_of(in.current, m.instance) });
    }
  }
  std::erase_if(next.members,
                [&](const auto& m) { return !in.live.contains(m.instance); });
  // The first members have no predecessors that could have run keys.
  const bool is_first_map =
    in.current.members.empty() && in.current.former.empty();
  for (const auto& [name, incarnation] : in.live) {
    if (!has_member(next, name) &&
        next.members.size() < configuration::max_home_members) {
      next.members.push_back(
        { name, is_first_map ? 0 : in.now_ms + in.lease_ms, incarnation });
    }
  }
  std::erase_if(next.former, [&](const auto& f) {
    return in.handed_over.contains({ f.instance, f.until_ms });
  });
  if (next == in.current) {
    return next;
  }
  std::erase_if(next.former, [&](const auto& f) {
    return f.until_ms + in.key_window_ms < in.now_ms;
  });
  return next;
}

} // namespace cactusford::calls
