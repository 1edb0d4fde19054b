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

// The contents of answers with and without changes.
const store::answer_contents changes{ true, false, 100 };
const store::answer_contents nothing{};

constexpr std::uint64_t held_ms = 1000;

// A watch of one kind from revision 50.
const store::joinable_call watch{ { "GET", "t", {}, "" },
                                  2 * held_ms,
                                  held_ms,
                                  "configuration",
                                  50 };

store::joinable_call
watch_from(std::uint64_t since)
{
  auto w = watch;
  w.request.target = "t?since=" + std::to_string(since);
  w.since = since;
  return w;
}

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
      watch, 0, own, [&] { ++calls; }, a.handler());
  }
  cr_assert_eq(calls, 1);
  w.complete(
    "t", 10, http::exchange_outcome::complete, changes_response, 0, changes);
  for (const auto& a : all) {
    cr_assert_eq(a.answers, 1);
  }
  SECTION("a slightly later watch gets the same changes")
  {
    recording_waiter late;
    w.join(
      watch, 100, own, [&] { ++calls; }, late.handler());
    cr_assert_eq(late.answers, 1);
    cr_assert_eq(calls, 1);
  }
  SECTION("the changes are not reused much later")
  {
    recording_waiter late;
    w.join(
      watch, 10 + store::reuse_ms, own, [&] { ++calls; }, late.handler());
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
    watch, 0, own, [&] { ++calls; }, first.handler());
  w.complete(
    "t", 1000, http::exchange_outcome::complete, { 200, {}, "" }, 0, nothing);
  recording_waiter again;
  w.join(
    watch, 1001, own, [&] { ++calls; }, again.handler());
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
    watch, 0, own, [&] { ++calls; }, a.handler());
  w.join(
    watch, 0, own, [&] { ++calls; }, b.handler());
  w.complete("t", 5, http::exchange_outcome::connection_lost, {}, 0, nothing);
  cr_assert_eq(a.answers + b.answers, 2);
  cr_assert(b.end == http::exchange_outcome::connection_lost);
  recording_waiter later;
  w.join(
    watch, 6, own, [&] { ++calls; }, later.handler());
  cr_assert_eq(later.answers, 0);
}

// Forty instances have been restarted one after the other, and each watches a
// kind that does not change from the revision of its own list. Guards against a
// call a second from each of them.
Test(shared_watches, join_watches_from_different_revisions)
{
  shared_watches w;
  int calls = 0;
  constexpr std::uint64_t instances = 40;
  std::vector<recording_waiter> all(instances);
  for (std::uint64_t i = 0; i < instances; ++i) {
    w.join(
      watch_from(50 + i), i, own, [&] { ++calls; }, all[i].handler());
  }
  cr_assert_eq(calls, 1);
  SECTION("an answer without changes holds for all")
  {
    w.complete("t?since=50",
               held_ms,
               http::exchange_outcome::complete,
               { 200, {}, "" },
               0,
               nothing);
    for (const auto& a : all) {
      cr_assert_eq(a.answers, 1);
    }
  }
}

// A change is on its way to a watch from an older revision when an instance
// that has listed it joins. Guards against an instance that gets an older state
// of an object than it has, or a deletion of one that exists again.
Test(shared_watches, give_no_instance_a_change_that_it_has_seen)
{
  shared_watches w;
  int calls = 0;
  recording_waiter older;
  recording_waiter newer;
  const auto count = [&] { ++calls; };
  const auto answer_with = [&](const store::answer_contents& contents) {
    w.complete("t?since=50",
               10,
               http::exchange_outcome::complete,
               changes_response,
               0,
               contents);
  };
  w.join(watch_from(50), 0, own, count, older.handler());
  w.join(watch_from(70), 0, own, count, newer.handler());
  cr_assert_eq(calls, 1);
  SECTION("a change after both revisions goes to both")
  {
    auto other = w;
    answer_with({ true, false, 71 });
    cr_assert_eq(older.answers, 1);
    cr_assert_eq(newer.answers, 1);
    w = std::move(other);
  }
  older.answers = 0;
  newer.answers = 0;
  SECTION("a change between them only to the older one")
  {
    auto other = w;
    answer_with({ true, false, 60 });
    cr_assert_eq(older.answers, 1);
    cr_assert_eq(newer.answers, 0);
    cr_assert_eq(calls, 2, "the newer one has a call of its own now");
    w = std::move(other);
  }
  older.answers = 0;
  SECTION("the same if the revision of a change is not known")
  {
    auto other = w;
    answer_with({ true, false, 0 });
    cr_assert_eq(newer.answers, 0);
    w = std::move(other);
  }
  SECTION("the loss of the history concerns only the older one")
  {
    answer_with({ false, true, 0 });
    cr_assert_eq(newer.answers, 0);
  }
}

Test(shared_watches, keep_kinds_and_older_revisions_apart)
{
  shared_watches w;
  int calls = 0;
  const auto count = [&] { ++calls; };
  recording_waiter a;
  w.join(watch_from(50), 0, own, count, a.handler());
  SECTION("a watch from an older revision may have an answer already")
  {
    w.join(watch_from(40), 0, own, count, a.handler());
    cr_assert_eq(calls, 2);
  }
  SECTION("another kind has other changes")
  {
    auto other_kind = watch_from(60);
    other_kind.kind = "batches";
    other_kind.request.target = "batches?since=60";
    w.join(other_kind, 0, own, count, a.handler());
    cr_assert_eq(calls, 3);
  }
  SECTION("a check is answered at once")
  {
    auto check = watch_from(60);
    check.held_ms = 1;
    check.request.target = "t?since=60&held_ms=1";
    w.join(check, 0, own, count, a.handler());
    cr_assert_eq(calls, 4);
  }
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
    watch, 0, own, [&] { ++calls; }, mine.handler());
  w.join(
    watch,
    0,
    shared_watches::origin::relayed,
    [&] { ++calls; },
    other.handler());
  cr_assert_eq(w.take_relayed_handlers().size(), 1);
  w.complete(
    "t", 5, http::exchange_outcome::complete, changes_response, 0, changes);
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
    watch, 0, own, [] {}, first.handler());
  w.complete("t",
             100,
             http::exchange_outcome::complete,
             changes_response,
             confirmed_ms,
             changes);
  w.join(
    watch, 200, own, [] {}, late.handler());
  cr_assert_eq(first.confirmed_ms, confirmed_ms);
  cr_assert_eq(late.confirmed_ms, confirmed_ms);
}
