#include "soak/change_checker.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::soak;

namespace {

constexpr change_bounds bounds{ 2000, 250 };

// Version 1 is confirmed at 0 ms, version 2 at 5,000 ms.
change_judge
with_two_versions()
{
  change_judge j{ bounds };
  j.on_confirmed(1, 0);
  j.on_confirmed(2, 5000);
  return j;
}

probe
served(std::uint64_t version, std::uint64_t sent_ms)
{
  return { "entry", 1, version, sent_ms, sent_ms + 5, true, true };
}

probe
denied(std::uint64_t version, std::uint64_t sent_ms)
{
  return { "entry", 1, version, sent_ms, sent_ms + 5, false, true };
}

} // namespace

Test(change_judge, is_content_with_changes_in_time)
{
  auto j = with_two_versions();
  j.on_answer(served(1, 4000));
  j.on_answer(denied(2, 6999));
  j.on_answer(served(1, 6999));
  j.on_answer(served(2, 7100));
  j.on_answer(denied(1, 7200));
  cr_assert_eq(j.violations().size(), 0);
}

// Guards against a soak that passes although entries serve late.
Test(change_judge, sees_a_change_that_is_late)
{
  auto j = with_two_versions();
  j.on_answer(denied(2, 7001));
  cr_assert_eq(j.violations().size(), 1);
  SECTION("and a route that should be gone")
  {
    j.on_answer(served(1, 7001));
    cr_assert_eq(j.violations().size(), 2);
  }
  SECTION("but not of a disturbed entry")
  {
    auto p = denied(2, 8000);
    p.was_undisturbed = false;
    j.on_answer(p);
    cr_assert_eq(j.violations().size(), 2);
  }
  SECTION("nor when the next version came meanwhile")
  {
    j.on_confirmed(3, 8002);
    j.on_answer(denied(2, 8000));
    cr_assert_eq(j.violations().size(), 2);
  }
}

// Guards against a soak that passes although an entry goes back.
Test(change_judge, sees_an_older_version_come_back)
{
  change_judge j{ { 0, 250 } };
  j.on_confirmed(1, 0);
  j.on_confirmed(2, 5000);
  j.on_answer(served(2, 5100));
  j.on_answer(served(1, 5200));
  cr_assert_eq(j.violations().size(), 0, "sent before the slack was over");
  j.on_answer(served(1, 5400));
  cr_assert_eq(j.violations().size(), 1);
  SECTION("another process of the entry starts anew")
  {
    auto p = served(1, 9000);
    p.life = 2;
    j.on_answer(p);
    cr_assert_eq(j.violations().size(), 1);
  }
}
