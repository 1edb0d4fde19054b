#include "cactusford/calls/key_ownership.h"

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

// One home: a process with its record, its key ownership and its own view of
// the cluster.
struct node
{
  std::uint64_t incarnation = 0;
  bool up = true;
  bool leaving = false;
  // Disconnected from the platform, or from the other homes.
  bool no_platform = false;
  bool no_peers = false;
  std::uint64_t platform_confirmed_ms = 0;
  idempotency_record record;
  key_ownership ownership;
};

// Disables one safeguard, to show that the property depends on it.
enum class disabled_safeguard
{
  none,
  no_lease,
  no_ownership_time,
  no_handover_wait,
  no_quorum,
};

// Simulates a few homes, the platform's home map and time. Every step is one
// that the real processes can take; each key must run at most once.
struct simulated_cluster
{
  std::map<std::string, node> nodes;
  configuration::home_map map;
  std::uint64_t map_version = 0;
  std::uint64_t now = 1'000'000;
  std::map<std::string, std::uint64_t> issued;
  std::map<std::string, int> runs;
  std::set<std::pair<std::string, std::uint64_t>> handed_over;
  std::set<std::string> listed;
  disabled_safeguard disabled = disabled_safeguard::none;

  void start(const std::string& name)
  {
    // A process never starts within the millisecond in which its predecessor
    // ended.
    now += 1;
    node n;
    n.incarnation = now;
    n.record.limits = { 1000, 1U << 20, window, 0 };
    n.ownership.self = name;
    n.ownership.lease_ms = lease;
    n.ownership.incarnation_ms = now;
    n.platform_confirmed_ms = now;
    nodes[name] = std::move(n);
    listed.insert(name);
  }

  void update_home_map()
  {
    plan_input in;
    in.current = map;
    for (const auto& name : listed) {
      const auto& n = nodes[name];
      if (!n.leaving) {
        in.live[name] = n.incarnation;
      }
    }
    in.now_ms = now;
    in.lease_ms = lease;
    in.key_window_ms = window;
    in.handed_over = handed_over;
    const auto next = plan_homes(in);
    if (!in.live.empty() && next != map) {
      map = next;
      ++map_version;
    }
  }

  void adopt_current_map(node& n)
  {
    if (n.up && !n.no_platform) {
      n.platform_confirmed_ms = now;
      adopt(n.ownership, map, map_version, now, now);
    }
  }

  bool connected(const node& a, const node& b) const
  {
    return a.up && b.up && !a.no_peers && !b.no_peers;
  }

  // `a` requests from `b` a handover of the keys that `a` now owns.
  void request_handover(node& a, node& b)
  {
    if (!connected(a, b) || a.ownership.map_version == 0) {
      return;
    }
    if (b.ownership.map_version != a.ownership.map_version) {
      return;
    }
    for (const auto& [key, e] : b.record.entries) {
      if (home_of(b.ownership.map, key).instance == a.ownership.self) {
        import_key(a.record, { key, e.issued_ms, e.fingerprint }, e.answer);
      }
    }
    on_handover(a.ownership,
                b.ownership.self,
                b.incarnation,
                b.ownership.map_version,
                true,
                own_floor(b.ownership),
                now);
  }

  void confirm(node& a)
  {
    std::size_t others = 0;
    for (const auto& m : a.ownership.map.members) {
      auto& b = nodes[m.instance];
      others += m.instance != a.ownership.self && connected(a, b) &&
                    b.ownership.map_version <= a.ownership.map_version
                  ? 1
                  : 0;
    }
    if (a.up) {
      on_confirmed(a.ownership, others, now);
    }
  }

