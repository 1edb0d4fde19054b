#include "cactusford/membership/directory.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::membership;
using nlohmann::json;

namespace {

constexpr std::uint64_t now = 10000;

member
member_of(const std::string& name, double capacity)
{
  return { name, name + ":1", capacity };
}

} // namespace

// 58 entries, 18 of them large. Whoever accepts a step must know some of the
// large ones without asking the store.
Test(directory, returns_the_largest_live_members)
{
  directory d;
  for (int i = 0; i < 40; ++i) {
    record(d, member_of("small-" + std::to_string(i), 0.09), now);
  }
  for (int i = 0; i < 18; ++i) {
    record(d, member_of("large-" + std::to_string(i), 0.5), now);
  }
  const auto found = largest(d, 6, now);
  cr_assert_eq(found.size(), 6);
  cr_assert(std::all_of(found.begin(), found.end(), [](const auto& m) {
    return m.capacity == 0.5;
  }));
  SECTION("among equal members the most recently started first")
  {
    auto fresh = member_of("large-9", 0.5);
    fresh.started_ms = 7;
    record(d, fresh, now);
    cr_assert_eq(largest(d, 6, now)[0], fresh);
  }
  SECTION("a member that announces its shutdown is no longer returned")
  {
    record(d, member_of(found[0].instance, 0), now);
    cr_assert(largest(d, 6, now)[0] != found[0]);
  }
  SECTION("a member that falls silent is no longer returned")
  {
    cr_assert(largest(d, 6, now + member_timeout_ms + 1).empty());
    record(d, member_of("new", 0.1), now + member_timeout_ms + 1);
    cr_assert_eq(d.all.size(), 1, "the silent members are removed");
  }
}

// Sidecars take turns by their rank, whatever their names are.
Test(directory, ranks_by_name)
{
  directory d;
  for (const auto* name : { "dora", "anna", "carl" }) {
    record(d, member_of(name, 1), now);
  }
  cr_assert_eq(rank_of(d, "anna"), 0);
  cr_assert_eq(rank_of(d, "dora"), 2);
  record(d, member_of("bert", 1), now);
  cr_assert_eq(rank_of(d, "dora"), 3);
}

// The six largest entries were all in two of three regions. An entry of the
// third region knew no other of its own, and gave its trainer's steps away.
Test(directory, reports_entries_of_every_region)
{
  directory d;
  for (int i = 0; i < 300; ++i) {
    auto m = member_of("big-" + std::to_string(i), 0.5);
    m.region = i % 2 == 0 ? "a" : "b";
    record(d, m, now);
  }
  auto lone = member_of("lone", 0.2);
  lone.region = "c";
  record(d, lone, now);
  const auto is_in = [](const std::vector<member>& all,
                        const std::string& who) {
    return std::any_of(
      all.begin(), all.end(), [&](const auto& m) { return m.instance == who; });
  };
  cr_assert(is_in(members_for_reply(d, {}, now), "lone"));
  SECTION("and those that were started most recently")
  {
    auto fresh = member_of("fresh", 0.4);
    fresh.region = "a";
    fresh.started_ms = 7;
    record(d, fresh, now);
    cr_assert(is_in(members_for_reply(d, {}, now), "fresh"));
  }
  SECTION("however many entries there are and leave")
  {
    const auto most = reply_limits{}.largest + reply_limits{}.recently_started +
                      reply_limits{}.departed;
    for (int i = 0; i < 100; ++i) {
      record(d, member_of("big-" + std::to_string(i), 0), now);
    }
    cr_assert_leq(members_for_reply(d, {}, now).size(), most);
  }
}

