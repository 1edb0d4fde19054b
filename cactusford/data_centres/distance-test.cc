#include "cactusford/data_centres/distance.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::data_centres;

namespace {

const region_map regions{ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

distances
enabled()
{
  distances d;
  d.is_enabled = true;
  return d;
}

double
to(const distances& d, std::string_view data_centre)
{
  return round_trip_ms(d, regions, "a1", data_centre);
}

} // namespace

// A process that was busy while connections opened measured 90 ms to a data
// centre 1 ms away, and no call went there.
Test(distance, is_the_smallest_connect_time_of_a_minute)
{
  auto d = enabled();
  SECTION("before a measurement, the default of the class applies")
  {
    cr_assert_eq(to(d, "a1"), 0);
    cr_assert_eq(to(d, "a2"), 1);
    cr_assert_eq(to(d, "b1"), 20);
    cr_assert_eq(to(d, "unknown"), 20);
  }
  SECTION("the smallest time counts, in whatever order they come")
  {
    note_connect(d, "b1", 90, 1000);
    cr_assert_eq(to(d, "b1"), 90);
    note_connect(d, "b1", 60, 2000);
    note_connect(d, "b1", 75, 3000);
    cr_assert_eq(to(d, "b1"), 60);
  }
  SECTION("the smallest of the others counts when it is a minute old")
  {
    note_connect(d, "b1", 80, 62'001);
    cr_assert_eq(to(d, "b1"), 75);
  }
  SECTION("without newer measurements the last one stays")
  {
    cr_assert_eq(to(d, "b1"), 75);
    note_connect(d, "b1", 85, 400'000);
    cr_assert_eq(to(d, "b1"), 85);
  }
}

// An instance opens thousands of connections in a minute, each slower than the
// one before.
Test(distance, keeps_few_measurements)
{
  auto d = enabled();
  for (std::uint64_t i = 0; i < 100'000; ++i) {
    note_connect(d, "b1", 1 + static_cast<double>(i), i);
  }
  cr_assert_leq(d.measured.at("b1").size(), 61);
  cr_assert_eq(to(d, "b1"), 40'001);
}

// Deployments of one region choose servers as before.
Test(distance, is_zero_where_it_is_not_enabled)
{
  distances d;
  note_connect(d, "b1", 60, 0);
  cr_assert_eq(to(d, "b1"), 0);
  cr_assert_eq(to(d, "a2"), 0);
}
