#include "cactusford/store/shared_watches.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using store::shared_watches;

namespace {

// Records the results of its watch.
struct recording_waiter
{
  int answers = 0;
  std::uint64_t confirmed_ms = 0;
  http::exchange_outcome end = http::exchange_outcome::not_sent;

  shared_watches::handler handler()
  {
    return [this](http::exchange_outcome e,
                  const http::response&,
                  std::uint64_t at) {
      ++answers;
      end = e;
      confirmed_ms = at;
    };
  }
};

constexpr auto own = shared_watches::origin::own;

const http::response changes_response{ 200, {}, "changes" };

} // namespace

// Twenty entries watch the same kind. Guards against one call from each of them
// at each change, which would be most of all calls to the store.
Test(shared_watches, make_one_call_for_many_that_wait)
{
  shared_watches w;
  int calls = 0;
  std::vector<recording_waiter> all(20);
  for (auto& a : all) {
    w.join(
      "t", 0, own, [&] { ++calls; }, a.handler());
  }
  cr_assert_eq(calls, 1);
  w.complete(
    "t", 10, http::exchange_outcome::complete, changes_response, 0, true);
  for (const auto& a : all) {
    cr_assert_eq(a.answers, 1);
  }
  SECTION("a slightly later watch gets the same changes")
  {
    recording_waiter late;
    w.join(
      "t", 100, own, [&] { ++calls; }, late.handler());
    cr_assert_eq(late.answers, 1);
    cr_assert_eq(calls, 1);
  }
  SECTION("the changes are not reused much later")
  {
    recording_waiter late;
    w.join(
      "t", 10 + store::reuse_ms, own, [&] { ++calls; }, late.handler());
    cr_assert_eq(late.answers, 0);
    cr_assert_eq(calls, 2);
  }
}

// Guards against an endless loop: an answer without changes must not be reused,
// or whoever watches again would get it at once, again and again.
Test(shared_watches, wait_again_after_an_answer_without_changes)
{
  shared_watches w;
  int calls = 0;
  recording_waiter first;
  w.join(
    "t", 0, own, [&] { ++calls; }, first.handler());
  w.complete(
    "t", 1000, http::exchange_outcome::complete, { 200, {}, "" }, 0, false);
  recording_waiter again;
  w.join(
    "t", 1001, own, [&] { ++calls; }, again.handler());
  cr_assert_eq(again.answers, 0);
  cr_assert_eq(calls, 2);
}

// The call's connection is lost. All waiters must be notified so that they list
// again, and no later one may get that result.
Test(shared_watches, notify_all_of_a_lost_connection)
{
  shared_watches w;
  int calls = 0;
  recording_waiter a;
  recording_waiter b;
  w.join(
    "t", 0, own, [&] { ++calls; }, a.handler());
  w.join(
    "t", 0, own, [&] { ++calls; }, b.handler());
  w.complete("t", 5, http::exchange_outcome::connection_lost, {}, 0, false);
  cr_assert_eq(a.answers + b.answers, 2);
  cr_assert(b.end == http::exchange_outcome::connection_lost);
  recording_waiter later;
  w.join(
    "t", 6, own, [&] { ++calls; }, later.handler());
  cr_assert_eq(later.answers, 0);
}

Test(shared_watches, keep_kinds_and_revisions_apart)
{
  shared_watches w;
  int calls = 0;
  recording_waiter a;
  recording_waiter b;
  w.join(
    "t?since=1", 0, own, [&] { ++calls; }, a.handler());
  w.join(
    "t?since=2", 0, own, [&] { ++calls; }, b.handler());
  cr_assert_eq(calls, 2);
  w.complete("t?since=1",
             5,
             http::exchange_outcome::complete,
             changes_response,
             0,
             true);
  cr_assert_eq(a.answers, 1);
  cr_assert_eq(b.answers, 0);
}

// A relay shuts down. Instances that wait through it are sent elsewhere; its
// own watch continues until it ends.
Test(shared_watches, release_others_when_the_relay_leaves)
{
  shared_watches w;
  int calls = 0;
  recording_waiter mine;
  recording_waiter other;
  w.join(
    "t", 0, own, [&] { ++calls; }, mine.handler());
  w.join(
    "t", 0, shared_watches::origin::relayed, [&] { ++calls; }, other.handler());
  cr_assert_eq(w.take_relayed_handlers().size(), 1);
  w.complete(
    "t", 5, http::exchange_outcome::complete, changes_response, 0, true);
  cr_assert_eq(mine.answers, 1);
  cr_assert_eq(other.answers, 0);
}

// Guards against a view that counts as confirmed at the time its answer
// arrived: the call had been made earlier for another instance, and its answer
// is reused.
Test(shared_watches, report_when_the_answer_was_valid)
{
  shared_watches w;
  constexpr std::uint64_t confirmed_ms = 7;
  recording_waiter first;
  recording_waiter late;
  w.join(
    "t", 0, own, [] {}, first.handler());
  w.complete("t",
             100,
             http::exchange_outcome::complete,
             changes_response,
             confirmed_ms,
             true);
  w.join(
    "t", 200, own, [] {}, late.handler());
  cr_assert_eq(first.confirmed_ms, confirmed_ms);
  cr_assert_eq(late.confirmed_ms, confirmed_ms);
}
