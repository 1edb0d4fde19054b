#include "cactusford/batches/score_queue.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <set>

using namespace cactusford::batches;

namespace {

constexpr std::size_t texts = 60;

bool
nobody(const unscored_text&)
{
  return false;
}

} // namespace

// A server has crashed during ten scorer calls, one of which crashes every
// server that runs it. If the ten were sent together again, they would all be
// in flight when the next server crashes, and each crash would bring all ten
// closer to quarantine.
Test(score_queue, suspects_go_one_at_a_time)
{
  score_queue q;
  for (std::size_t at = 0; at < texts; ++at) {
    add(q, { "b", at });
  }
  std::set<std::size_t> ended_once{ 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  const auto is_suspect = [&](const unscored_text& t) {
    return ended_once.contains(t.at);
  };
  const auto first = take_next(q, is_suspect);
  cr_assert(first->is_suspect);
  cr_assert_eq(first->text.at, 0);
  SECTION("all calls that are not suspect go beside it")
  {
    auto all = q;
    for (std::size_t at = ended_once.size(); at < texts; ++at) {
      const auto next = take_next(all, is_suspect);
      cr_assert_not(next->is_suspect);
      cr_assert_eq(next->text.at, at);
    }
    cr_assert_not(take_next(all, is_suspect).has_value());
    cr_assert_eq(all.waiting.size(), ended_once.size() - 1);
  }
  SECTION("the next suspect goes when it has ended")
  {
    on_suspect_finished(q);
    const auto next = take_next(q, is_suspect);
    cr_assert(next->is_suspect);
    cr_assert_eq(next->text.at, 1);
  }
  SECTION("a call that is no longer suspect does not wait")
  {
    ended_once.erase(1);
    cr_assert_not(take_next(q, is_suspect)->is_suspect);
  }
}

Test(score_queue, goes_in_the_order_they_came)
{
  score_queue q;
  cr_assert_not(take_next(q, nobody).has_value());
  add(q, { "a", 7 });
  add(q, { "b", 3 });
  cr_assert(take_next(q, nobody)->text == (unscored_text{ "a", 7 }));
  cr_assert(take_next(q, nobody)->text == (unscored_text{ "b", 3 }));
}
