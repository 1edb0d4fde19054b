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

constexpr std::uint64_t owned_since = 1'000'000;

idempotency_record
make_record()
{
  idempotency_record record;
  record.limits = { 3, 4096, 60000, 100 };
  record.owned_since_ms = owned_since;
  return record;
}

stored_answer_ptr
answer(const char* body)
{
  return std::make_shared<const stored_answer>(
    stored_answer{ 200, "text/plain", body });
}

} // namespace

// A booking with key k1 is sent and its answer is lost. The caller repeats it
// through another entry. The booking must not run again, and the caller must
// get the first run's answer, byte for byte.
Test(record, runs_a_key_at_most_once)
{
  auto record = make_record();
  const auto now = owned_since + 1000;
  cr_assert(admit(record, { "k1", now, 7 }, now).outcome == admit_outcome::run);
  SECTION("a repeat of a running call waits")
  {
    cr_assert(admit(record, { "k1", now, 7 }, now + 5).outcome ==
              admit_outcome::running);
  }
  SECTION("a repeat of a completed call gets the stored answer")
  {
    store_answer(record, "k1", answer("seat 4"));
    const auto again = admit(record, { "k1", now, 7 }, now + 10);
    cr_assert(again.outcome == admit_outcome::answered);
    cr_assert(again.answer->body == "seat 4");
  }
  SECTION("a different request with the same key is refused")
  {
    const auto d = admit(record, { "k1", now, 8 }, now + 10);
    cr_assert(d.outcome == admit_outcome::refused);
    cr_assert(d.error.kind == error_kind::bad_request);
  }
  SECTION("a call whose answer was lost stays unknown")
  {
    admit(record, { "k2", now, 1 }, now);
    mark_failed(record, "k2");
    cr_assert(admit(record, { "k2", now, 1 }, now + 10).outcome ==
              admit_outcome::unknown);
  }
  SECTION("a withdrawn call never ran, so its repeat may")
  {
    admit(record, { "k3", now, 1 }, now);
    withdraw(record, "k3");
    cr_assert(admit(record, { "k3", now, 1 }, now + 10).outcome ==
              admit_outcome::run);
  }
}

// The sidecar crashed and restarted with an empty record. A key issued before
// the restart may have run under the earlier incarnation, so the only correct
// answer is "unknown". The caller's clock may be ahead by the skew.
Test(record, does_not_run_keys_issued_before_its_ownership)
{
  auto record = make_record();
  const auto now = owned_since + 5000;
  cr_assert(admit(record, { "old", owned_since - 1, 1 }, now).outcome ==
            admit_outcome::unknown);
  cr_assert(admit(record, { "skew", owned_since + 99, 1 }, now).outcome ==
            admit_outcome::unknown);
  cr_assert(admit(record, { "new", owned_since + 100, 1 }, now).outcome ==
            admit_outcome::run);
}

Test(record, refuses_new_keys_rather_than_evicting)
{
  auto record = make_record();
  const auto now = owned_since + 1000;
  for (const auto* key : { "a", "b", "c" }) {
    cr_assert(admit(record, { key, now, 1 }, now).outcome ==
              admit_outcome::run);
    store_answer(record, key, answer("x"));
  }
  SECTION("a full record refuses new keys as not run")
  {
    const auto d = admit(record, { "d", now, 1 }, now);
    cr_assert(d.error.kind == error_kind::record_full);
    cr_assert(is_not_run(d.error.kind));
    cr_assert_gt(d.error.retry_after_ms, 0);
  }
  SECTION("an entry expires only once its key is refused by age")
  {
    const auto later = now + 60001;
    expire(record, later);
    cr_assert_eq(record.entries.size(), 0);
    cr_assert(admit(record, { "a", now, 1 }, later).outcome ==
              admit_outcome::unknown);
  }
}

// Under any order of calls, answers, lost answers, repeats and passing time, no
// key runs twice and the byte count stays correct.
Test(record, property_no_key_runs_twice)
{
  const bool ok = rc::check("no key runs twice", [] {
    auto record = make_record();
    std::uint64_t now = owned_since + 200;
    std::map<std::string, int> runs;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
    std::map<std::string, std::uint64_t> issued;
    for (const auto& [action, k] : steps) {
      const auto key = std::to_string(k);
      issued.emplace(key, now);
      if (action <= 1) {
        const auto d = admit(record, { key, issued[key], 1 }, now);
        runs[key] += d.outcome == admit_outcome::run ? 1 : 0;
      } else if (action == 2 && record.entries.contains(key)) {
        store_answer(record, key, answer("y"));
      } else if (action == 3 && record.entries.contains(key)) {
        mark_failed(record, key);
      } else {
        now += 7000;
      }
      RC_ASSERT(runs[key] <= 1);
      RC_ASSERT(record.entries.size() <= record.limits.max_entries);
    }
    if (record.entries.empty()) {
      RC_ASSERT(record.bytes == 0U);
    }
  });
  cr_assert(ok);
}

// A service of 200 backend servers has a limited number of homes, and a home
// that leaves is replaced by a spare.
Test(home, a_large_service_has_few_homes)
{
  plan_input in;
  for (int i = 0; i < 200; ++i) {
    in.live["server-" + std::to_string(i)] = 1;
  }
  in.current = plan_homes(in);
  cr_assert_eq(in.current.members.size(), configuration::max_home_members);
  in.live.erase(in.current.members.front().instance);
  const auto next = plan_homes(in);
  cr_assert_eq(next.members.size(), configuration::max_home_members);
  cr_assert_eq(next.former.size(), 1);
}

// One of three homes is lost. Its keys move, and only these may have run there:
// they get a later ownership time, all other keys keep theirs.
Test(home, only_moved_keys_get_a_later_ownership_time)
{
  plan_input in;
  in.live = { { "a", 1 }, { "b", 1 }, { "c", 1 } };
  in.now_ms = owned_since;
  in.lease_ms = 500;
  in.key_window_ms = 60000;
  in.current = plan_homes(in);
  cr_assert_eq(in.current.members.size(), 3);
  auto after_loss = in;
  after_loss.live = { { "a", 1 }, { "c", 1 } };
  after_loss.now_ms = owned_since + 1000;
  const auto next = plan_homes(after_loss);
  int moved_keys = 0;
  for (int i = 0; i < 200; ++i) {
    const auto key = std::to_string(i);
    const auto before = home_of(in.current, key);
    const auto now = home_of(next, key);
    if (before.instance == "b") {
      ++moved_keys;
      cr_assert_eq(now.owned_since_ms, owned_since + 1500);
    } else {
      cr_assert(now.instance == before.instance);
      cr_assert_eq(now.owned_since_ms, 0);
    }
  }
  cr_assert_gt(moved_keys, 20);
}
