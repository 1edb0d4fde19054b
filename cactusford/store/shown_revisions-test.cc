#include "cactusford/store/shown_revisions.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusford::store;

// Guards against objects that come back, or vanish, with an answer that is
// older than what was shown.
Test(shown_revisions, tell_outdated_changes)
{
  shown_revisions s;
  start_list(s, 10);
  record_change(s, "a", 5, false);
  SECTION("newer and repeated states are shown")
  {
    cr_assert_not(is_outdated(s, "a", 12, false));
    cr_assert_not(is_outdated(s, "a", 5, false));
    cr_assert_not(is_outdated(s, "b", 11, false));
  }
  SECTION("older states are outdated")
  {
    cr_assert(is_outdated(s, "a", 4, false));
  }
  SECTION("what the list does not contain had gone by then")
  {
    cr_assert(is_outdated(s, "b", 9, false));
    cr_assert(is_outdated(s, "b", 10, false));
  }
  SECTION("a removal may carry the revision of the removed object")
  {
    cr_assert_not(is_outdated(s, "a", 5, true));
    cr_assert(is_outdated(s, "a", 4, true));
  }
  SECTION("an unknown revision is never outdated")
  {
    cr_assert_not(is_outdated(s, "a", 0, false));
  }
  SECTION("a removed object comes back only with a newer state")
  {
    record_change(s, "a", 12, true);
    cr_assert(is_outdated(s, "a", 12, false));
    cr_assert_not(is_outdated(s, "a", 13, false));
    record_change(s, "a", 13, false);
    cr_assert(is_outdated(s, "a", 12, true));
    cr_assert_eq(s.removed_count, 0);
  }
}

// Guards against memory that grows with each object that is removed.
Test(shown_revisions, forget_the_oldest_removals)
{
  constexpr std::uint64_t count = 5000;
  shown_revisions s;
  for (std::uint64_t n = 1; n <= count; ++n) {
    record_change(s, "b" + std::to_string(n), n, true);
  }
  cr_assert_lt(s.objects.size(), count / 2);
  cr_assert_eq(s.objects.size(), s.removed_count);
  cr_assert(is_outdated(s, "b" + std::to_string(count), count, false));
}
