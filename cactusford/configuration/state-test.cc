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
make_trainer(std::uint64_t version, double share, bool deleted = false)
{
  return { "trainer",
           "t",
           version,
           deleted,
           R"({"model":"m","share":)" + std::to_string(share) + "}",
           "" };
}

platform::object
make_instance(const std::string& name, const std::string& data_centre)
{
  return { "instance",
           name,
           1,
           false,
           R"({"role":"sidecar","data_centre":")" + data_centre +
             R"(","link":"127.0.0.1:1","state":"live"})",
           "" };
}

table<instance>
make_instances(std::size_t count)
{
  state s;
  for (std::size_t i = 0; i < count; ++i) {
    merge(s, std::vector{ make_instance("i" + std::to_string(i), "dc") });
  }
  return *s.view->instances;
}

} // namespace

// Guards against a delayed message with an older version of an object, which
// arrives over another path after the process has applied a newer version. The
// process must not revert to the older one.
Test(configuration, never_reverts)
{
  state s;
  merge(s, std::vector{ make_trainer(5, 0.5) });
  SECTION("an older or equal version is ignored")
  {
    cr_assert(merge(s, std::vector{ make_trainer(3, 0.1) }).empty());
    cr_assert(merge(s, std::vector{ make_trainer(5, 0.9) }).empty());
    cr_assert_eq(s.view->trainers->at("t").value.share, 0.5);
  }
  SECTION("a deletion is not undone by an older version")
  {
    merge(s, std::vector{ make_trainer(6, 0.5, true) });
    cr_assert(s.view->trainers->empty());
    cr_assert(merge(s, std::vector{ make_trainer(5, 0.5) }).empty());
    cr_assert(s.view->trainers->empty());
  }
  SECTION("a snapshot taken before a change does not change")
  {
    merge(s, std::vector{ make_trainer(8, 0.25) });
    const auto before = s.view;
    merge(s, std::vector{ make_trainer(9, 0.75) });
    cr_assert_eq(before->trainers->at("t").value.share, 0.25);
    cr_assert_eq(s.view->trainers->at("t").value.share, 0.75);
  }
}

// Guards against a drain order that is accepted with a misspelt field, or that
// a late message restores after its removal.
Test(configuration, drain_orders_are_checked_and_versioned)
{
  SECTION("the spec has at most a reason")
  {
    cr_assert(!check_declaration("drain", "hall-a", "{}"));
    cr_assert(!check_declaration("drain", "hall-a", R"({"reason":"cooling"})"));
    cr_assert(check_declaration("drain", "hall-a", R"({"until":"noon"})"));
    cr_assert(check_declaration("drain", "hall-a", R"({"reason":7})"));
    cr_assert(check_declaration("drain", "Hall A", "{}"));
  }
  SECTION("a reason survives the way through the store")
  {
    const drain d{ "cooling: \"north\"" };
    cr_assert(drain_from(to_spec(d)) == d);
    cr_assert(drain_from(to_spec(drain{})) == drain{});
  }
  SECTION("the newest version is in force")
  {
    state s;
    merge(s,
          std::vector<platform::object>{
            { "drain", "hall-a", 4, false, R"({"reason":"r"})", "" } });
    cr_assert_eq(s.view->drains->at("hall-a").version, 4);
    merge(s,
          std::vector<platform::object>{
            { "drain", "hall-a", 6, true, "{}", "" } });
    merge(s,
          std::vector<platform::object>{
            { "drain", "hall-a", 5, false, "{}", "" } });
    cr_assert(s.view->drains->empty());
  }
}

// Messages can be lost, repeated and reordered. Two processes that merged the
// same set of objects in any order must have the same state and digest.
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
      merge(a, std::vector{ make_trainer(v, 1, v % 3 == 0) });
    }
    for (const auto v : shuffled) {
      merge(b, std::vector{ make_trainer(v, 1, v % 3 == 0) });
      merge(b, std::vector{ make_trainer(v, 1, v % 3 == 0) });
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
    const auto instances = make_instances(count);
    std::size_t watchers = 0;
    for (const auto& [name, i] : instances) {
      auto current = name;
      std::size_t hops = 0;
      auto position = find_position(instances, current, "dc");
      watchers += position.is_watcher ? 1 : 0;
      while (!position.is_watcher) {
        cr_assert_lt(
          ++hops, 5, "%s does not reach a watcher in 4 hops", name.c_str());
        cr_assert(!position.parents.empty());
        current = position.parents.front();
        position = find_position(instances, current, "dc");
      }
    }
    cr_assert_eq(watchers, std::min(count, watchers_per_data_centre));
  }
}

