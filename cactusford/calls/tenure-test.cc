#include "cactusford/calls/tenure.h"

#include "cactusford/calls/home_plan.h"
#include "cactusford/calls/record.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>

using namespace cactusford;
using namespace cactusford::calls;

namespace {

constexpr std::uint64_t lease = 1000;
constexpr std::uint64_t window = 600000;

// One home: a process with its record, its tenure and its own view.
struct node
{
  std::uint64_t incarnation = 0;
  bool up = true;
  bool leaving = false;
  // Cut off from the platform, and from the other homes.
  bool no_platform = false;
  bool no_peers = false;
  std::uint64_t platform_heard = 0;
  record r;
  tenure t;
};

// Switches off one safeguard, to show that the property needs it.
enum class defect
{
  none,
  no_lease,
  no_tenure,
  no_handover_wait,
  no_quorum,
};

// A few homes, the platform's map, and time. Every step is one that the real
// processes can take; each key must run at most once.
struct world
{
  std::map<std::string, node> nodes;
  configuration::home_map map;
  std::uint64_t map_version = 0;
  std::uint64_t now = 1'000'000;
  std::map<std::string, std::uint64_t> issued;
  std::map<std::string, int> runs;
  std::set<std::pair<std::string, std::uint64_t>> handed_over;
  std::set<std::string> listed;
  defect broken = defect::none;

  void start(const std::string& name)
  {
    // No process starts within the millisecond in which another ended.
    now += 1;
    node n;
    n.incarnation = now;
    n.r.limits = { 1000, 1U << 20, window, 0 };
    n.t.self = name;
    n.t.lease_ms = lease;
    n.t.incarnation_ms = now;
    n.platform_heard = now;
    nodes[name] = std::move(n);
    listed.insert(name);
  }

  void keep()
  {
    plan_input in;
    in.held = map;
    for (const auto& name : listed) {
      const auto& n = nodes[name];
      if (!n.leaving) {
        in.live[name] = n.incarnation;
      }
    }
    in.now_ms = now;
    in.lease_ms = lease;
    in.window_ms = window;
    in.handed_over = handed_over;
    const auto next = plan_homes(in);
    if (!in.live.empty() && next != map) {
      map = next;
      ++map_version;
    }
  }

  void hear_platform(node& n)
  {
    if (n.up && !n.no_platform) {
      n.platform_heard = now;
      adopt(n.t, map, map_version, now, now);
    }
  }

  bool connected(const node& a, const node& b) const
  {
    return a.up && b.up && !a.no_peers && !b.no_peers;
  }

  // `a` asks `b` for the keys that are now its own, or for the newer map.
  void ask(node& a, node& b)
  {
    if (!connected(a, b) || a.t.map_version == 0) {
      return;
    }
    if (b.t.map_version != a.t.map_version) {
      return;
    }
    for (const auto& [key, e] : b.r.entries) {
      if (home_of(b.t.map, key).instance == a.t.self) {
        import_key(a.r, { key, e.issued_ms, e.fingerprint }, e.answer);
      }
    }
    on_handover(
      a.t, b.t.self, b.incarnation, b.t.map_version, true, own_floor(b.t), now);
  }

  void confirm(node& a)
  {
    std::size_t others = 0;
    for (const auto& m : a.t.map.members) {
      auto& b = nodes[m.instance];
      others += m.instance != a.t.self && connected(a, b) &&
                    b.t.map_version <= a.t.map_version
                  ? 1
                  : 0;
    }
    if (a.up) {
      on_confirmed(a.t, others, now);
    }
  }

