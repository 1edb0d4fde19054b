#include "soak/change_checker.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::soak;

namespace {

constexpr change_limits limits{ 2000, 250 };

// Version 1 is confirmed at 0 ms and version 2 at 5,000 ms.
change_checker
make_checker()
{
  change_checker checker{ limits };
  checker.on_confirmed(1, 0);
  checker.on_confirmed(2, 5000);
  return checker;
}

probe
served(std::uint64_t version, std::uint64_t sent_ms)
{
  return { "entry", 1, version, sent_ms, sent_ms + 5, true, true };
}

probe
not_found(std::uint64_t version, std::uint64_t sent_ms)
{
  return { "entry", 1, version, sent_ms, sent_ms + 5, false, true };
}

} // namespace

Test(change_checker, accepts_timely_changes)
{
  auto checker = make_checker();
  checker.on_answer(served(1, 4000));
  checker.on_answer(not_found(2, 6999));
  checker.on_answer(served(1, 6999));
  checker.on_answer(served(2, 7100));
  checker.on_answer(not_found(1, 7200));
  cr_assert_eq(checker.violations().size(), 0);
}

// Guards against a soak test that passes although entries adopt changes late.
Test(change_checker, reports_a_late_change)
{
  auto checker = make_checker();
  checker.on_answer(not_found(2, 7001));
  cr_assert_eq(checker.violations().size(), 1);
  SECTION("a removed route that is still served")
  {
    checker.on_answer(served(1, 7001));
    cr_assert_eq(checker.violations().size(), 2);
  }
  SECTION("a disturbed entry is exempt")
  {
    auto p = not_found(2, 8000);
    p.was_undisturbed = false;
    checker.on_answer(p);
    cr_assert_eq(checker.violations().size(), 2);
  }
  SECTION("a newer version was confirmed before the response")
  {
    checker.on_confirmed(3, 8002);
    checker.on_answer(not_found(2, 8000));
    cr_assert_eq(checker.violations().size(), 2);
  }
}

// Guards against a soak test that passes although an entry reverts.
Test(change_checker, reports_a_return_to_an_older_version)
{
  change_checker checker{ { 0, 250 } };
  checker.on_confirmed(1, 0);
  checker.on_confirmed(2, 5000);
  checker.on_answer(served(2, 5100));
  checker.on_answer(served(1, 5200));
  cr_assert_eq(checker.violations().size(), 0, "sent within the slack");
  checker.on_answer(served(1, 5400));
  cr_assert_eq(checker.violations().size(), 1);
  SECTION("a new process of the entry may start with an older version")
  {
    auto p = served(1, 9000);
    p.incarnation = 2;
    checker.on_answer(p);
    cr_assert_eq(checker.violations().size(), 1);
  }
}
