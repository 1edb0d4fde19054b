#include "cactusford/store/paths.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::store;

// Guards against an instance that cannot list results because the store rejects
// it for seconds while serving others: calls go through a relay.
Test(paths, uses_a_relay_if_the_direct_path_is_closed)
{
  auto t = make_paths(2);
  cr_assert_eq(*select_path(t, {}, 0), direct_path);
  record_outcome(t, direct_path, path_outcome::failed, 0);
  cr_assert_eq(*select_path(t, { direct_path }, 0), 1);
  record_outcome(t, 1, path_outcome::answered, 5);
  cr_assert_eq(
    *select_path(t, {}, 10), 1, "the next call starts with that relay");
  cr_assert_eq(*select_path(t, {}, 2100),
               direct_path,
               "the direct path is used again later");
}

// The first relay of the list has been removed for good. Guards against each
// call waiting half a second for it and never returning to the direct path.
Test(paths, skips_a_relay_that_is_gone)
{
  auto t = make_paths(2);
  record_outcome(t, direct_path, path_outcome::failed, 0);
  record_outcome(t, 1, path_outcome::failed, 0);
  cr_assert_eq(*select_path(t, {}, 10), 2);
  SECTION("without a working relay the direct path is probed often")
  {
    record_outcome(t, 2, path_outcome::failed, 0);
    record_outcome(t, direct_path, path_outcome::failed, 0);
    cr_assert_not(select_path(t, {}, 10), "not before the interval is over");
    cr_assert_eq(*select_path(t, {}, 300), direct_path);
  }
}

// Sidecars learn weight versions through relays, which join their watches. The
// starting relays are spread, and the direct path remains as a fallback.
Test(paths, starts_with_a_relay_if_configured)
{
  auto t = make_paths(2, 2);
  cr_assert_eq(*select_path(t, {}, 0), 2);
  cr_assert_eq(*select_path(t, { 2 }, 0), direct_path);
  cr_assert_eq(*select_path(t, { 2, direct_path }, 0), 1);
}

// The store is down for everybody for five seconds, its time of highest load:
// every instance wants lists, results and submissions from it, ten at a time.
// Counts the calls that reach it, from a relay and from another instance.
// Guards against each try being a billed call, often three per request.
Test(paths, probes_a_store_that_is_down_only_a_few_times)
{
  constexpr std::uint64_t outage_ms = 5000;
  const auto asked = [&](bool is_relay) {
    auto t = make_paths(2, direct_path, is_relay);
    int direct = 0;
    for (std::uint64_t now = 0; now < outage_ms; now += 10) {
      std::vector<std::size_t> tried;
      while (const auto path = select_path(t, tried, now)) {
        tried.push_back(*path);
        direct += *path == direct_path ? 1 : 0;
        const bool own = *path == direct_path;
        record_outcome(t,
                       *path,
                       own ? path_outcome::failed
                           : path_outcome::store_unreachable,
                       now);
      }
    }
    return direct;
  };
  cr_assert_leq(asked(true), 17);
  cr_assert_leq(asked(false), 3);
  SECTION("recovery is detected through a relay")
  {
    auto t = make_paths(2);
    record_outcome(t, direct_path, path_outcome::failed, 0);
    record_outcome(t, 1, path_outcome::store_unreachable, 0);
    record_outcome(t, 2, path_outcome::store_unreachable, 0);
    cr_assert_not(select_path(t, {}, 299));
    cr_assert_eq(*select_path(t, {}, 300), 1);
    record_outcome(t, 1, path_outcome::answered, 310);
    cr_assert_eq(*select_path(t, {}, 311), 1);
  }
}

// An unresponsive store is detected after about a second. Calls made meanwhile
// must not wait too: one probes, the others fail at once and report when to
// retry.
Test(paths, sends_one_call_at_a_time_to_a_path_that_failed)
{
  auto t = make_paths(0);
  record_outcome(t, direct_path, path_outcome::failed, 0);
  cr_assert_eq(*select_path(t, {}, 300), direct_path);
  cr_assert_not(select_path(t, {}, 301));
  record_outcome(t, direct_path, path_outcome::answered, 350);
  cr_assert_eq(*select_path(t, {}, 351), direct_path);
  cr_assert_eq(*select_path(t, {}, 351), direct_path);
}

// A partition cuts eight of twenty entries off the store, among them two of the
// three relays. Guards against taking the first relay's report that it cannot
// reach the store for an outage: that relay was asked again and again, and an
// owner that had all results of a step could list none of them for twelve
// seconds.
Test(paths, skips_relays_that_are_cut_off_too)
{
  auto t = make_paths(3);
  record_outcome(t, direct_path, path_outcome::failed, 0);
  record_outcome(t, 1, path_outcome::store_unreachable, 1);
  cr_assert_eq(*select_path(t, { direct_path, 1 }, 2), 2);
  record_outcome(t, 2, path_outcome::store_unreachable, 2);
  cr_assert_not(select_path(t, { direct_path, 1, 2 }, 3),
                "at most three tries per call");
  SECTION("the next call continues with the next relay")
  {
    cr_assert_eq(*select_path(t, {}, 3), 3);
    record_outcome(t, 3, path_outcome::answered, 4);
    cr_assert_eq(*select_path(t, {}, 5), 3);
  }
  SECTION("relays added meanwhile are used")
  {
    record_outcome(t, 3, path_outcome::failed, 4);
    add_path(t);
    cr_assert_eq(*select_path(t, {}, 5), 4);
  }
}

