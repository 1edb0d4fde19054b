#include "cactusford/calls/key_ownership.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::calls {

namespace {

using configuration::home_member;
using membership::weight_of;

constexpr std::uint32_t retry_ms = 100;

const home_member*
member_of(const key_ownership& state, const std::string& name)
{
  const auto found = std::find_if(state.map.members.begin(),
                                  state.map.members.end(),
                                  [&](auto& m) { return m.instance == name; });
  return found == state.map.members.end() ? nullptr : &*found;
}

// Returns the present member that owned the key before this home joined, unless
// a former member did. Members that joined with this home or after it never
// owned the key.
const home_member*
previous_home(const key_ownership& state, std::string_view key)
{
  const home_member* best = nullptr;
  std::uint64_t weight = 0;
  const auto* self_member = member_of(state, state.self);
  for (const auto& m : state.map.members) {
    const auto member_weight = weight_of(m.instance, key);
    const bool was_earlier =
      self_member != nullptr && m.since_ms < self_member->since_ms;
    if (was_earlier && (best == nullptr || member_weight > weight)) {
      best = &m;
      weight = member_weight;
    }
  }
  return best;
}

struct possible_owner
{
  // Member name or incarnation id, as in `pending_handovers`.
  std::string instance;
  // Lower bound of the ownership time when the instance cannot be reached.
  std::uint64_t until_ms = 0;
};

// Returns the instances that may have run the key before this home owned it:
// former members with a higher weight and, when this home joined later, the
// owner until then.
std::vector<possible_owner>
possible_owners(const key_ownership& state, std::string_view key)
{
  std::vector<possible_owner> found;
  const auto* self_member = member_of(state, state.self);
  const auto* previous = previous_home(state, key);
  const auto own_weight = weight_of(state.self, key);
  const auto since = self_member == nullptr ? 0 : self_member->since_ms;
  for (const auto& f : state.map.former) {
    const auto member_weight = weight_of(f.instance, key);
    // A former member with a lower weight may have owned the key until this
    // home joined, unless it has handed over since. The members of that time
    // are no longer known, so a former member of any weight counts.
    const bool has_handed_over = state.completed_handovers.contains(
      incarnation_id(f.instance, f.incarnation));
    if (member_weight >= own_weight || (since > 0 && !has_handed_over)) {
      found.push_back(
        { incarnation_id(f.instance, f.incarnation), f.until_ms });
    }
  }
  if (previous != nullptr) {
    found.push_back({ previous->instance, since });
  }
  return found;
}

// True when enough other members use this map that `absent` cannot get an older
// map confirmed.
bool
has_takeover_quorum(const key_ownership& state,
                    const std::string& absent,
                    const std::vector<std::string>& peers)
{
  const auto known =
    std::count_if(peers.begin(), peers.end(), [&](const auto& p) {
      const bool self = p == state.self;
      return p != absent && (self || (member_of(state, p) != nullptr &&
                                      !state.pending_handovers.contains(p)));
    });
  return static_cast<std::size_t>(known) >= takeover_quorum(peers.size() + 1);
}

// Returns the members that joined before this one.
std::vector<std::string>
earlier_members(const key_ownership& state, const std::string& absent)
{
  std::vector<std::string> names;
  const auto* self_member = member_of(state, state.self);
  for (const auto& m : state.map.members) {
    if (self_member != nullptr && m.since_ms < self_member->since_ms &&
        m.instance != absent) {
      names.push_back(m.instance);
    }
  }
  return names;
}

void
record_quorums(key_ownership& state, std::uint64_t wall_ms)
{
  for (const auto& f : state.map.former) {
    const auto id = incarnation_id(f.instance, f.incarnation);
    if (state.pending_handovers.contains(id) &&
        has_takeover_quorum(state, f.instance, f.peers)) {
      state.quorum_wall_ms.emplace(id, wall_ms);
    }
  }
  for (const auto& m : state.map.members) {
    if (state.pending_handovers.contains(m.instance) &&
        has_takeover_quorum(
          state, m.instance, earlier_members(state, m.instance))) {
      state.quorum_wall_ms.emplace(m.instance, wall_ms);
    }
  }
}

} // namespace

std::string
incarnation_id(const std::string& instance, std::uint64_t incarnation)
{
  return instance + "#" + std::to_string(incarnation);
}

std::size_t
confirm_quorum(std::size_t members)
{
  return std::max<std::size_t>(members / 2 + 1, 2);
}

