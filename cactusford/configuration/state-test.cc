#include "cactusford/configuration/state.h"

#include "cactusford/configuration/tree.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace cactusford;
using namespace cactusford::configuration;

namespace {

platform::object
trainer_at(std::uint64_t version, double share, bool deleted = false)
{
  return { "trainer",
           "t",
           version,
           deleted,
           R"({"model":"m","share":)" + std::to_string(share) + "}",
           "" };
}

platform::object
instance_in(const std::string& name, const std::string& centre)
{
  return { "instance",
           name,
           1,
           false,
           R"({"role":"sidecar","data_centre":")" + centre +
             R"(","link":"127.0.0.1:1","state":"live"})",
           "" };
}

table<instance>
fleet_of(std::size_t count)
{
  state s;
  for (std::size_t i = 0; i < count; ++i) {
    merge(s, std::vector{ instance_in("i" + std::to_string(i), "dc") });
  }
  return *s.view->instances;
}

} // namespace

// An operator's change is in force; then an older version of the same object
// arrives late, over another path. The process must not go back to it.
Test(configuration, never_reverts)
{
  state s;
  merge(s, std::vector{ trainer_at(5, 0.5) });
  SECTION("an older or equal version is passed over")
  {
    cr_assert(merge(s, std::vector{ trainer_at(3, 0.1) }).empty());
    cr_assert(merge(s, std::vector{ trainer_at(5, 0.9) }).empty());
    cr_assert_eq(s.view->trainers->at("t").value.share, 0.5);
  }
  SECTION("a deletion is a version like any other and stays")
  {
    merge(s, std::vector{ trainer_at(6, 0.5, true) });
    cr_assert(s.view->trainers->empty());
    cr_assert(merge(s, std::vector{ trainer_at(5, 0.5) }).empty());
    cr_assert(s.view->trainers->empty());
  }
  SECTION("a snapshot that was taken before does not change")
  {
    merge(s, std::vector{ trainer_at(8, 0.25) });
    const auto before = s.view;
    merge(s, std::vector{ trainer_at(9, 0.75) });
    cr_assert_eq(before->trainers->at("t").value.share, 0.25);
    cr_assert_eq(s.view->trainers->at("t").value.share, 0.75);
  }
}

// Messages are lost, repeated and reordered on the way. Two processes that
// took in the same set in any order hold the same state and digest.
Test(configuration, property_order_does_not_matter)
{
  const bool ok = rc::check("order does not matter", [] {
    const auto versions =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 20)));
    auto shuffled = versions;
    const auto swaps = *rc::gen::container<std::vector<std::size_t>>(
      versions.size(), rc::gen::inRange<std::size_t>(0, versions.size()));
    for (std::size_t i = 0; i < swaps.size(); ++i) {
      std::swap(shuffled[i], shuffled[swaps[i]]);
    }
    state a;
    state b;
    for (const auto v : versions) {
      merge(a, std::vector{ trainer_at(v, 1, v % 3 == 0) });
    }
    for (const auto v : shuffled) {
      merge(b, std::vector{ trainer_at(v, 1, v % 3 == 0) });
      merge(b, std::vector{ trainer_at(v, 1, v % 3 == 0) });
    }
    RC_ASSERT(a.digest == b.digest);
    RC_ASSERT(a.max_version == b.max_version);
    RC_ASSERT(*a.view->trainers == *b.view->trainers);
  });
  cr_assert(ok);
}

Test(tree, every_instance_reaches_a_watcher)
{
  for (const std::size_t count : { 1U, 2U, 3U, 4U, 30U, 400U }) {
    const auto fleet = fleet_of(count);
    std::size_t watchers = 0;
    for (const auto& [name, i] : fleet) {
      auto at = name;
      std::size_t hops = 0;
      auto p = find_position(fleet, at, "dc");
      watchers += p.is_watcher ? 1 : 0;
      while (!p.is_watcher) {
        cr_assert_lt(++hops, 5, "no way to a watcher from %s", name.c_str());
        cr_assert(!p.parents.empty());
        at = p.parents.front();
        p = find_position(fleet, at, "dc");
      }
    }
    cr_assert_eq(watchers, std::min(count, watchers_per_data_centre));
  }
}

// A replacement has started, but the platform's list does not show it yet. It
// must still learn the configuration from somebody.
Test(tree, an_unlisted_instance_reads_from_a_listed_one)
{
  const auto fleet = fleet_of(12);
  const auto p = find_position(fleet, "new", "dc");
  cr_assert(!p.is_watcher);
  cr_assert(!p.parents.empty());
  cr_assert(find_position({}, "new", "dc").is_watcher);
}
