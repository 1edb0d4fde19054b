#include "cactusford/store/paths.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::store;

// The store turns this instance away for seconds and serves the others. Results
// must be listed meanwhile: calls go through a relay.
Test(paths, goes_round_a_direct_path_that_is_closed)
{
  auto t = make_paths(2);
  cr_assert_eq(*next_path(t, {}, 0), direct_path);
  note_path(t, direct_path, path_end::failed, 0);
  cr_assert_eq(*next_path(t, { direct_path }, 0), 1);
  note_path(t, 1, path_end::answered, 5);
  cr_assert_eq(*next_path(t, {}, 10), 1, "the next call starts there");
  cr_assert_eq(*next_path(t, {}, 1600), direct_path, "and direct again later");
}

// The relay that is listed first has been removed for good. Once, each call
// waited half a second for it, and never came back to the direct path.
Test(paths, passes_over_a_relay_that_is_gone)
{
  auto t = make_paths(2);
  note_path(t, direct_path, path_end::failed, 0);
  note_path(t, 1, path_end::failed, 0);
  cr_assert_eq(*next_path(t, {}, 10), 2);
  SECTION("with every path bad, the one that is due first")
  {
    note_path(t, 2, path_end::failed, 0);
    cr_assert_eq(*next_path(t, {}, 10), direct_path);
  }
}

// Sidecars learn weight versions through relays, which join their watches. The
// relays are spread, and the direct path remains.
Test(paths, begins_with_a_relay_where_that_is_wished)
{
  auto t = make_paths(2, 2);
  cr_assert_eq(*next_path(t, {}, 0), 2);
  cr_assert_eq(*next_path(t, { 2 }, 0), direct_path);
  cr_assert_eq(*next_path(t, { 2, direct_path }, 0), 1);
}

// The store is down for everybody. Tries through relays would be three priced
// calls in place of one, and find nothing.
Test(paths, makes_one_try_while_the_store_is_away_for_all)
{
  auto t = make_paths(2);
  note_path(t, direct_path, path_end::failed, 0);
  note_path(t, 1, path_end::store_away, 0);
  note_path(t, 2, path_end::store_away, 0);
  cr_assert_not(next_path(t, { direct_path, 1 }, 1));
  cr_assert_eq(*next_path(t, {}, 100), direct_path);
  cr_assert_not(next_path(t, { direct_path }, 100));
  SECTION("until it answers")
  {
    note_path(t, direct_path, path_end::answered, 200);
    cr_assert(next_path(t, { direct_path }, 201).has_value());
  }
}

// A partition cuts eight of twenty entries off the store, two of the three
// relays among them. The first relay says that it does not reach the store.
// Taken for an outage, it was asked again and again, and an owner that had all
// results of a step whole could list none of them for twelve seconds.
Test(paths, goes_round_relays_that_are_cut_off_too)
{
  auto t = make_paths(3);
  note_path(t, direct_path, path_end::failed, 0);
  note_path(t, 1, path_end::store_away, 1);
  cr_assert_eq(*next_path(t, { direct_path, 1 }, 2), 2);
  note_path(t, 2, path_end::store_away, 2);
  cr_assert_not(next_path(t, { direct_path, 1, 2 }, 3), "three tries a call");
  SECTION("the next call goes on where this one ended")
  {
    cr_assert_eq(*next_path(t, {}, 3), 3);
    note_path(t, 3, path_end::answered, 4);
    cr_assert_eq(*next_path(t, {}, 5), 3);
  }
  SECTION("and to relays that were learned meanwhile")
  {
    note_path(t, 3, path_end::failed, 4);
    add_path(t);
    cr_assert_eq(*next_path(t, {}, 5), 4);
  }
}