  void call(node& n, const std::string& key)
  {
    issued.emplace(key, now);
    if (!n.up || n.leaving || n.t.map_version == 0 ||
        home_of(n.t.map, key).instance != n.t.self) {
      return;
    }
    if (broken != defect::no_lease &&
        !is_current(n.t, now - n.platform_heard, now)) {
      return;
    }
    if (broken == defect::no_quorum) {
      for (const auto& f : n.t.map.former) {
        n.t.quorum_wall_ms.emplace(id_of(f.instance, f.incarnation), 0);
      }
    }
    const auto judged = judge_key(n.t, key, now);
    if (judged.why && broken != defect::no_handover_wait) {
      return;
    }
    n.r.tenure_ms = broken == defect::no_tenure ? 0 : judged.tenure_ms;
    if (admit(n.r, { key, issued[key], 1 }, now).what == admission::run) {
      ++runs[key];
      answered(n.r, key, std::make_shared<const kept_answer>());
    }
  }

  void hand_over_done(const std::string& name)
  {
    auto& n = nodes[name];
    for (const auto& f : n.t.map.former) {
      if (f.instance != name || f.incarnation != n.incarnation ||
          n.t.map_version != map_version) {
        continue;
      }
      bool all = true;
      for (const auto& m : map.members) {
        const auto& other = nodes[m.instance];
        all = all && other.t.map_version == map_version &&
              !other.t.pending.contains(id_of(name, f.incarnation));
      }
      if (all) {
        handed_over.emplace(name, f.until_ms);
      }
    }
  }

  // Messages that are not lost: the map comes round, and all ask all.
  void sync()
  {
    for (auto& [name, n] : nodes) {
      hear_platform(n);
    }
    for (auto& [name, n] : nodes) {
      for (auto& [other, m] : nodes) {
        ask(n, m);
      }
    }
  }

  void step(int what, int who, int other)
  {
    const std::string names[] = { "a", "b", "c", "d" };
    const auto& name = names[who];
    auto& n = nodes[name];
    switch (what) {
      case 0:
        now += 150;
        break;
      case 1:
        now += lease + 100;
        break;
      case 2:
        hear_platform(n);
        break;
      case 3:
        ask(n, nodes[names[other]]);
        break;
      case 4:
        confirm(n);
        break;
      case 5:
        keep();
        break;
      case 6: // Crash; the list notices or not.
        n.up = false;
        if (other == 0) {
          listed.erase(name);
        }
        break;
      case 7: // A new process in its place.
        if (!n.up || (n.leaving && !listed.contains(name))) {
          start(name);
        }
        break;
      case 8:
        n.no_platform = !n.no_platform;
        break;
      case 9:
        n.no_peers = !n.no_peers;
        break;
      case 10: // The list takes one that is cut off for dead.
        listed.erase(name);
        break;
      case 11:
        n.leaving = true;
        break;
      case 12:
        hand_over_done(name);
        break;
      case 13: // A leaver that has handed over stops.
        if (n.leaving) {
          n.up = false;
          listed.erase(name);
        }
        break;
      case 14: // Crash, noticed, and a new process of the same name joins.
        n.up = false;
        listed.erase(name);
        keep();
        sync();
        start(name);
        keep();
        sync();
        break;
      case 15:
        sync();
        break;
      default:
        break;
    }
    for (auto& [at, home] : nodes) {
      for (int k = 0; k < 6; ++k) {
        call(home, std::to_string(k) + "@" + std::to_string(now / 500));
      }
      for (const auto& [key, when] : std::map{ issued }) {
        if (now - when < 3 * lease) {
          call(home, key);
        }
      }
    }
  }
};

struct world_move
{
  int what = 0;
  int who = 0;
  int other = 0;
};

// Returns the key that ran twice, or nothing.
std::string
play(const std::vector<world_move>& moves, defect d)
{
  world w;
  w.broken = d;
  for (const auto* name : { "a", "b", "c", "d" }) {
    w.start(name);
  }
  w.now += 10;
  w.keep();
  for (auto& [name, n] : w.nodes) {
    w.hear_platform(n);
  }
  for (const auto& m : moves) {
    w.step(m.what, m.who, m.other);
    for (const auto& [key, times] : w.runs) {
      if (times > 1) {
        return key;
      }
    }
  }
  return {};
}

std::vector<world_move>
random_moves(std::mt19937_64& random, std::size_t count)
{
  std::vector<world_move> moves(count);
  for (auto& m : moves) {
    m = { static_cast<int>(random() % 16),
          static_cast<int>(random() % 4),
          static_cast<int>(random() % 4) };
  }
  return moves;
}

// Leaves out every move without which the schedule still fails.
std::vector<world_move>
shrink(std::vector<world_move> moves, defect d)
{
  for (std::size_t i = moves.size(); i-- > 0;) {
    auto fewer = moves;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    if (!play(fewer, d).empty()) {
      moves = std::move(fewer);
    }
  }
  return moves;
}

void
print(const std::vector<world_move>& moves)
{
  static const char* names[] = { "time",        "lease",    "map",     "ask",
                                 "confirm",     "keep",     "crash",   "start",
                                 "no_platform", "no_peers", "unlist",  "leave",
                                 "handed",      "stop",     "replace", "sync" };
  for (const auto& m : moves) {
    std::printf("  %s %c %c\n", names[m.what], 'a' + m.who, 'a' + m.other);
  }
}

std::size_t
schedules_that_fail(defect d, std::size_t schedules)
{
  std::mt19937_64 random{ 20261202 };
  std::size_t failing = 0;
  for (std::size_t i = 0; i < schedules; ++i) {
    const auto moves = random_moves(random, 60);
    if (play(moves, d).empty()) {
      continue;
    }
    if (d == defect::none && failing == 0) {
      print(shrink(moves, d));
    }
    ++failing;
  }
  return failing;
}

} // namespace

