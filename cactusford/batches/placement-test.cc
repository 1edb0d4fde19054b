#include "cactusford/batches/placement.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::batches;
using cactusford::membership::member;

namespace {

constexpr std::uint64_t now = 10000;

member
member_of(const std::string& name, double capacity)
{
  return { name, name + ":1", capacity };
}

runner
runner_of(const std::string& name, double capacity, std::uint64_t accepted)
{
  return { member_of(name, capacity), accepted, now - 100 };
}

placement_view
view_of(const member& self, std::vector<runner> trainer_runners)
{
  placement_view v;
  v.self = self;
  v.trainer_runners = std::move(trainer_runners);
  v.now_ms = now;
  return v;
}

} // namespace

// Each step of a trainer reaches a different entry. An entry that runs a step
// for the first time opens a hundred connections; the entry that ran the
// previous step already has them.
Test(placement, keeps_the_steps_of_a_trainer_together)
{
  const auto self = member_of("self", 0.2);
  const std::vector<runner> steps{ runner_of("a", 0.2, 4000),
                                   runner_of("b", 0.2, 8000) };
  cr_assert_eq(choose_runner(view_of(self, steps)).instance, "b");
  SECTION("a first step stays where it arrives")
  {
    cr_assert_eq(choose_runner(view_of(self, {})), self);
  }
}

// Entries have between 0.09 and 0.5 of a core. Steps should end up on large
// ones.
Test(placement, moves_to_larger_entries)
{
  const std::vector<runner> small{ runner_of("small", 0.09, 4000) };
  const std::vector<runner> large{ runner_of("large", 0.5, 4000) };
  const auto big = member_of("self", 0.5);
  cr_assert_eq(choose_runner(view_of(big, small)), big);
  const auto little = member_of("self", 0.09);
  cr_assert_eq(choose_runner(view_of(little, large)).instance, "large");
}

// Of 58 entries 18 are large, and submissions reach any of them, so four out of
// five reach a small one. When small entries chose only among themselves, all
// steps of a trainer ran on 0.09 of a core while 18 entries with 0.5 were idle.
Test(placement, finds_a_large_entry_from_a_small_one)
{
  auto v = view_of(member_of("self", 0.09), { runner_of("small", 0.09, 4000) });
  v.largest_entries = { member_of("big-1", 0.5), member_of("big-2", 0.5) };
  const auto first = choose_runner(v);
  cr_assert_eq(first.capacity, 0.5);
  SECTION("two trainers do not share one")
  {
    v.busy_instances = { first.instance };
    cr_assert_eq(choose_runner(v).capacity, 0.5);
    cr_assert_neq(choose_runner(v).instance, first.instance);
  }
  SECTION(
    "two trainers share one if there are more trainers than large entries")
  {
    v.busy_instances = { "big-1", "big-2", "self" };
    cr_assert_eq(choose_runner(v), first);
  }
  SECTION("simultaneous first steps of several trainers are spread")
  {
    auto fresh = v;
    fresh.busy_instances.clear();
    std::set<std::string> chosen;
    for (const auto* trainer : { "/a/", "/b/", "/c/", "/d/", "/e/", "/f/" }) {
      fresh.trainer = trainer;
      chosen.insert(choose_runner(fresh).instance);
    }
    cr_assert_eq(chosen.size(), 2);
  }
  SECTION("steps do not move for a small gain")
  {
    v.trainer_runners = { runner_of("medium", 0.4, 4000) };
    cr_assert_eq(choose_runner(v).instance, "medium");
  }
  SECTION("steps do not move from one large entry to another")
  {
    v.self = member_of("self", 0.5);
    v.trainer_runners = { runner_of("big-2", 0.5, 4000) };
    cr_assert_eq(choose_runner(v).instance, "big-2");
  }
}

// The entry that runs the trainer's steps is killed. If it were given the next
// step, that step would have to wait for the takeover as well.
Test(placement, does_not_give_work_to_a_silent_entry)
{
  auto gone = runner_of("gone", 0.5, 4000);
  gone.seen_ms = now - 1000;
  const auto self = member_of("self", 0.1);
  cr_assert_eq(choose_runner(view_of(self, { gone })), self);
}

// 58 entries are restarted one after the other. If a step is handed to an entry
// that is stopped next, it is moved again and again and ends seconds late.
Test(placement, hands_over_to_the_first_known_entry)
{
  auto v = view_of(member_of("self", 0.5), {});
  cr_assert_not(choose_successor(v), "no other entry is known");
  v.largest_entries = { member_of("self", 0.5),
                        member_of("young", 0.5),
                        member_of("old", 0.5) };
  cr_assert_eq(choose_successor(v)->instance, "young");
  v.busy_instances = { "young" };
  cr_assert_eq(choose_successor(v)->instance, "old");
  v.busy_instances = { "young", "old" };
  cr_assert_eq(choose_successor(v)->instance, "young");
}

namespace {

member
member_at(const std::string& name,
          const std::string& data_centre,
          const std::string& region,
          std::uint64_t started_ms = 1000)
{
  return { name, name + ":1", 0.5, started_ms, data_centre, region };
}

placement_view
view_over_data_centres(std::vector<member> others)
{
  placement_view v;
  v.self = member_at("self", "n1", "north");
  v.self.capacity = 0.1;
  v.now_ms = now;
  v.largest_entries = std::move(others);
  v.data_centres.is_enabled = true;
  v.data_centres.wall_ms = 200000;
  return v;
}

} // namespace

