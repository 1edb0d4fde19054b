#include "cactusford/backends/warm_up.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::string_view service = "drafter";

warm_up_policy
policy_with(std::uint32_t others)
{
  warm_up_policy p;
  p.limits["drafter"] = { 3000, 14 };
  p.other_owners["drafter"] = others;
  return p;
}

// Sends as many requests as allowed. Returns their number.
std::size_t
send_all(warm_up_state& s, const warm_up_policy& p, std::uint64_t now_ms)
{
  std::size_t sent = 0;
  while (sent < 1000 && has_warm_up_budget(s, p, service, now_ms)) {
    note_sent(s, p, service, now_ms);
    ++sent;
  }
  return sent;
}

// A sender with its own clock and its own view of one server.
struct sender
{
  warm_up_policy policy;
  warm_up_state state;
  double clock_rate = 1;
  std::uint64_t clock_offset_ms = 0;
  // When the sender learns that the server is cold, in true time.
  std::uint64_t learns_at_ms = 0;

  std::uint64_t clock(std::uint64_t true_ms) const
  {
    return start_ms + clock_offset_ms +
           static_cast<std::uint64_t>(static_cast<double>(true_ms) *
                                      clock_rate);
  }
};

constexpr std::uint64_t never = 1'000'000'000;
constexpr std::uint64_t played_ms = 5000;

// A failure shrinks to a seed: shrinking each step of a sequence takes minutes.
std::uint64_t
in_range(std::mt19937_64& random, std::uint64_t low, std::uint64_t end)
{
  return std::uniform_int_distribution<std::uint64_t>{ low, end - 1 }(random);
}

sender
any_sender(std::mt19937_64& random,
           std::uint32_t fewest_others,
           bool knows_from_start)
{
  sender s;
  s.policy = policy_with(fewest_others +
                         static_cast<std::uint32_t>(in_range(random, 0, 8)));
  s.clock_rate = static_cast<double>(in_range(random, 990, 1011)) / 1000;
  s.clock_offset_ms = in_range(random, 0, 1000);
  if (knows_from_start) {
    s.learns_at_ms = 0;
  } else {
    s.learns_at_ms =
      in_range(random, 0, 4) == 0 ? never : in_range(random, 0, 3000);
  }
  return s;
}

// How the requests of a sender are spread over time: with gaps of up to this
// many milliseconds, and delays that change at one moment, so that requests
// that were sent long apart arrive together.
struct sending
{
  std::uint64_t longest_gap_ms = 1;
  std::uint64_t turn_ms = 0;

  std::uint64_t delay(std::uint64_t at_ms, std::mt19937_64& random) const
  {
    constexpr std::uint64_t longest_ms = 100;
    if (turn_ms == 0) {
      return in_range(random, 0, longest_ms + 1);
    }
    return at_ms < turn_ms ? longest_ms : 0;
  }
};

void
add_arrivals_of(sender& s,
                const sending& how,
                std::uint64_t at,
                std::mt19937_64& random,
                std::vector<std::uint64_t>& arrivals)
{
  while (at < played_ms) {
    const auto now = s.clock(at);
    if (at >= s.learns_at_ms && s.state.assumed_at_ms == 0) {
      s.state.assumed_at_ms = now;
    }
    while (has_warm_up_budget(s.state, s.policy, service, now)) {
      note_sent(s.state, s.policy, service, now);
      arrivals.push_back(at + how.delay(at, random));
    }
    // Mostly as soon as the budget returns, which is the worst case.
    at += in_range(random, 0, 8) == 0
            ? in_range(random, 1, how.longest_gap_ms + 1)
            : 1;
  }
}

void
add_arrivals(std::mt19937_64& random,
             sender& s,
             std::vector<std::uint64_t>& arrivals)
{
  const sending how{ in_range(random, 1, 200), in_range(random, 0, played_ms) };
  add_arrivals_of(s, how, in_range(random, 0, 300), random, arrivals);
}

// All senders start at once, use each budget as soon as it returns, know the
// fewest others, and learn nothing. The delays turn from 100 ms to 0 when the
// second budgets are sent.
void
add_worst_arrivals(std::mt19937_64& random,
                   std::uint64_t turn_ms,
                   sender& s,
                   std::uint32_t fewest_others,
                   std::vector<std::uint64_t>& arrivals)
{
  s.policy = policy_with(fewest_others);
  s.learns_at_ms = never;
  add_arrivals_of(s, { 1, turn_ms }, 0, random, arrivals);
}

std::size_t
most_in_a_second(std::vector<std::uint64_t> arrivals)
{
  std::sort(arrivals.begin(), arrivals.end());
  std::deque<std::uint64_t> recent;
  std::size_t most = 0;
  for (const auto at : arrivals) {
    recent.push_back(at);
    while (recent.front() + 1000 < at) {
      recent.pop_front();
    }
    most = std::max(most, recent.size());
  }
  return most;
}

} // namespace