// A new instance has started, but the platform's list does not contain it yet.
// It must still receive the configuration from a listed instance.
Test(tree, an_unlisted_instance_reads_from_a_listed_one)
{
  const auto instances = make_instances(12);
  const auto position = find_position(instances, "new", "dc");
  cr_assert(!position.is_watcher);
  cr_assert(!position.parents.empty());
  cr_assert(find_position({}, "new", "dc").is_watcher);
}

namespace {

// Specs that another writer stores unchecked under the kinds of the
// configuration.
std::vector<std::string>
odd_specs()
{
  constexpr std::size_t deep = 400'000;
  const std::string arrays = std::string(deep, '[') + std::string(deep, ']');
  std::vector<std::string> all{ "",      "nul", "null", "7",       "[]",
                                "\"x\"", "{",   arrays, "\xff\xfe" };
  for (const auto* key : { "model",
                           "share",
                           "deadline_ms",
                           "max_swapping_share",
                           "trainer",
                           "pool",
                           "groups",
                           "group_size",
                           "steps",
                           "version",
                           "reason",
                           "role",
                           "link",
                           "serves",
                           "state",
                           "data_centre",
                           "members",
                           "former" }) {
    for (const std::string value : { "null",
                                     "true",
                                     "-1",
                                     "0.5",
                                     "1e400",
                                     "1e308",
                                     "18446744073709551615",
                                     "18446744073709551616",
                                     "[]",
                                     "[7]",
                                     "[{}]",
                                     R"([{"instance":7}])",
                                     R"([{"instance":"i","since_ms":-1}])",
                                     R"([{"instance":"i","peers":[7]}])",
                                     "{}",
                                     R"("x")" }) {
      all.push_back("{\"" + std::string{ key } + "\":" + value + "}");
    }
    all.push_back("{\"" + std::string{ key } + "\":" + arrays + "}");
  }
  return all;
}

} // namespace

// Guards against entries and sidecars that end, each time they read the list
// again, because another writer stored one object of the wrong shape: the error
// was thrown past the thread that reads the configuration.
Test(configuration, leaves_out_what_another_writer_stored, .timeout = 60)
{
  state s;
  merge(s, std::vector{ make_trainer(1, 0.25), make_instance("i0", "dc") });
  std::uint64_t version = 10;
  for (const auto* kind : { "pool",
                            "service",
                            "trainer",
                            "rollout_job",
                            "weights",
                            "drain",
                            "instance",
                            "home_map" }) {
    for (const auto& spec : odd_specs()) {
      merge(s,
            std::vector{
              platform::object{ kind, "odd", ++version, false, spec, "" } });
    }
    merge(s,
          std::vector{
            platform::object{ kind, "odd", ++version, true, "[[[", "" } });
  }
  cr_assert_eq(s.view->trainers->at("t").value.share, 0.25);
  cr_assert(s.view->instances->contains("i0"));
  SECTION("later changes are followed")
  {
    merge(s, std::vector{ make_trainer(++version, 0.75) });
    cr_assert_eq(s.view->trainers->at("t").value.share, 0.75);
  }
  SECTION("the last readable value stays in force")
  {
    merge(s,
          std::vector{ platform::object{
            "trainer", "t", ++version, false, R"({"model":7})", "" } });
    cr_assert_eq(s.view->trainers->at("t").value.model, "m");
  }
  SECTION("values outside the declared bounds are left out")
  {
    merge(s,
          std::vector{ platform::object{
            "rollout_job",
            "j",
            ++version,
            false,
            R"({"trainer":"t","pool":"p","groups":4000000000})",
            "" } });
    cr_assert_not(s.view->jobs->contains("j"));
  }
}