  void call(node& n, const std::string& key)
  {
    issued.emplace(key, now);
    if (!n.up || n.leaving || n.ownership.map_version == 0 ||
        home_of(n.ownership.map, key).instance != n.ownership.self) {
      return;
    }
    if (disabled != disabled_safeguard::no_lease &&
        !is_map_confirmed(n.ownership, now - n.platform_confirmed_ms, now)) {
      return;
    }
    if (disabled == disabled_safeguard::no_quorum) {
      for (const auto& f : n.ownership.map.former) {
        n.ownership.quorum_wall_ms.emplace(
          incarnation_id(f.instance, f.incarnation), 0);
      }
    }
    const auto check = check_key(n.ownership, key, now);
    if (check.error && disabled != disabled_safeguard::no_handover_wait) {
      return;
    }
    n.record.owned_since_ms = disabled == disabled_safeguard::no_ownership_time
                                ? 0
                                : check.owned_since_ms;
    if (admit(n.record, { key, issued[key], 1 }, now).outcome ==
        admit_outcome::run) {
      ++runs[key];
      store_answer(n.record, key, std::make_shared<const stored_answer>());
    }
  }

  void record_handover(const std::string& name)
  {
    auto& n = nodes[name];
    for (const auto& f : n.ownership.map.former) {
      if (f.instance != name || f.incarnation != n.incarnation ||
          n.ownership.map_version != map_version) {
        continue;
      }
      bool all = true;
      for (const auto& m : map.members) {
        const auto& other = nodes[m.instance];
        all = all && other.ownership.map_version == map_version &&
              !other.ownership.pending_handovers.contains(
                incarnation_id(name, f.incarnation));
      }
      if (all) {
        handed_over.emplace(name, f.until_ms);
      }
    }
  }

  // Delivers all messages: every home adopts the current map and requests a
  // handover from every other one.
  void sync()
  {
    for (auto& [name, n] : nodes) {
      adopt_current_map(n);
    }
    for (auto& [name, n] : nodes) {
      for (auto& [other, m] : nodes) {
        request_handover(n, m);
      }
    }
  }