// Guards against a cold engine that crashes because each of several owners
// sends it what it bears from all of them: 28 requests in one second reached an
// engine that bears 26.
Test(warm_up, a_sender_gets_its_part_of_what_a_cold_server_bears)
{
  auto p = policy_with(0);
  warm_up_state cold;
  cold.announced_until_ms = start_ms + 3000;
  SECTION("alone it leaves room for one unknown sender")
  {
    auto s = cold;
    cr_assert_eq(send_all(s, p, start_ms), 7);
    cr_assert_eq(send_all(s, p, start_ms + 1119), 0);
    cr_assert_eq(send_all(s, p, start_ms + 1120), 7);
  }
  SECTION("with two others it gets three and a half a second")
  {
    p.other_owners["drafter"] = 2;
    auto s = cold;
    cr_assert_eq(send_all(s, p, start_ms), 4);
    cr_assert_eq(budget_returns_ms(s, p, service, start_ms), start_ms + 1280);
    cr_assert_eq(send_all(s, p, start_ms + 1280), 4);
  }
  SECTION("a budget of half a request a second allows one in two seconds")
  {
    p.other_owners["drafter"] = 26;
    auto s = cold;
    s.announced_until_ms = start_ms + 60'000;
    cr_assert_eq(send_all(s, p, start_ms), 1);
    cr_assert_eq(send_all(s, p, start_ms + 2000), 0);
    cr_assert_eq(send_all(s, p, start_ms + 2400), 1);
  }
  SECTION("requests sent while it was warm count")
  {
    const auto alone = policy_with(0);
    warm_up_state s;
    cr_assert_eq(send_all(s, alone, start_ms), 13);
    s.announced_until_ms = start_ms + 3000;
    cr_assert_eq(send_all(s, alone, start_ms + 1000), 0);
  }
}

// Guards against a server that becomes cold without any instance being told: a
// restart within a second under a step that starts everywhere.
Test(warm_up, a_warm_server_gets_no_more_than_it_would_bear_if_it_were_cold)
{
  warm_up_state s;
  cr_assert_eq(send_all(s, policy_with(2), start_ms), 4);
  cr_assert_eq(send_all(s, policy_with(2), start_ms + 1119), 0);
  cr_assert_eq(send_all(s, policy_with(2), start_ms + 1120), 4);
  SECTION("warm servers of calls are not limited")
  {
    warm_up_state plain;
    auto p = policy_with(2);
    p.call_services.insert("drafter");
    cr_assert_eq(send_all(plain, p, start_ms), 1000);
    plain.announced_until_ms = start_ms + 3000;
    cr_assert_eq(send_all(plain, p, start_ms), 0);
  }
}

// Guards against limits in deployments that declare none.
Test(warm_up, a_service_without_limits_is_never_restricted)
{
  const auto is_restricted = [](const warm_up_policy& p) {
    warm_up_state s;
    s.announced_until_ms = start_ms + 3000;
    return send_all(s, p, start_ms) < 1000;
  };
  cr_assert(is_restricted(policy_with(0)));
  cr_assert_not(is_restricted({}));
  SECTION("nor one whose limit is zero")
  {
    auto p = policy_with(0);
    p.limits["drafter"].per_second = 0;
    cr_assert_not(is_restricted(p));
  }
  SECTION("nor while warm-up is disabled")
  {
    auto p = policy_with(0);
    p.is_enabled = false;
    cr_assert_not(is_restricted(p));
  }
}

// Guards against a sender that assumes to be alone before it knows the others.
Test(warm_up, unknown_numbers_of_senders_are_assumed_large)
{
  auto p = policy_with(3);
  cr_assert_eq(other_senders(p, "drafter"), 3);
  cr_assert_eq(other_senders(p, "unknown"), assumed_senders);
  p.call_services.insert("drafter");
  cr_assert_eq(other_senders(p, "drafter"), assumed_senders);
  p.other_entries = 1;
  cr_assert_eq(other_senders(p, "drafter"), 3);
}

// Guards against more than 26 requests in a second on a server that is cold,
// whoever knows it: views are delayed or lost, clocks run 1% off, and requests
// take 0 to 100 ms to arrive. Up to 26 senders: each may send one request.
Test(warm_up, no_server_gets_more_than_it_bears)
{
  cr_assert(rc::check("at most 26 requests in any second", [] {
    const auto fewest_others = *rc::gen::inRange<std::uint32_t>(0, 13);
    const auto senders =
      *rc::gen::inRange<std::size_t>(1, 2 * (fewest_others + 1) + 1);
    std::mt19937_64 random{ *rc::gen::arbitrary<std::uint32_t>() };
    // Half of the rounds are the worst case, which random senders seldom meet.
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
      const bool is_worst = round % 2 == 0;
      const auto turn_ms = in_range(random, 1, 1100);
      std::vector<std::uint64_t> arrivals;
      for (std::size_t i = 0; i < senders; ++i) {
        auto s = any_sender(random, fewest_others, false);
        if (is_worst) {
          add_worst_arrivals(random, turn_ms, s, fewest_others, arrivals);
        } else {
          add_arrivals(random, s, arrivals);
        }
      }
      RC_ASSERT(most_in_a_second(arrivals) <= 26);
    }
  }));
}

// Guards against a cold server that gets far more than it bears for long, where
// all senders know that it is cold, and of all others but one.
Test(warm_up, senders_that_know_keep_to_what_a_cold_server_bears)
{
  cr_assert(rc::check("at most 14 and one for each sender", [] {
    const auto senders = *rc::gen::inRange<std::size_t>(1, 40);
    const auto fewest_others =
      static_cast<std::uint32_t>(senders < 2 ? 0 : senders - 2);
    std::mt19937_64 random{ *rc::gen::arbitrary<std::uint32_t>() };
    std::vector<std::uint64_t> arrivals;
    for (std::size_t i = 0; i < senders; ++i) {
      auto s = any_sender(random, fewest_others, true);
      s.policy.limits["drafter"].cold_ms = 2 * played_ms;
      add_arrivals(random, s, arrivals);
    }
    RC_ASSERT(most_in_a_second(arrivals) <= 14 + senders);
  }));
}