// The store stops answering, and every connection to it is dead. An instance
// gives up on it and asks its relays, which have just found the same. If a
// relay takes as long to report that as the instance waits, the relay seems
// dead too and is avoided for four seconds. If the next list then waits four
// seconds as well, callers are refused by a stale configuration long after the
// store is back.
Test(paths, uses_short_timeouts_on_a_path_that_may_be_dead)
{
  constexpr answer_limits l;
  constexpr std::size_t relay = 1;
  constexpr std::uint64_t wait_ms = 1000;
  auto t = make_paths(2);
  cr_assert_eq(response_timeout_ms(l, t, direct_path, response_kind::list, 0),
               l.list_ms);
  SECTION("a list on a path that failed has a short timeout")
  {
    record_outcome(t, direct_path, path_outcome::failed, 0);
    cr_assert_eq(response_timeout_ms(l, t, direct_path, response_kind::list, 0),
                 l.answer_ms);
    record_outcome(t, direct_path, path_outcome::answered, 5);
    cr_assert_eq(response_timeout_ms(l, t, direct_path, response_kind::list, 0),
                 l.list_ms);
  }
  SECTION("a relay answers before its watch times out")
  {
    const auto at_relay =
      response_timeout_ms(l, t, relay, response_kind::watch, wait_ms);
    cr_assert_eq(at_relay + relay_extra_ms, wait_ms + l.shared_answer_ms);
  }
  SECTION("so does a relay's own watch, which others join")
  {
    const auto of_relay = make_paths(2, direct_path, true);
    const auto at_relay = response_timeout_ms(
      l, of_relay, direct_path, response_kind::watch, wait_ms);
    cr_assert_leq(at_relay + relay_extra_ms, wait_ms + l.shared_answer_ms);
  }
  SECTION("a watch times out before a change must be in force")
  {
    constexpr std::uint64_t in_force_ms = 2000;
    cr_assert_lt(wait_ms + l.shared_answer_ms, in_force_ms);
    cr_assert_lt(
      response_timeout_ms(l, t, direct_path, response_kind::watch, wait_ms),
      in_force_ms);
  }
}

// Guards against watches that hang one after the other at a relay that has lost
// the store, while another relay answers.
Test(paths, avoid_a_relay_that_lost_the_store)
{
  constexpr std::uint64_t avoided_ms = 4000;
  constexpr std::uint64_t probe_ms = 300;
  using path = std::optional<std::size_t>;
  auto t = make_paths(2, 1);
  record_outcome(t, 1, path_outcome::store_unreachable, 0);
  cr_assert(select_path(t, {}, 1) == path{ 2 });
  cr_assert(select_path(t, {}, avoided_ms - 1) == path{ 2 });
  SECTION("it is used again after some seconds")
  {
    auto later = t;
    cr_assert(select_path(later, {}, avoided_ms) == path{ 1 });
  }
  SECTION("it is used if all other paths failed")
  {
    auto failed = t;
    record_outcome(failed, 2, path_outcome::failed, 0);
    record_outcome(failed, direct_path, path_outcome::failed, 0);
    cr_assert(select_path(failed, {}, probe_ms - 1) == path{});
    cr_assert(select_path(failed, {}, probe_ms) == path{ 1 });
  }
}

// Guards against a relay that asks the first relay for each watch, no matter
// how often that has failed.
Test(paths, allow_one_call_on_a_path_that_failed)
{
  auto t = make_paths(2, 1);
  cr_assert(claim_if_open(t, 1, 0));
  cr_assert(claim_if_open(t, 1, 0), "a path that answers accepts all calls");
  record_outcome(t, 1, path_outcome::failed, 0);
  cr_assert_not(claim_if_open(t, 1, 3999));
  cr_assert(claim_if_open(t, 1, 4000));
  cr_assert_not(claim_if_open(t, 1, 4001), "closed until that call has ended");
  record_outcome(t, 1, path_outcome::answered, 4100);
  cr_assert(claim_if_open(t, 1, 4100));
}

// Guards against a second try that is delayed by the same cause as the first:
// all relays may be behind the same partition.
Test(paths, try_the_direct_path_second)
{
  auto t = make_paths(3, 2);
  cr_assert_eq(*select_second_path(t, { 2 }, 0), direct_path);
  SECTION("another relay if the direct path is closed")
  {
    record_outcome(t, direct_path, path_outcome::failed, 0);
    cr_assert_eq(*select_second_path(t, { 2 }, 10), 1);
  }
}