  void step(int action, int member, int other)
  {
    const std::string names[] = { "a", "b", "c", "d" };
    const auto& name = names[member];
    auto& n = nodes[name];
    switch (action) {
      case 0:
        now += 150;
        break;
      case 1:
        now += lease + 100;
        break;
      case 2:
        adopt_current_map(n);
        break;
      case 3:
        request_handover(n, nodes[names[other]]);
        break;
      case 4:
        confirm(n);
        break;
      case 5:
        update_home_map();
        break;
      case 6: // Crash; the list may or may not show it.
        n.up = false;
        if (other == 0) {
          listed.erase(name);
        }
        break;
      case 7: // Restart as a new incarnation.
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
      case 10: // Removed from the list while it may still run.
        listed.erase(name);
        break;
      case 11:
        n.leaving = true;
        break;
      case 12:
        record_handover(name);
        break;
      case 13: // A leaving home stops.
        if (n.leaving) {
          n.up = false;
          listed.erase(name);
        }
        break;
      case 14: // Crash, removal from the map, restart under the same name.
        n.up = false;
        listed.erase(name);
        update_home_map();
        sync();
        start(name);
        update_home_map();
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

struct simulated_step
{
  int action = 0;
  int member = 0;
  int other = 0;
};

// Returns a key that ran twice, or an empty string.
std::string
run_schedule(const std::vector<simulated_step>& steps, disabled_safeguard d)
{
  simulated_cluster cluster;
  cluster.disabled = d;
  for (const auto* name : { "a", "b", "c", "d" }) {
    cluster.start(name);
  }
  cluster.now += 10;
  cluster.update_home_map();
  for (auto& [name, n] : cluster.nodes) {
    cluster.adopt_current_map(n);
  }
  for (const auto& m : steps) {
    cluster.step(m.action, m.member, m.other);
    for (const auto& [key, times] : cluster.runs) {
      if (times > 1) {
        return key;
      }
    }
  }
  return {};
}

std::vector<simulated_step>
random_schedule(std::mt19937_64& random, std::size_t count)
{
  std::vector<simulated_step> steps(count);
  for (auto& m : steps) {
    m = { static_cast<int>(random() % 16),
          static_cast<int>(random() % 4),
          static_cast<int>(random() % 4) };
  }
  return steps;
}

// Removes every step without which the schedule still fails.
std::vector<simulated_step>
shrink(std::vector<simulated_step> steps, disabled_safeguard d)
{
  for (std::size_t i = steps.size(); i-- > 0;) {
    auto shorter = steps;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
    if (!run_schedule(shorter, d).empty()) {
      steps = std::move(shorter);
    }
  }
  return steps;
}

void
print_schedule(const std::vector<simulated_step>& steps)
{
  static const char* names[] = { "time",        "lease",    "map",     "ask",
                                 "confirm",     "keep",     "crash",   "start",
                                 "no_platform", "no_peers", "unlist",  "leave",
                                 "handed",      "stop",     "replace", "sync" };
  for (const auto& m : steps) {
    std::printf("  %s %c %c\n", names[m.action], 'a' + m.member, 'a' + m.other);
  }
}

std::size_t
count_failing_schedules(disabled_safeguard d, std::size_t schedules)
{
  std::mt19937_64 random{ 20261202 };
  std::size_t failing = 0;
  for (std::size_t i = 0; i < schedules; ++i) {
    const auto steps = random_schedule(random, 60);
    if (run_schedule(steps, d).empty()) {
      continue;
    }
    if (d == disabled_safeguard::none && failing == 0) {
      print_schedule(shrink(steps, d));
    }
    ++failing;
  }
  return failing;
}

} // namespace

// Homes crash, restart, leave, lose their connections to the platform or to
// each other and are removed from the list while running, in any order, while
// callers repeat their keys at every home. No key may run twice.
Test(key_ownership, no_schedule_runs_a_key_twice)
{
  cr_assert_eq(count_failing_schedules(disabled_safeguard::none, 3000), 0);
}

// Disables each safeguard in turn. The same schedules must then run some key
// twice; otherwise the safeguard is useless or the test cannot detect its
// absence.
Test(key_ownership, each_safeguard_is_needed)
{
  cr_expect_gt(
    count_failing_schedules(disabled_safeguard::no_lease, 3000), 0, "lease");
  cr_expect_gt(
    count_failing_schedules(disabled_safeguard::no_ownership_time, 3000),
    0,
    "ownership time");
  cr_expect_gt(
    count_failing_schedules(disabled_safeguard::no_handover_wait, 3000),
    0,
    "handover");
}

// Home a and two others lose their connections to the platform but not to each
// other, and a is removed from the list. It keeps serving, as the others
// confirm the old map. Home d knows the new map and waits for longer than a's
// lease, but must still not run a's keys: no other member knows that a was
// removed.
Test(key_ownership, a_takeover_needs_a_quorum)
{
  std::vector<simulated_step> steps{ { 8, 0, 0 },  { 8, 1, 0 }, { 8, 2, 0 },
                                     { 10, 0, 0 }, { 5, 0, 0 }, { 2, 3, 0 } };
  // Each round uses new keys, some of which move from a to d.
  for (int round = 0; round < 8; ++round) {
    const std::vector<simulated_step> more{ { 1, 0, 0 },
                                            { 2, 3, 0 },
                                            { 4, 0, 0 } };
    steps.insert(steps.end(), more.begin(), more.end());
  }
  cr_assert(!run_schedule(steps, disabled_safeguard::no_quorum).empty());
  cr_assert(run_schedule(steps, disabled_safeguard::none).empty());
}

// A home crashes, and a new process of the same name joins. It has no record of
// the crashed incarnation's keys, so its handover reply must not count for that
// incarnation.
Test(key_ownership, a_restarted_home_cannot_answer_for_its_crashed_process)
{
  cr_assert(
    run_schedule({ { 14, 3, 0 }, { 14, 1, 0 } }, disabled_safeguard::none)
      .empty());
}

Test(key_ownership, quorums_intersect)
{
  cr_assert_eq(
    confirm_quorum(1), 2, "a single member must not confirm its own map");
  for (std::size_t n = 1; n < 50; ++n) {
    cr_assert_gt(confirm_quorum(n) + takeover_quorum(n), n);
  }
}
