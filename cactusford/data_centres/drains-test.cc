#include "cactusford/data_centres/drains.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::data_centres;

namespace {

drain_orders
unknown_orders()
{
  drain_orders d;
  d.is_known = false;
  return d;
}

drain_orders
orders_listing(const std::vector<order_object>& listed)
{
  auto d = unknown_orders();
  apply_list(d, listed);
  return d;
}

bool
is_change(const order_change& c,
          const std::string& data_centre,
          std::uint64_t revision,
          order_event what)
{
  return c == order_change{ data_centre, revision, what };
}

bool
reports(const std::optional<order_change>& change, order_event what)
{
  return change && change->what == what;
}

} // namespace

// Guards against work that an entry sends to a drained data centre because it
// has started and does not know the orders yet.
Test(drains, all_data_centres_count_as_drained_until_the_orders_are_known)
{
  const auto start = unknown_orders();
  cr_assert(is_drained(start, "north"));
  SECTION("a change alone does not tell which other orders exist")
  {
    auto d = start;
    apply_change(d, { "south", 4 });
    cr_assert(is_drained(d, "north"));
  }
  SECTION("an order that was present at the start applies from the list")
  {
    auto d = start;
    const auto changes = apply_list(d, { { "south", 4 } });
    cr_assert_eq(changes.size(), 1);
    cr_assert(is_change(changes[0], "south", 4, order_event::drained));
    cr_assert(is_drained(d, "south"));
    cr_assert_not(is_drained(d, "north"));
  }
  SECTION("without orders nothing is drained")
  {
    auto d = start;
    cr_assert(apply_list(d, {}).empty());
    cr_assert_not(is_drained(d, "north"));
  }
  SECTION("a deployment without orders knows them from the start")
  {
    cr_assert_not(is_drained(drain_orders{}, "north"));
  }
}

// Guards against a data centre that stays empty after its order was removed,
// or whose servers count as cold again because an order was repeated.
Test(drains, an_order_applies_until_it_is_removed)
{
  auto start = orders_listing({});
  cr_assert(reports(apply_change(start, { "south", 4 }), order_event::drained));
  SECTION("an order that is given twice is reported once")
  {
    auto d = start;
    cr_assert_not(apply_change(d, { "south", 4 }));
    cr_assert_not(apply_change(d, { "south", 6 }));
    cr_assert(is_drained(d, "south"));
    SECTION("and removed once")
    {
      cr_assert(
        reports(apply_change(d, { "south", 7, true }), order_event::undrained));
      cr_assert_not(apply_change(d, { "south", 7, true }));
      cr_assert_not(is_drained(d, "south"));
    }
  }
  SECTION("a removal may carry the revision of the order")
  {
    auto d = start;
    cr_assert(
      reports(apply_change(d, { "south", 6, true }), order_event::undrained));
    cr_assert_not(is_drained(d, "south"));
  }
  SECTION("the name of no data centre is kept, as one may be added")
  {
    auto d = start;
    apply_change(d, { "nowhere", 9 });
    cr_assert(is_drained(d, "nowhere"));
    cr_assert_not(is_drained(d, "north"));
  }
  SECTION("orders may cover all data centres")
  {
    auto d = start;
    apply_change(d, { "north", 9 });
    cr_assert(is_drained(d, "north") && is_drained(d, "south"));
  }
}

// Guards against an order that is in force forever, or lost: an answer to an
// earlier watch arrives late and repeats changes that others have followed.
Test(drains, outdated_changes_have_no_effect)
{
  const auto start = orders_listing({ { "south", 4 } });
  SECTION("the order, after its removal")
  {
    auto d = start;
    apply_change(d, { "south", 6, true });
    cr_assert_not(apply_change(d, { "south", 4 }));
    cr_assert_not(is_drained(d, "south"));
    SECTION("while a new order applies")
    {
      cr_assert(reports(apply_change(d, { "south", 8 }), order_event::drained));
      SECTION("and the earlier removal does not end it")
      {
        cr_assert_not(apply_change(d, { "south", 6, true }));
        cr_assert(is_drained(d, "south"));
      }
    }
  }
  SECTION("the order, after a list without it")
  {
    auto d = start;
    apply_list(d, {});
    cr_assert_not(apply_change(d, { "south", 4 }));
    cr_assert_not(is_drained(d, "south"));
  }
}

// Guards against orders that differ from those of the store after changes were
// missed: the watch was lost, or the store has dropped its history.
Test(drains, a_list_replaces_what_is_known)
{
  const auto start = orders_listing({ { "north", 3 }, { "south", 4 } });
  SECTION("an order was removed and another one given")
  {
    auto d = start;
    const auto changes = apply_list(d, { { "north", 3 }, { "west", 9 } });
    cr_assert_eq(changes.size(), 2);
    cr_assert(is_change(changes[0], "south", 4, order_event::undrained));
    cr_assert(is_change(changes[1], "west", 9, order_event::drained));
    cr_assert(is_drained(d, "north") && is_drained(d, "west"));
    cr_assert_not(is_drained(d, "south"));
  }
  SECTION("an order was given and removed: the list shows no trace of it")
  {
    auto d = start;
    cr_assert(apply_list(d, { { "north", 3 }, { "south", 4 } }).empty());
  }
  SECTION("an order was removed and given again")
  {
    auto d = start;
    cr_assert(apply_list(d, { { "north", 3 }, { "south", 9 } }).empty());
    cr_assert_not(apply_change(d, { "south", 7, true }));
    cr_assert(is_drained(d, "south"));
  }
}

// Guards against work in a drained data centre whose order somebody has
// overwritten with garbage.
Test(drains, unreadable_objects_count)
{
  const auto start = orders_listing({ { "south", 4 } });
  SECTION("a list in which even a name cannot be read removes no order")
  {
    auto d = start;
    cr_assert(apply_list(d, {}, false).empty());
    cr_assert(is_drained(d, "south"));
  }
  SECTION("an order without a readable revision")
  {
    auto d = start;
    apply_change(d, { "north", 0 });
    cr_assert(is_drained(d, "north"));
    cr_assert(
      reports(apply_change(d, { "north", 9, true }), order_event::undrained));
  }
  SECTION("a removal without a readable revision")
  {
    auto d = start;
    cr_assert(
      reports(apply_change(d, { "south", 0, true }), order_event::undrained));
  }
}

// Guards against memory that grows with names that somebody writes.
Test(drains, few_removals_are_remembered)
{
  auto d = orders_listing({});
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    apply_change(d, { "name-" + std::to_string(i), i, true });
  }
  cr_assert_eq(d.removed.size(), 256);
  cr_assert(d.removed.contains("name-1000"));
}