// Two trainers' owners in one data centre are lost together, and an owner in
// another region is 30 ms away from its trainer.
Test(placement, spreads_owners_over_the_data_centres_of_the_region)
{
  auto v = view_over_data_centres({ member_at("far", "s1", "south"),
                                    member_at("a", "n1", "north"),
                                    member_at("b", "n2", "north") });
  v.largest_entries[0].capacity = 0.6;
  v.data_centres.busy = { "n1" };
  cr_assert_eq(choose_runner(v).instance, "b");
  SECTION(
    "a drained data centre is used only if no other entry is large enough")
  {
    v.data_centres.drained = { "n2" };
    cr_assert_eq(choose_runner(v).instance, "a");
    v.data_centres.drained = { "n1", "n2" };
    cr_assert_eq(choose_runner(v).instance, "far");
    v.data_centres.drained = { "n1", "n2", "s1" };
    cr_assert_eq(choose_runner(v).instance, "b");
  }
  SECTION("the runner of the previous batch is kept")
  {
    v.trainer_runners = { { v.largest_entries[0], 4000, now - 100 } };
    cr_assert_eq(choose_runner(v).instance, "far");
    v.data_centres.drained = { "s1" };
    cr_assert_eq(choose_runner(v).instance, "b");
  }
  SECTION("an entry that is shutting down gets no batch")
  {
    v.data_centres.departures = { v.largest_entries[2] };
    cr_assert_eq(choose_runner(v).instance, "a");
  }
  SECTION("a small entry of the region is not large enough")
  {
    v.largest_entries.resize(1);
    cr_assert_eq(choose_runner(v).instance, "far");
  }
}

// A batch was handed over to an entry in another region, and to entries that
// were stopped next.
Test(placement, hands_over_in_the_region_to_an_entry_that_was_restarted)
{
  auto v = view_over_data_centres({ member_at("far", "s1", "south", 190000),
                                    member_at("a", "n1", "north"),
                                    member_at("b", "n2", "north"),
                                    member_at("c", "n1", "north", 195000) });
  cr_assert_eq(choose_successor(v)->instance, "c");
  cr_assert_eq(reason_for(v, *choose_successor(v)), "restarted");
  SECTION("clocks differ: the first entries started within some seconds")
  {
    v.largest_entries[3].started_ms = 9000;
    cr_assert_eq(choose_successor(v)->instance, "b", "of another data centre");
    cr_assert_eq(reason_for(v, *choose_successor(v)), "other_data_centre");
  }
  SECTION("an earlier rolling stop tells nothing about this one")
  {
    v.data_centres.wall_ms = 300000;
    cr_assert_eq(choose_successor(v)->instance, "b");
  }
  SECTION("stops were seen in the other data centre too")
  {
    v.largest_entries.pop_back();
    v.data_centres.departures = { member_at("d", "n2", "north") };
    cr_assert_eq(reason_for(v, *choose_successor(v)), "largest");
  }
  SECTION("an entry that runs no other trainer's batches comes first")
  {
    v.busy_instances = { "c" };
    cr_assert_eq(choose_successor(v)->instance, "b");
  }
  SECTION("a region without another entry")
  {
    v.largest_entries.resize(1);
    cr_assert_eq(choose_successor(v)->instance, "far");
    v.data_centres.departures = { v.largest_entries[0] };
    cr_assert_not(choose_successor(v));
  }
}

// With one data centre, or with the switch off, the rules must change nothing:
// for the same knowledge the choices are those of the earlier versions.
Test(placement, is_unchanged_without_rules_for_data_centres)
{
  auto v = view_over_data_centres({ member_at("far", "s1", "south", 190000),
                                    member_at("a", "n1", "north"),
                                    member_at("c", "n2", "north", 195000) });
  v.data_centres.busy = { "s1", "n1" };
  v.data_centres.drained = { "s1" };
  v.data_centres.departures = { v.largest_entries[0] };
  v.data_centres.is_enabled = false;
  auto plain = v;
  plain.data_centres = {};
  for (auto& m : plain.largest_entries) {
    m = { m.instance, m.address, m.capacity, m.started_ms };
  }
  for (const auto* trainer : { "/a/", "/b/", "/c/", "/d/" }) {
    v.trainer = plain.trainer = trainer;
    cr_assert_eq(choose_runner(v).instance, choose_runner(plain).instance);
    cr_assert_eq(choose_successor(v)->instance, "far");
    v.busy_instances = plain.busy_instances = { "far" };
    cr_assert_eq(choose_runner(v).instance, choose_runner(plain).instance);
    cr_assert_eq(choose_successor(v)->instance, "a");
    v.busy_instances = plain.busy_instances = {};
  }
}

// The process is killed before the batch is handed over.
Test(placement, hands_over_before_the_process_is_killed)
{
  cr_assert_eq(handover_delay_ms(8000), 4000);
  cr_assert_eq(handover_delay_ms(5000), 1500);
  cr_assert_eq(handover_delay_ms(3000), 0);
}
