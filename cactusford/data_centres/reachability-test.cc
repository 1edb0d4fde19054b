// Tests of the decision that a whole data centre does not answer.
#include "cactusford/data_centres/reachability.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::data_centres;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::size_t servers = 16;

reachability
make(std::string own = "a")
{
  reachability r;
  r.is_enabled = true;
  r.own = std::move(own);
  return r;
}

std::string
server_name(std::size_t i)
{
  return "server-" + std::to_string(i);
}

// A connection that was not accepted within 250 ms.
void
fail(reachability& r,
     std::string_view data_centre,
     std::size_t server,
     std::uint64_t now,
     std::uint64_t after_ms = 250,
     std::size_t of = servers)
{
  note_silence(
    r, data_centre, { server_name(server), now - after_ms, now }, of);
}

void
lose(reachability& r, std::string_view data_centre, std::uint64_t now)
{
  fail(r, data_centre, 0, now);
  fail(r, data_centre, 1, now);
}

} // namespace

// Guards against detecting a lost data centre server by server: each of 16
// engines would cost the work that was sent to it.
Test(reachability, a_silent_data_centre_is_unreachable)
{
  SECTION("two servers that fail within 400 ms are enough")
  {
    auto r = make();
    note_answer(r, "b", start_ms);
    fail(r, "b", 0, start_ms + 300);
    cr_assert(is_reachable(r, "b", start_ms + 300));
    fail(r, "b", 1, start_ms + 700);
    cr_assert_not(is_reachable(r, "b", start_ms + 700));
    cr_assert(is_reachable(r, "c", start_ms + 700));
    cr_assert_eq(count_unreachable(r), 1);
    SECTION("the change is reported once")
    {
      const std::vector<reachability_change> expected{ { "b", false, 2, 0 } };
      cr_assert(take_changes(r) == expected);
      fail(r, "b", 2, start_ms + 710);
      cr_assert(take_changes(r).empty());
    }
    SECTION("runs without an event since the first failure are stranded")
    {
      cr_assert(is_stranded(r, "b", start_ms + 300));
      cr_assert_not(is_stranded(r, "b", start_ms + 301));
      cr_assert_not(is_stranded(r, "c", start_ms));
    }
  }
  SECTION("the same server failing twice is not")
  {
    auto r = make();
    fail(r, "b", 0, start_ms);
    fail(r, "b", 0, start_ms + 10);
    cr_assert(is_reachable(r, "b", start_ms + 10));
  }
  SECTION("nor are two that fail farther apart")
  {
    auto r = make();
    fail(r, "b", 0, start_ms);
    fail(r, "b", 1, start_ms + 401);
    cr_assert(is_reachable(r, "b", start_ms + 401));
  }
  SECTION("the last answer may be later than the last event of another stream")
  {
    auto r = make();
    note_answer(r, "b", start_ms);
    note_silence(
      r, "b", { server_name(0), start_ms - 40, start_ms + 210 }, servers);
    note_silence(
      r, "b", { server_name(1), start_ms - 90, start_ms + 210 }, servers);
    cr_assert_not(is_reachable(r, "b", start_ms + 210));
  }
}

// Guards against giving up a data centre in which five of 16 servers crash,
// hang or load weights at once.
Test(reachability, failures_of_single_servers_change_nothing)
{
  auto r = make();
  for (std::size_t i = 0; i < 50; ++i) {
    const auto now = start_ms + i * 40;
    fail(r, "b", i % 5, now);
    note_answer(r, "b", now + 20);
    cr_assert(is_reachable(r, "b", now + 20));
  }
  SECTION("not even when they are noticed at the same moment")
  {
    const auto now = start_ms + 2000;
    note_answer(r, "b", now - 20);
    for (std::size_t i = 0; i < 5; ++i) {
      fail(r, "b", i, now);
    }
    cr_assert(is_reachable(r, "b", now));
  }
  cr_assert(r.changes.empty());
}

// Guards against taking processes that crash one after the other, as a request
// makes them do that crashes what runs it, for a lost data centre.
Test(reachability, a_server_that_refuses_connections_is_not_silent)
{
  auto r = make();
  fail(r, "b", 0, start_ms, 10);
  note_refusal(r, "b", server_name(0));
  fail(r, "b", 1, start_ms + 100, 10);
  cr_assert(is_reachable(r, "b", start_ms + 100));
}

// Guards against a data centre with one server that can never be suspected.
Test(reachability, one_server_is_enough_where_there_is_only_one)
{
  auto r = make();
  fail(r, "b", 0, start_ms, 250, 1);
  cr_assert_not(is_reachable(r, "b", start_ms));
}

