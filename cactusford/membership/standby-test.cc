#include "cactusford/membership/standby.h"

#include "cactusford/membership/directory.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>

using namespace cactusford::membership;

namespace {

constexpr std::uint64_t now_ms = 100'000;
constexpr std::size_t relays = 3;
constexpr std::size_t named_in_reply = 6;

// The standbys of a fleet in which each relay hears from a third of the
// entries, one in five of which is large.
std::vector<member>
standbys_among(std::size_t entries)
{
  std::vector<directory> heard(relays);
  std::vector<member> all;
  for (std::size_t i = 0; i < entries; ++i) {
    const double capacity = i % 5 == 0 ? 1.0 : 0.09;
    all.push_back({ "entry-" + std::to_string(i), "", capacity, i });
    record(heard[i % relays], all.back(), now_ms);
  }
  std::vector<member> standbys;
  for (std::size_t i = 0; i < entries; ++i) {
    const auto named = largest(heard[i % relays], named_in_reply, now_ms);
    const bool is_named =
      std::any_of(named.begin(), named.end(), [&](const auto& m) {
        return m.instance == all[i].instance;
      });
    const standby_state s{ i < relays, now_ms, is_named ? now_ms : 0 };
    if (is_standby(s, now_ms)) {
      standbys.push_back(all[i]);
    }
  }
  return standbys;
}

} // namespace

// Owners of open batches were probed by every entry: with 407 entries and six
// owners 8,000 times a second, and an owner's death led to a conditional write
// by each entry that had not seen the first one.
Test(standby, probes_of_an_owner_do_not_grow_with_the_fleet)
{
  constexpr std::size_t most = relays * (named_in_reply + 1);
  constexpr double second_ms = 1000;
  for (const std::size_t entries : { 30U, 300U, 2000U }) {
    const auto standbys = standbys_among(entries);
    const auto often = static_cast<double>(standbys.size()) * second_ms /
                       static_cast<double>(schedule_of(true).interval_ms);
    const auto rarely = static_cast<double>(entries - standbys.size()) *
                        second_ms /
                        static_cast<double>(schedule_of(false).interval_ms);
    std::printf("    %zu entries: %zu standbys, an owner answers %.0f probes a "
                "second\n",
                entries,
                standbys.size(),
                often + rarely);
    cr_expect_leq(standbys.size(), most);
    cr_expect_geq(standbys.size(), named_in_reply);
    const auto named =
      std::count_if(standbys.begin(), standbys.end(), [](const auto& m) {
        return m.capacity == 1.0;
      });
    cr_expect_geq(static_cast<std::size_t>(named),
                  std::min(named_in_reply, entries / 5));
  }
  SECTION("a small deployment has standbys only")
  {
    cr_assert_eq(standbys_among(6).size(), 6);
  }
}

// All standbys die together with an owner, or the relays die and nobody names
// them anew. Guards against batches that nobody takes over.
Test(standby, others_take_over_if_no_standby_does)
{
  SECTION("an entry without a relay is a standby")
  {
    cr_assert(is_standby({ false, 0, 0 }, now_ms));
    cr_assert(is_standby({ false, now_ms - 10'000, 0 }, now_ms));
  }
  SECTION("an entry that is no longer named is none")
  {
    cr_assert(is_standby({ false, now_ms, now_ms - 1000 }, now_ms));
    cr_assert_not(is_standby({ false, now_ms, now_ms - 10'000 }, now_ms));
  }
  SECTION("the others wait until the standbys have had their time")
  {
    const auto often = schedule_of(true);
    const auto rarely = schedule_of(false);
    cr_assert_gt(rarely.silent_ms, often.silent_ms + rarely.interval_ms);
    cr_assert_gt(rarely.refused_ms, often.refused_ms + rarely.interval_ms);
    cr_assert_gt(rarely.released_ms, often.released_ms);
  }
}
