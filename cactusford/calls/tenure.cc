#include "cactusford/calls/tenure.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::calls {

namespace {

using configuration::home_member;
using membership::weight_of;

constexpr std::uint32_t retry_ms = 100;

const home_member*
member_of(const tenure& t, const std::string& name)
{
  const auto found = std::find_if(t.map.members.begin(),
                                  t.map.members.end(),
                                  [&](auto& m) { return m.instance == name; });
  return found == t.map.members.end() ? nullptr : &*found;
}

// The present member that had the key before this one joined, unless it was a
// former one. Members that joined with or after it never had the key.
const home_member*
elder_home(const tenure& t, std::string_view key)
{
  const home_member* best = nullptr;
  std::uint64_t weight = 0;
  const auto* me = member_of(t, t.self);
  for (const auto& m : t.map.members) {
    const auto w = weight_of(m.instance, key);
    const bool elder = me != nullptr && m.since_ms < me->since_ms;
    if (elder && (best == nullptr || w > weight)) {
      best = &m;
      weight = w;
    }
  }
  return best;
}

struct source
{
  // As in `pending`.
  std::string instance;
  // What stands in its place when it cannot be heard.
  std::uint64_t until_ms = 0;
};

// Instances that may have run the key before it was this home's: former
// members that outrank it, and, when this home joined later, whoever had the
// key until then.
std::vector<source>
sources_of(const tenure& t, std::string_view key)
{
  std::vector<source> found;
  const auto* me = member_of(t, t.self);
  const auto* elder = elder_home(t, key);
  const auto mine = weight_of(t.self, key);
  const auto since = me == nullptr ? 0 : me->since_ms;
  for (const auto& f : t.map.former) {
    const auto w = weight_of(f.instance, key);
    // One that ranks lower may have had the key until this home joined, unless
    // it has handed over since. Its rank among those of that time is not
    // known any more, so any rank counts.
    const bool heard = t.heard.contains(id_of(f.instance, f.incarnation));
    if (w >= mine || (since > 0 && !heard)) {
      found.push_back({ id_of(f.instance, f.incarnation), f.until_ms });
    }
  }
  if (elder != nullptr) {
    found.push_back({ elder->instance, since });
  }
  return found;
}

// Enough others judge by this map that `absent` cannot be confirmed under an
// older one.
bool
has_quorum(const tenure& t,
           const std::string& absent,
           const std::vector<std::string>& peers)
{
  const auto known =
    std::count_if(peers.begin(), peers.end(), [&](const auto& p) {
      const bool self = p == t.self;
      return p != absent &&
             (self || (member_of(t, p) != nullptr && !t.pending.contains(p)));
    });
  return static_cast<std::size_t>(known) >= takeover_quorum(peers.size() + 1);
}

// Members that were there before this one joined.
std::vector<std::string>
elders_of(const tenure& t, const std::string& absent)
{
  std::vector<std::string> names;
  const auto* me = member_of(t, t.self);
  for (const auto& m : t.map.members) {
    if (me != nullptr && m.since_ms < me->since_ms && m.instance != absent) {
      names.push_back(m.instance);
    }
  }
  return names;
}

void
note_quorums(tenure& t, std::uint64_t wall_ms)
{
  for (const auto& f : t.map.former) {
    const auto id = id_of(f.instance, f.incarnation);
    if (t.pending.contains(id) && has_quorum(t, f.instance, f.peers)) {
      t.quorum_wall_ms.emplace(id, wall_ms);
    }
  }
  for (const auto& m : t.map.members) {
    if (t.pending.contains(m.instance) &&
        has_quorum(t, m.instance, elders_of(t, m.instance))) {
      t.quorum_wall_ms.emplace(m.instance, wall_ms);
    }
  }
}

} // namespace