// Guards against an instance that is cut off and then refuses what the servers
// beside it could serve.
Test(reachability, the_own_data_centre_is_always_reachable)
{
  auto r = make("a");
  for (const auto* name : { "a", "b", "c" }) {
    lose(r, name, start_ms);
  }
  cr_assert(is_reachable(r, "a", start_ms));
  cr_assert_not(is_reachable(r, "b", start_ms));
  cr_assert_not(is_reachable(r, "c", start_ms));
  cr_assert_eq(count_unreachable(r), 2);
  SECTION("servers without a data centre are not judged")
  {
    lose(r, "", start_ms);
    cr_assert(is_reachable(r, "", start_ms));
  }
}

// Guards against a burst of failures that are handled late, for example after
// this process was paused: the data centre has answered in the meantime.
Test(reachability, old_failures_after_an_answer_do_not_count)
{
  auto r = make();
  note_answer(r, "b", start_ms);
  for (std::size_t i = 0; i < servers; ++i) {
    fail(r, "b", i, start_ms + 1, 1500);
  }
  cr_assert(is_reachable(r, "b", start_ms + 1));
  SECTION("not even long after it")
  {
    for (std::size_t i = 0; i < servers; ++i) {
      note_silence(
        r, "b", { server_name(i), start_ms - 200, start_ms + 900 }, servers);
    }
    cr_assert(is_reachable(r, "b", start_ms + 900));
  }
}

// Guards against judging a data centre to which nothing is sent.
Test(reachability, no_traffic_is_no_suspicion)
{
  auto r = make();
  note_answer(r, "b", start_ms);
  constexpr std::uint64_t day_ms = 86'400'000;
  cr_assert(is_reachable(r, "b", start_ms + day_ms));
  cr_assert(is_reachable(r, "c", start_ms + day_ms));
  cr_assert_not(next_probe_ms(r).has_value());
}

// Guards against probes that flood a lost data centre, and against a lost one
// that is never tried again.
Test(reachability, an_unreachable_data_centre_is_probed_every_200_ms)
{
  auto r = make();
  lose(r, "b", start_ms);
  const std::vector<std::string> due{ "b" };
  cr_assert_eq(next_probe_ms(r).value(), start_ms);
  cr_assert(take_due_probes(r, start_ms) == due);
  cr_assert(take_due_probes(r, start_ms + 199).empty());
  cr_assert_eq(next_probe_ms(r).value(), start_ms + 200);
  cr_assert(take_due_probes(r, start_ms + 200) == due);
  SECTION("until a server there answers")
  {
    note_answer(r, "b", start_ms + 250);
    cr_assert_not(next_probe_ms(r).has_value());
    cr_assert(take_due_probes(r, start_ms + 400).empty());
  }
}

// Guards against all senders filling a data centre that has just come back,
// whose servers may be cold or about to be lost again.
Test(reachability, a_returning_data_centre_gets_one_run_per_server)
{
  auto r = make();
  lose(r, "b", start_ms);
  const auto back = start_ms + 3000;
  note_answer(r, "b", back);
  cr_assert(state_of(r, "b", back) == contact_state::returning);
  cr_assert(is_reachable(r, "b", back));
  cr_assert(may_add_run(r, "b", 0, back));
  cr_assert_not(may_add_run(r, "b", 1, back + 999));
  cr_assert(may_add_run(r, "a", 5, back));
  SECTION("and is in service after a second")
  {
    cr_assert(state_of(r, "b", back + 1000) == contact_state::in_service);
    cr_assert(may_add_run(r, "b", 5, back + 1000));
  }
  SECTION("the change says how long it was unreachable")
  {
    const std::vector<reachability_change> expected{ { "b", false, 2, 0 },
                                                     { "b", true, 0, 3000 } };
    cr_assert(take_changes(r) == expected);
  }
}

// Guards against moving all runs back and forth while a link flaps.
Test(reachability, swings_at_most_once_a_second)
{
  auto r = make();
  std::vector<std::uint64_t> lost_at;
  for (auto now = start_ms; now < start_ms + 10'000; now += 50) {
    const bool is_answering = now / 100 % 2 == 0;
    if (is_answering) {
      note_answer(r, "b", now);
    } else {
      fail(r, "b", 0, now, 0);
      fail(r, "b", 1, now, 0);
    }
    for (const auto& c : take_changes(r)) {
      if (!c.is_reachable) {
        lost_at.push_back(now);
      }
    }
  }
  cr_assert_gt(lost_at.size(), 2U);
  for (std::size_t i = 1; i < lost_at.size(); ++i) {
    cr_assert_geq(lost_at[i] - lost_at[i - 1], 1000U);
  }
}

// Guards against any effect where the part is switched off or there is only one
// data centre.
Test(reachability, nothing_is_judged_while_disabled)
{
  reachability r;
  lose(r, "b", start_ms);
  note_answer(r, "b", start_ms + 1);
  cr_assert(r == reachability{});
  cr_assert(is_reachable(r, "b", start_ms + 1));
  cr_assert(may_add_run(r, "b", 6, start_ms + 1));
}