// Homes crash, restart, leave, are cut off from the platform or each other
// and taken for dead, in any order, while callers repeat their keys at every
// home. No key may run twice.
Test(tenure, no_schedule_runs_a_key_twice)
{
  cr_assert_eq(schedules_that_fail(defect::none, 3000), 0);
}

// Each safeguard is switched off in turn: the same schedules must then show a
// key that ran twice, or the safeguard, or this test, would be worth nothing.
Test(tenure, each_safeguard_is_needed)
{
  cr_expect_gt(schedules_that_fail(defect::no_lease, 3000), 0, "lease");
  cr_expect_gt(schedules_that_fail(defect::no_tenure, 3000), 0, "tenure");
  cr_expect_gt(
    schedules_that_fail(defect::no_handover_wait, 3000), 0, "handover");
}

// Home a and two others are cut off from the platform but not from each other,
// and a is taken for dead. It goes on, since the others confirm the old map.
// Home d knows the new one, waits for longer than a's lease, and must still
// not run a's keys: no more than itself knows that a is out.
Test(tenure, a_takeover_needs_a_quorum)
{
  std::vector<world_move> moves{ { 8, 0, 0 },  { 8, 1, 0 }, { 8, 2, 0 },
                                 { 10, 0, 0 }, { 5, 0, 0 }, { 2, 3, 0 } };
  // Keys are new with each round: some of them are a's and then d's.
  for (int round = 0; round < 8; ++round) {
    const std::vector<world_move> more{ { 1, 0, 0 }, { 2, 3, 0 }, { 4, 0, 0 } };
    moves.insert(moves.end(), more.begin(), more.end());
  }
  cr_assert(!play(moves, defect::no_quorum).empty());
  cr_assert(play(moves, defect::none).empty());
}

// A home crashes, and a new process of the same name joins. Asked for the keys
// of the crashed one, it knows of none, and must not be believed.
Test(tenure, a_successor_is_no_witness)
{
  cr_assert(play({ { 14, 3, 0 }, { 14, 1, 0 } }, defect::none).empty());
}

Test(tenure, quorums_meet)
{
  cr_assert_eq(confirm_quorum(1), 2, "one alone cannot confirm itself");
  for (std::size_t n = 1; n < 50; ++n) {
    cr_assert_gt(confirm_quorum(n) + takeover_quorum(n), n);
  }
}
