#include "soak/invariant_checker.h"

#include "cactusford/testing/section.h"
#include "soak/plan.h"
#include "standins/stream_engine.h"

#include <criterion/criterion.h>

using namespace cactusford::soak;

namespace {

observed_result
complete_result(const std::string& item)
{
  return { item,
           true,
           cactusford::standins::stream_engine::text_of(item, events_per_item),
           "sig-score-" + item,
           { 1 } };
}

invariant_checker
make_checker()
{
  invariant_checker checker;
  checker.on_sent("b", { "x", "y" });
  checker.on_accepted("b");
  return checker;
}

} // namespace

Test(invariant_checker, accepts_a_complete_batch)
{
  auto checker = make_checker();
  checker.on_run("x", 5);
  checker.on_page("b", 10, 12, 0, { complete_result("x") });
  checker.on_page("b", 20, 22, 1, { complete_result("y") });
  checker.on_page(
    "b", 5000, 5001, 0, { complete_result("x"), complete_result("y") });
  checker.on_ended("b", 5002);
  checker.finish();
  cr_assert(checker.violations().empty());
}

// Violates each guarantee on purpose: a checker that cannot fail proves
// nothing.
Test(invariant_checker, reports_each_violation)
{
  const auto count_violations = [](auto&& observe) {
    auto checker = make_checker();
    observe(checker);
    return checker.violations().size();
  };
  cr_assert_eq(
    count_violations([](invariant_checker& checker) { checker.finish(); }),
    1,
    "incomplete batch");
  cr_assert_eq(
    count_violations([](invariant_checker& checker) {
      checker.on_page(
        "b", 1, 2, 0, { complete_result("x"), complete_result("x") });
    }),
    1,
    "item listed twice");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 auto truncated = complete_result("x");
                 truncated.text.pop_back();
                 checker.on_page("b", 1, 2, 0, { truncated });
               }),
               1,
               "truncated text");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_page("b", 1, 2, 0, { complete_result("x") });
                 checker.on_page("b", 1500, 1501, 0, { complete_result("y") });
               }),
               1,
               "changed result at a position");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_page("b", 1, 2, 0, { complete_result("x") });
                 checker.on_page("b", 1500, 1501, 0, {});
               }),
               1,
               "known result not returned");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_ended("b", 10);
                 checker.on_run("x", 4000);
               }),
               1,
               "ran after its batch was deleted");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_refused("b");
                 checker.on_run("x", 4000);
               }),
               1,
               "ran although refused");
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_missing("b", 1);
               }),
               1);
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_call_run("c");
                 checker.on_call_run("c");
               }),
               1);
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_call_answer("c", 503, "", "");
                 checker.on_call_run("c");
               }),
               1);
  cr_assert_eq(count_violations([](invariant_checker& checker) {
                 checker.on_call_answer("c", 200, "answer-d", "sig-d");
               }),
               1);
}

// Guards against a checker that overlooks a text of other versions than the
// result names.
Test(invariant_checker, reports_texts_of_other_versions)
{
  invariant_checker checker;
  checker.on_sent("b", { "x" }, true);
  auto result = complete_result("x");
  SECTION("one version generated all events")
  {
    checker.on_event("x", 1, 1);
    checker.on_event("x", 1, 2);
    checker.on_event("x", 2, 1);
    checker.on_page("b", 1, 2, 0, { result });
    cr_assert(checker.violations().empty());
  }
  SECTION("another one generated the last event")
  {
    checker.on_event("x", 3, 2);
    checker.on_page("b", 1, 2, 1, { result });
    cr_assert_eq(checker.violations().size(), 2, "also listed twice");
  }
  SECTION("a result names two")
  {
    result.versions = { 1, 2 };
    checker.on_sent("c", { "x" }, true);
    checker.on_page("c", 1, 2, 0, { result });
    cr_assert_eq(checker.violations().size(), 3);
  }
}