// Relays report departures to each other. If a report were dated when it
// arrives, two relays would keep it alive forever; and a late one must not hide
// the next incarnation.
Test(directory, remembers_where_members_left_for_some_seconds)
{
  directory d;
  auto m = member_of("a", 0.5);
  m.started_ms = 5;
  m.data_centre = "n1";
  record(d, m, now);
  auto left = m;
  left.capacity = 0;
  record(d, left, now);
  cr_assert(largest(d, 6, now).empty());
  cr_assert_eq(departures(d, now + 700).at(0).left_ms_ago, 700);
  cr_assert_eq(departures(d, now + 700).at(0).data_centre, "n1");
  cr_assert(departures(d, now + departure_memory_ms + 1).empty());
  SECTION("a report that is passed back keeps its age")
  {
    directory other;
    record(other, departures(d, now + 9000).at(0), now + 9000);
    cr_assert(departures(other, now + departure_memory_ms + 1).empty());
    record(d, departures(other, now + 9500).at(0), now + 9500);
    cr_assert(departures(d, now + departure_memory_ms + 1).empty());
  }
  SECTION("a late report doesn't hide the next incarnation")
  {
    auto again = m;
    again.started_ms = 6;
    record(d, again, now + 1000);
    left.left_ms_ago = 1000;
    record(d, left, now + 1000);
    cr_assert_eq(largest(d, 6, now + 1000).size(), 1);
  }
}

// Guards against batches that are handed to an entry that has left: the reply
// of a relay that was paused still names it.
Test(directory, ignores_reports_older_than_what_is_known)
{
  directory d;
  auto m = member_of("a", 0.5);
  m.started_ms = 5;
  SECTION("a member that has left does not come back")
  {
    auto left = m;
    left.capacity = 0;
    record(d, left, now);
    record(d, m, now + 500);
    cr_assert(largest(d, 6, now + 500).empty());
  }
  SECTION("an earlier incarnation does not replace the current one")
  {
    auto again = m;
    again.started_ms = 6;
    record(d, again, now);
    record(d, m, now + 500);
    cr_assert_eq(largest(d, 6, now + 500).at(0).started_ms, 6);
  }
  SECTION("the next incarnation is recorded after a departure")
  {
    auto left = m;
    left.capacity = 0;
    record(d, left, now);
    m.started_ms = 6;
    record(d, m, now + 500);
    cr_assert_eq(largest(d, 6, now + 500).size(), 1);
  }
  SECTION("an instance counts again once its departure is forgotten")
  {
    auto left = m;
    left.capacity = 0;
    record(d, left, now);
    record(d, m, now + departure_memory_ms + 1);
    cr_assert_eq(largest(d, 6, now + departure_memory_ms + 1).size(), 1);
  }
}

// An entry of an earlier version announces neither its data centre nor its
// region.
Test(directory, reads_members_without_a_data_centre)
{
  const json old = { { { "instance", "a" },
                       { "address", "a:1" },
                       { "capacity", 0.5 },
                       { "started_ms", 7 } } };
  const std::vector<member> expected{ { "a", "a:1", 0.5, 7 } };
  cr_assert(members_from(old) == expected);
  cr_assert_eq(encode(members_from(old)), old);
  auto placed = members_from(old);
  placed[0].data_centre = "n1";
  placed[0].region = "north";
  cr_assert(members_from(encode(placed)) == placed);
}

Test(directory, encodes_and_decodes_members)
{
  const std::vector<member> members{ member_of("a", 0.5),
                                     member_of("b", 0.09) };
  cr_assert(members_from(encode(members)) == members);
  auto broken = encode(members);
  broken.push_back({ { "instance", 1 } });
  broken.push_back("text");
  cr_assert(members_from(broken) == members, "malformed members are skipped");
  cr_assert(members_from(json::object()).empty());
}

// Guards against entries of an earlier build that cannot read a reply with the
// number of entries, and against a number assumed from a reply without it.
Test(directory, a_reply_may_state_the_number_of_entries)
{
  auto reply = cactusford::membership::encode({ { "a", "h:1", 1, 5 } });
  cr_assert_not(cactusford::membership::entry_count_from(reply));
  cactusford::membership::add_entry_count(reply, 22);
  cr_assert_eq(*cactusford::membership::entry_count_from(reply), 22);
  cr_assert_eq(cactusford::membership::members_from(reply).size(), 1);
  cr_assert_not(cactusford::membership::entry_count_from({ { "rank", 3 } }));
  cr_assert_not(cactusford::membership::entry_count_from("text"));
}
