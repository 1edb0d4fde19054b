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

// A server has ended under ten scorer's calls, of which one ends every server
// that runs it. Sent together they would meet again at the next server, and end
// with it; each time all ten would be one step nearer to being kept out.
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
  SECTION("all others go beside it")
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
  SECTION("when it has ended, the next one goes")
  {
    on_suspect_finished(q);
    const auto next = take_next(q, is_suspect);
    cr_assert(next->is_suspect);
    cr_assert_eq(next->text.at, 1);
  }
  SECTION("one that has been answered meanwhile waits for nobody")
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
