#include "cactusford/admission/queue.h"

#include "cactusford/admission/budget.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>

using namespace cactusford::admission;

namespace {

waiting_call
rollout(std::uint64_t id, const char* trainer, double share)
{
  return { id, call_class::rollout, trainer, share, 100 };
}

} // namespace

// Two trainers with shares of 3 to 1 keep their queues full. Over any longer
// period their tokens are in that ratio, whatever the lengths of their samples.
Test(queue, shares_hold_in_tokens)
{
  queue q;
  std::uint64_t id = 0;
  double used[2] = { 0, 0 };
  for (int i = 0; i < 50; ++i) {
    push(q, rollout(++id, "a", 0.75));
    push(q, rollout(++id, "b", 0.25));
  }
  for (int i = 0; i < 400; ++i) {
    const auto c = pop_rollout(q);
    cr_assert(c.has_value());
    const auto tokens = c->flow == "a" ? 50 + (i * 37) % 300 : 200;
    charge(q, c->flow, static_cast<std::uint64_t>(tokens));
    used[c->flow == "a" ? 0 : 1] += tokens;
    note_finished(q, c->flow);
    push(q, rollout(++id, c->flow.c_str(), c->flow == "a" ? 0.75 : 0.25));
  }
  const auto share = used[0] / (used[0] + used[1]);
  cr_assert_lt(std::abs(share - 0.75), 0.02, "share of a is %f", share);
}

// Trainer b was idle and a used the whole engine. When b has work again, it
// gets its share from then on, not the whole engine until it has caught up.
Test(queue, an_idle_share_is_not_credited)
{
  queue q;
  std::uint64_t id = 0;
  for (int i = 0; i < 20; ++i) {
    push(q, rollout(++id, "a", 0.5));
  }
  for (int i = 0; i < 10; ++i) {
    const auto c = pop_rollout(q);
    charge(q, c->flow, 1000);
  }
  int served[2] = { 0, 0 };
  for (int i = 0; i < 10; ++i) {
    push(q, rollout(++id, "b", 0.5));
  }
  for (int i = 0; i < 10; ++i) {
    const auto c = pop_rollout(q);
    ++served[c->flow == "a" ? 0 : 1];
    charge(q, c->flow, 1000);
  }
  cr_assert_eq(served[0], 5);
  cr_assert_eq(served[1], 5);
}

Test(queue, is_bounded_and_serves_callers_first)
{
  queue q;
  q.limit = 2;
  push(q, rollout(1, "a", 1));
  cr_assert(push(q, { 2, call_class::live, "", 1, 1 }));
  cr_assert(!push(q, { 3, call_class::live, "", 1, 1 }),
            "the queue must be full");
  cr_assert_eq(pop_caller(q)->id, 2);
  cr_assert(!pop_caller(q).has_value());
  cr_assert(remove(q, 1));
  cr_assert(!remove(q, 1));
  cr_assert_eq(size(q), 0);
}

Test(queue, property_nothing_is_lost_or_doubled)
{
  const bool ok = rc::check("each call leaves the queue once", [] {
    queue q;
    std::map<std::uint64_t, int> out;
    std::uint64_t id = 0;
    std::size_t in = 0;
    for (const auto action :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
      if (action <= 1) {
        const auto cls = action == 0 ? call_class::live : call_class::rollout;
        in += push(q, { ++id, cls, id % 2 == 0 ? "a" : "b", 0.5, id }) ? 1 : 0;
      } else if (action == 2) {
        if (const auto c = pop_caller(q)) {
          ++out[c->id];
        }
      } else if (action == 3) {
        if (const auto c = pop_rollout(q)) {
          ++out[c->id];
        }
      } else if (id > 0 && remove(q, id)) {
        ++out[id];
      }
    }
    RC_ASSERT(in == out.size() + size(q));
    for (const auto& [call, times] : out) {
      RC_ASSERT(times == 1);
    }
  });
  cr_assert(ok);
}

// Half of the backend servers crash and every call fails once. Retries are
// limited to a fraction of the first attempts, so that they do not overload the
// other half.
Test(budget, retries_are_a_fraction_of_first_attempts)
{
  retry_budget b;
  b.limit = 10;
  b.tokens = 10;
  b.ratio = 0.2;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    credit_first_attempt(b);
    retries += take_retry(b) ? 1 : 0;
  }
  cr_assert_leq(retries, 211);
  cr_assert_geq(retries, 200);
  cr_assert_leq(backoff_ms(30, 1.0), 501);
}
