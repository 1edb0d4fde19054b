#include "soak/invariant_checker.h"

#include "cactusford/testing/section.h"
#include "soak/plan.h"
#include "standins/stream_engine.h"

#include <criterion/criterion.h>

using namespace cactusford::soak;

namespace {

seen_result
whole(const std::string& item)
{
  return { item,
           true,
           cactusford::standins::stream_engine::text_of(item, item_events),
           "sig-score-" + item };
}

judge
with_batch()
{
  judge j;
  j.on_sent("b", { "x", "y" });
  j.on_accepted("b");
  return j;
}

} // namespace

Test(judge, is_content_with_a_batch_that_is_whole)
{
  auto j = with_batch();
  j.on_run("x", 5);
  j.on_page("b", 10, 12, 0, { whole("x") });
  j.on_page("b", 20, 22, 1, { whole("y") });
  j.on_page("b", 5000, 5001, 0, { whole("x"), whole("y") });
  j.on_ended("b", 5002);
  j.finish();
  cr_assert(j.violations().empty());
}

// Each promise, broken on purpose: a judge that can't fail proves nothing.
Test(judge, sees_each_broken_promise)
{
  const auto broken = [](auto&& act) {
    auto j = with_batch();
    act(j);
    return j.violations().size();
  };
  cr_assert_eq(broken([](judge& j) { j.finish(); }), 1, "not whole");
  cr_assert_eq(broken([](judge& j) {
                 j.on_page("b", 1, 2, 0, { whole("x"), whole("x") });
               }),
               1,
               "twice");
  cr_assert_eq(broken([](judge& j) {
                 auto cut = whole("x");
                 cut.text.pop_back();
                 j.on_page("b", 1, 2, 0, { cut });
               }),
               1,
               "cut short");
  cr_assert_eq(broken([](judge& j) {
                 j.on_page("b", 1, 2, 0, { whole("x") });
                 j.on_page("b", 1500, 1501, 0, { whole("y") });
               }),
               1,
               "another result at a position");
  cr_assert_eq(broken([](judge& j) {
                 j.on_page("b", 1, 2, 0, { whole("x") });
                 j.on_page("b", 1500, 1501, 0, {});
               }),
               1,
               "denied");
  cr_assert_eq(broken([](judge& j) {
                 j.on_ended("b", 10);
                 j.on_run("x", 4000);
               }),
               1,
               "ran after its end");
  cr_assert_eq(broken([](judge& j) {
                 j.on_refused("b");
                 j.on_run("x", 4000);
               }),
               1,
               "ran though refused");
  cr_assert_eq(broken([](judge& j) { j.on_missing("b", 1); }), 1);
  cr_assert_eq(broken([](judge& j) {
                 j.on_call_run("c");
                 j.on_call_run("c");
               }),
               1);
  cr_assert_eq(broken([](judge& j) {
                 j.on_call_answer("c", 503, "", "");
                 j.on_call_run("c");
               }),
               1);
  cr_assert_eq(
    broken([](judge& j) { j.on_call_answer("c", 200, "answer-d", "sig-d"); }),
    1);
}

Test(plan, is_the_same_for_the_same_seed)
{
  const plan_options o;
  const auto plan = make_plan(o);
  cr_assert(plan == make_plan(o));
  auto other = o;
  other.seed = 2;
  cr_assert(!(plan == make_plan(other)));
  SECTION("faults overlap")
  {
    std::size_t overlaps = 0;
    for (std::size_t i = 1; i < plan.size(); ++i) {
      overlaps +=
        plan[i].at_ms < plan[i - 1].at_ms + plan[i - 1].for_ms ? 1 : 0;
    }
    cr_assert_gt(overlaps, plan.size() / 4);
  }
}