// Guards against a checker that overlooks an item that was given up too early.
Test(invariant_checker, reports_items_given_up_without_cause)
{
  invariant_checker checker;
  checker.on_sent("b", { "x" });
  for (std::uint32_t i = 0; i < attempts_per_item; ++i) {
    checker.on_failed_run("x");
  }
  SECTION("an item may be given up after that many errors")
  {
    checker.on_page("b", 1, 2, 0, { { "x", false, "", "", {} } });
    cr_assert(checker.violations().empty());
    cr_assert_eq(checker.given_up(), 1);
  }
  SECTION("they do not count for a later batch")
  {
    checker.on_sent("c", { "x" });
    checker.on_page("c", 1, 2, 0, { { "x", false, "", "", {} } });
    cr_assert_eq(checker.violations().size(), 1);
  }
}

// Guards against a checker that takes the end of one batch of an item for that
// of all.
Test(invariant_checker, allows_runs_of_items_that_were_submitted_again)
{
  invariant_checker checker;
  checker.on_sent("b", { "x" });
  checker.on_ended("b", 10);
  checker.on_sent("c", { "x" });
  checker.on_run("x", 5000);
  cr_assert(checker.violations().empty());
  checker.on_ended("c", 5000);
  checker.on_run("x", 9000);
  cr_assert_eq(checker.violations().size(), 1);
}

// Guards against a checker that overlooks a request to a drained data centre.
Test(invariant_checker, reports_requests_to_a_drained_data_centre)
{
  invariant_checker checker;
  checker.on_drained("b", 1000);
  SECTION("requests count only after the limit and in that data centre")
  {
    cr_assert(!checker.is_past_drain_limit("b", 6000));
    cr_assert(checker.is_past_drain_limit("b", 6001));
    cr_assert(!checker.is_past_drain_limit("a", 6001));
  }
  SECTION("a repeated order does not extend the limit")
  {
    checker.on_drained("b", 4000);
    cr_assert(checker.is_past_drain_limit("b", 6001));
  }
  SECTION("a request of a disturbed entry is no violation, others are")
  {
    checker.on_late_request("engine-1", "x", "entry-0", false);
    cr_assert(checker.violations().empty());
    checker.on_late_request("engine-1", "x", "entry-1", true);
    cr_assert_eq(checker.violations().size(), 1);
  }
  SECTION("nothing is late once the order is removed")
  {
    checker.on_undrained("b");
    cr_assert(!checker.is_past_drain_limit("b", 9000));
  }
}

// Guards against a checker that overlooks too many requests to a cold server.
Test(invariant_checker, reports_too_many_requests_to_a_cold_server)
{
  constexpr std::uint64_t limit = 14;
  invariant_checker checker;
  checker.on_cold("engine-0", 5000);
  const auto send = [&](std::uint64_t count, std::uint64_t at_ms) {
    for (std::uint64_t n = 0; n < count; ++n) {
      checker.on_request("engine-0", at_ms);
    }
    return checker.violations().size();
  };
  SECTION("the limit itself is allowed in each second")
  {
    cr_assert_eq(send(limit, 1000), 0);
    cr_assert_eq(send(limit, 2000), 0);
  }
  SECTION("seconds may start at any time")
  {
    cr_assert_eq(send(1, 2999), 1);
  }
  SECTION("a warm server has no limit")
  {
    cr_assert_eq(send(2 * limit, 5000), 1);
  }
}

Test(plan, is_the_same_for_the_same_seed)
{
  const plan_options options;
  const auto plan = make_plan(options);
  cr_assert(plan == make_plan(options));
  auto other = options;
  other.seed = 2;
  cr_assert(!(plan == make_plan(other)));
  SECTION("faults overlap")
  {
    std::size_t overlaps = 0;
    for (std::size_t i = 1; i < plan.size(); ++i) {
      overlaps +=
        plan[i].at_ms < plan[i - 1].at_ms + plan[i - 1].duration_ms ? 1 : 0;
    }
    cr_assert_gt(overlaps, plan.size() / 4);
  }
}