std::string
id_of(const std::string& instance, std::uint64_t incarnation)
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
adopt(tenure& t,
      const configuration::home_map& map,
      std::uint64_t version,
      std::uint64_t wall_ms,
      std::uint64_t steady_ms)
{
  if (version <= t.map_version) {
    return;
  }
  t.map = map;
  t.map_version = version;
  t.pending.clear();
  if (member_of(t, t.self) == nullptr) {
    t.heard.clear();
  }
  t.floors.clear();
  t.adopted_steady_ms = steady_ms;
  t.ever_confirmed = false;
  for (const auto& m : map.members) {
    if (m.instance != t.self) {
      t.pending.insert(m.instance);
    }
  }
  for (const auto& f : map.former) {
    t.pending.insert(id_of(f.instance, f.incarnation));
  }
  t.quorum_wall_ms.clear();
  note_quorums(t, wall_ms);
}

void
on_handover(tenure& t,
            const std::string& from,
            std::uint64_t incarnation,
            std::uint64_t version,
            bool complete,
            std::uint64_t floor_ms,
            std::uint64_t wall_ms)
{
  // One that judges by a newer map hands over by that one, and would leave out
  // what is this home's only under the older.
  if (version != t.map_version || !complete) {
    return;
  }
  // A process that came back under the name of a crashed one is asked like
  // any other, but it settles nothing for its predecessor: with that the keys
  // of the crashed one ran again at its successor.
  const auto former = id_of(from, incarnation);
  if (member_of(t, t.self) != nullptr) {
    t.heard[former] = floor_ms;
  }
  for (const auto& id : { from, former }) {
    t.pending.erase(id);
    t.floors[id] = floor_ms;
  }
  note_quorums(t, wall_ms);
}

void
on_confirmed(tenure& t, std::size_t others, std::uint64_t asked_steady_ms)
{
  if (others + 1 >= confirm_quorum(t.map.members.size())) {
    t.confirmed_steady_ms = asked_steady_ms;
    t.ever_confirmed = true;
  }
}

// A home that is cut off cannot know that its keys have a new home. It stops
// within the lease, and a new home that could not hear it waits for longer.
// The quorums that confirm an old map and that allow a takeover meet in one
// member at least, and that one would know of the newer map.
bool
is_current(const tenure& t,
           std::uint64_t platform_age_ms,
           std::uint64_t steady_ms)
{
  const bool by_majority =
    t.ever_confirmed && steady_ms - t.confirmed_steady_ms < t.lease_ms;
  return platform_age_ms < t.lease_ms || by_majority;
}

key_judgement
judge_key(const tenure& t, std::string_view key, std::uint64_t steady_ms)
{
  key_judgement j;
  j.tenure_ms = own_floor(t);
  for (const auto& [id, floor] : t.heard) {
    j.tenure_ms = std::max(j.tenure_ms, floor);
  }
  const bool patient = steady_ms - t.adopted_steady_ms < t.lease_ms;
  for (const auto& s : sources_of(t, key)) {
    if (!t.pending.contains(s.instance)) {
      const auto floor = t.floors.find(s.instance);
      j.tenure_ms =
        std::max(j.tenure_ms, floor == t.floors.end() ? 0 : floor->second);
      continue;
    }
    const auto quorum = t.quorum_wall_ms.find(s.instance);
    if (patient || quorum == t.quorum_wall_ms.end()) {
      j.why = { error_kind::not_home,
                s.instance + " has not handed over yet",
                retry_ms };
      return j;
    }
    // It cannot be heard: whatever it may have run is of unknown outcome.
    j.tenure_ms =
      std::max({ j.tenure_ms, s.until_ms, quorum->second + t.lease_ms });
  }
  return j;
}

std::uint64_t
own_floor(const tenure& t)
{
  const auto* me = member_of(t, t.self);
  const bool same_process =
    me != nullptr && me->incarnation == t.incarnation_ms;
  return same_process ? 0 : t.incarnation_ms;
}

} // namespace cactusford::calls
