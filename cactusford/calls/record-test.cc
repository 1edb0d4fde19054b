#include "cactusford/calls/home.h"
#include "cactusford/calls/home_plan.h"
#include "cactusford/calls/record.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace cactusford;
using namespace cactusford::calls;

namespace {

constexpr std::uint64_t start = 1'000'000;

record
fresh()
{
  record r;
  r.limits = { 3, 4096, 60000, 100 };
  r.tenure_ms = start;
  return r;
}

kept_answer_ptr
answer(const char* body)
{
  return std::make_shared<const kept_answer>(
    kept_answer{ 200, "text/plain", body });
}

} // namespace

// A booking under key k1 is sent, and its answer is lost on the way. The
// caller sends it again through another entry. It must not run again, and the
// caller must get the first run's answer, byte for byte.
Test(record, runs_a_key_at_most_once)
{
  auto r = fresh();
  const auto now = start + 1000;
  cr_assert(admit(r, { "k1", now, 7 }, now).what == admission::run);
  SECTION("while it runs, a repeat waits")
  {
    cr_assert(admit(r, { "k1", now, 7 }, now + 5).what == admission::running);
  }
  SECTION("once it has run, a repeat gets the kept answer")
  {
    answered(r, "k1", answer("seat 4"));
    const auto again = admit(r, { "k1", now, 7 }, now + 10);
    cr_assert(again.what == admission::answered);
    cr_assert(again.answer->body == "seat 4");
  }
  SECTION("other bytes under the same key are refused")
  {
    const auto d = admit(r, { "k1", now, 8 }, now + 10);
    cr_assert(d.what == admission::refused);
    cr_assert(d.why.kind == error_kind::bad_request);
  }
  SECTION("a lost answer stays unknown for ever")
  {
    admit(r, { "k2", now, 1 }, now);
    failed(r, "k2");
    cr_assert(admit(r, { "k2", now, 1 }, now + 10).what == admission::unknown);
  }
  SECTION("a withdrawn call never ran, so its repeat may")
  {
    admit(r, { "k3", now, 1 }, now);
    withdraw(r, "k3");
    cr_assert(admit(r, { "k3", now, 1 }, now + 10).what == admission::run);
  }
}

// The sidecar crashed and came back with an empty record. A key that was
// issued before its start may have run under the earlier process, so the only
// true answer is "unknown". The caller's clock may be ahead by the skew.
Test(record, does_not_run_keys_of_an_earlier_tenure)
{
  auto r = fresh();
  const auto now = start + 5000;
  cr_assert(admit(r, { "old", start - 1, 1 }, now).what == admission::unknown);
  cr_assert(admit(r, { "skew", start + 99, 1 }, now).what ==
            admission::unknown);
  cr_assert(admit(r, { "new", start + 100, 1 }, now).what == admission::run);
}

Test(record, refuses_rather_than_forgets)
{
  auto r = fresh();
  const auto now = start + 1000;
  for (const auto* key : { "a", "b", "c" }) {
    cr_assert(admit(r, { key, now, 1 }, now).what == admission::run);
    answered(r, key, answer("x"));
  }
  SECTION("a full record refuses new keys as not run")
  {
    const auto d = admit(r, { "d", now, 1 }, now);
    cr_assert(d.why.kind == error_kind::record_full);
    cr_assert(is_not_run(d.why.kind));
    cr_assert_gt(d.why.retry_after_ms, 0);
  }
  SECTION("an entry goes only when its key is refused by age")
  {
    const auto later = now + 60001;
    expire(r, later);
    cr_assert_eq(r.entries.size(), 0);
    cr_assert(admit(r, { "a", now, 1 }, later).what == admission::unknown);
  }
}

// Any order of calls, answers, losses, repeats and passing time: no key runs
// twice, and the count of bytes never drifts.
Test(record, property_no_key_runs_twice)
{
  const bool ok = rc::check("no key runs twice", [] {
    auto r = fresh();
    std::uint64_t now = start + 200;
    std::map<std::string, int> runs;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
    std::map<std::string, std::uint64_t> issued;
    for (const auto& [what, k] : steps) {
      const auto key = std::to_string(k);
      issued.emplace(key, now);
      if (what <= 1) {
        const auto d = admit(r, { key, issued[key], 1 }, now);
        runs[key] += d.what == admission::run ? 1 : 0;
      } else if (what == 2 && r.entries.contains(key)) {
        answered(r, key, answer("y"));
      } else if (what == 3 && r.entries.contains(key)) {
        failed(r, key);
      } else {
        now += 7000;
      }
      RC_ASSERT(runs[key] <= 1);
      RC_ASSERT(r.entries.size() <= r.limits.max_entries);
    }
    if (r.entries.empty()) {
      RC_ASSERT(r.bytes == 0U);
    }
  });
  cr_assert(ok);
}

// A service of 200 backend servers: its homes are few, and one that leaves is
// replaced by a spare.
Test(home, a_large_service_has_few_homes)
{
  plan_input in;
  for (int i = 0; i < 200; ++i) {
    in.live["server-" + std::to_string(i)] = 1;
  }
  in.held = plan_homes(in);
  cr_assert_eq(in.held.members.size(), configuration::max_home_members);
  in.live.erase(in.held.members.front().instance);
  const auto next = plan_homes(in);
  cr_assert_eq(next.members.size(), configuration::max_home_members);
  cr_assert_eq(next.former.size(), 1);
}

// One of three homes is lost. The keys that it held move, and only they may
// have run there: they get a later tenure, all others keep theirs.
Test(home, only_moved_keys_get_a_later_tenure)
{
  plan_input in;
  in.live = { { "a", 1 }, { "b", 1 }, { "c", 1 } };
  in.now_ms = start;
  in.lease_ms = 500;
  in.window_ms = 60000;
  in.held = plan_homes(in);
  cr_assert_eq(in.held.members.size(), 3);
  auto after = in;
  after.live = { { "a", 1 }, { "c", 1 } };
  after.now_ms = start + 1000;
  const auto next = plan_homes(after);
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    const auto key = std::to_string(i);
    const auto before = home_of(in.held, key);
    const auto now = home_of(next, key);
    if (before.instance == "b") {
      ++moved;
      cr_assert_eq(now.tenure_ms, start + 1500);
    } else {
      cr_assert(now.instance == before.instance);
      cr_assert_eq(now.tenure_ms, 0);
    }
  }
  cr_assert_gt(moved, 20);
}