std::size_t
takeover_quorum(std::size_t members)
{
  const auto confirm = confirm_quorum(members);
  return members + 1 > confirm ? members + 1 - confirm : 0;
}

void
adopt(key_ownership& state,
      const configuration::home_map& map,
      std::uint64_t version,
      std::uint64_t wall_ms,
      std::uint64_t steady_ms)
{
  if (version <= state.map_version) {
    return;
  }
  state.map = map;
  state.map_version = version;
  state.pending_handovers.clear();
  if (member_of(state, state.self) == nullptr) {
    state.completed_handovers.clear();
  }
  state.handover_floors.clear();
  state.adopted_steady_ms = steady_ms;
  state.ever_confirmed = false;
  for (const auto& m : map.members) {
    if (m.instance != state.self) {
      state.pending_handovers.insert(m.instance);
    }
  }
  for (const auto& f : map.former) {
    state.pending_handovers.insert(incarnation_id(f.instance, f.incarnation));
  }
  state.quorum_wall_ms.clear();
  record_quorums(state, wall_ms);
}

void
on_handover(key_ownership& state,
            const std::string& from,
            std::uint64_t incarnation,
            std::uint64_t version,
            bool complete,
            std::uint64_t floor_ms,
            std::uint64_t wall_ms)
{
  // A sender with a newer map hands over keys by that map, and would omit keys
  // that this home owns only under the older one.
  if (version != state.map_version || !complete) {
    return;
  }
  // A process restarted under the name of a crashed one is asked like any other
  // member, but its reply does not count for the crashed incarnation. Otherwise
  // keys that the crashed incarnation had run would run again at the new home.
  const auto former = incarnation_id(from, incarnation);
  if (member_of(state, state.self) != nullptr) {
    state.completed_handovers[former] = floor_ms;
  }
  for (const auto& id : { from, former }) {
    state.pending_handovers.erase(id);
    state.handover_floors[id] = floor_ms;
  }
  record_quorums(state, wall_ms);
}

void
on_confirmed(key_ownership& state,
             std::size_t others,
             std::uint64_t asked_steady_ms)
{
  if (others + 1 >= confirm_quorum(state.map.members.size())) {
    state.confirmed_steady_ms = asked_steady_ms;
    state.ever_confirmed = true;
  }
}

// A disconnected home cannot know that its keys have moved. It stops serving
// them within the lease, and a new home that cannot reach it waits for longer
// than the lease. The quorum that confirms an old map and the quorum that
// allows a takeover share at least one member, and that member would know of
// the newer map.
bool
is_map_confirmed(const key_ownership& state,
                 std::uint64_t platform_age_ms,
                 std::uint64_t steady_ms)
{
  const bool by_majority =
    state.ever_confirmed &&
    steady_ms - state.confirmed_steady_ms < state.lease_ms;
  return platform_age_ms < state.lease_ms || by_majority;
}

key_check
check_key(const key_ownership& state,
          std::string_view key,
          std::uint64_t steady_ms)
{
  key_check check;
  check.owned_since_ms = own_floor(state);
  for (const auto& [id, floor] : state.completed_handovers) {
    check.owned_since_ms = std::max(check.owned_since_ms, floor);
  }
  const bool within_lease =
    steady_ms - state.adopted_steady_ms < state.lease_ms;
  for (const auto& s : possible_owners(state, key)) {
    if (!state.pending_handovers.contains(s.instance)) {
      const auto floor = state.handover_floors.find(s.instance);
      check.owned_since_ms =
        std::max(check.owned_since_ms,
                 floor == state.handover_floors.end() ? 0 : floor->second);
      continue;
    }
    const auto quorum = state.quorum_wall_ms.find(s.instance);
    if (within_lease || quorum == state.quorum_wall_ms.end()) {
      check.error = { error_kind::not_home,
                      s.instance + " has not handed over yet",
                      retry_ms };
      return check;
    }
    // The instance cannot be reached: the outcome of every key that it may have
    // run is unknown.
    check.owned_since_ms = std::max(
      { check.owned_since_ms, s.until_ms, quorum->second + state.lease_ms });
  }
  return check;
}

std::uint64_t
own_floor(const key_ownership& state)
{
  const auto* self_member = member_of(state, state.self);
  const bool same_process =
    self_member != nullptr && self_member->incarnation == state.incarnation_ms;
  return same_process ? 0 : state.incarnation_ms;
}

} // namespace cactusford::calls
