#include "cactusford/edge/forward.h"

#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cactusford;
using namespace cactusford::edge;

namespace {

constexpr std::size_t call_count = 20;

// Calls to one server that answers only when told to.
struct held_service
{
  asio::io_context io;
  std::vector<http::call> held;
  std::size_t most_held = 0;
  std::size_t received = 0;
  bool is_listening = false;
  http::server server{ io, {}, [this](const http::call& c) {
                        held.push_back(c);
                        ++received;
                        most_held = std::max(most_held, held.size());
                      } };
  backends::registry registry;
  dialect names;
  http::client http{ io };
  forwarder calls{ io, http, registry, names, "a" };
  std::vector<forward_outcome> outcomes;

  explicit held_service(bool is_queued)
  {
    names.headers.signature = "Signature";
    names.headers.deadline_ms = "Wait";
    names.headers.expected_backend = "Expect";
    names.headers.not_run = "Not-Run";
    names.headers.load = "Load";
    calls.is_queued = [is_queued](const std::string&) { return is_queued; };
  }

  void add_server(const std::string& id = "one",
                  const std::string& data_centre = "")
  {
    if (!std::exchange(is_listening, true)) {
      cr_assert_not(server.listen("127.0.0.1:0"));
    }
    backends::announcement a;
    a.id = id;
    a.service = "plain";
    a.address = "127.0.0.1:" + std::to_string(server.port());
    a.data_centre = data_centre;
    a.slots = 1;
    backends::announce(registry, a);
  }

  std::function<void()> start(bool is_scorer = false,
                              const data_centres::home_regions& homes = {})
  {
    forward_request r;
    r.homes = homes;
    r.demand.is_scorer = is_scorer;
    r.request = { "POST", "/book/", { { "Host", "h" } }, "b" };
    r.route.services = { { "plain", 1 } };
    constexpr std::uint64_t timeout_ms = 20000;
    r.give_up_ms = http::now_ms() + timeout_ms;
    return calls.start(std::move(r), [this](forward_outcome&& o) {
      outcomes.push_back(std::move(o));
    });
  }

  void run_until(const std::function<bool()>& is_done)
  {
    while (!is_done()) {
      io.run_one();
    }
  }

  void answer_held()
  {
    for (const auto& c : std::exchange(held, {})) {
      c.respond({ 200, { { "Signature", "s" } }, "" });
    }
  }
};

} // namespace

// Guards against a change where no queue is in force: all calls are sent at
// once, and a call without a server is refused at once, without a time to
// return.
Test(queueing, without_a_queue_calls_are_sent_as_before)
{
  held_service s{ false };
  s.start();
  s.run_until([&] { return s.outcomes.size() == 1; });
  cr_assert(s.outcomes[0].what == forward_end::not_run);
  cr_assert_eq(s.outcomes[0].retry_after_ms, 0);
  cr_assert_not(s.outcomes[0].is_unsent);
  s.add_server();
  for (std::size_t i = 0; i < call_count; ++i) {
    s.start();
  }
  s.run_until([&] { return s.held.size() == call_count; });
  s.answer_held();
  s.run_until([&] { return s.outcomes.size() == call_count + 1; });
  cr_assert(s.calls.queues().empty());
}

// Guards against calls that are lost in the queue, or sent beyond the limit.
Test(queueing, sends_waiting_calls_as_others_are_answered)
{
  held_service s{ true };
  s.add_server();
  for (std::size_t i = 0; i < call_count; ++i) {
    s.start();
  }
  while (s.outcomes.size() < call_count) {
    s.io.run_one();
    if (s.held.size() == 2 || s.received == call_count) {
      s.answer_held();
    }
  }
  cr_assert_eq(s.most_held, 2);
  cr_assert(std::all_of(s.outcomes.begin(), s.outcomes.end(), [](auto& o) {
    return o.what == forward_end::answered;
  }));
  cr_assert(s.calls.queues()[0].queue->running.empty());
}

// Guards against a 503 for a call that runs: at shutdown the queue answers only
// the calls that no server has seen, also those that must not run twice.
Test(queueing, refuses_only_calls_that_no_server_has_seen)
{
  held_service s{ true };
  s.add_server();
  for (int i = 0; i < 5; ++i) {
    s.start();
  }
  s.run_until([&] { return s.held.size() == 2; });
  s.calls.refuse_waiting();
  cr_assert_eq(s.outcomes.size(), 3);
  for (const auto& o : s.outcomes) {
    cr_assert(o.what == forward_end::not_run);
    cr_assert(o.is_unsent);
    cr_assert_eq(o.attempts, 0);
    cr_assert_geq(o.retry_after_ms, 100);
  }
  s.answer_held();
  s.run_until([&] { return s.outcomes.size() == 5; });
  cr_assert(s.outcomes.back().what == forward_end::answered);
  cr_assert_eq(s.received, 2);
}

// Guards against callers who are told to return late because scorers' calls
// were refused before, and reserved the earlier return times.
Test(queueing, refused_scorers_reserve_no_return_time)
{
  held_service s{ true };
  s.add_server();
  constexpr std::size_t scorers = 10;
  for (std::size_t i = 0; i < scorers; ++i) {
    s.start(true);
  }
  s.run_until([&] { return s.held.size() == 2; });
  s.calls.refuse_waiting();
  cr_assert_eq(s.outcomes.size(), scorers - 2);
  for (int i = 0; i < 3; ++i) {
    s.start();
  }
  s.run_until([&] { return s.held.size() == 4; });
  s.calls.refuse_waiting();
  cr_assert_eq(s.outcomes.size(), scorers - 1);
  cr_assert_leq(s.outcomes.back().retry_after_ms, 110);
}

// Guards against a place that stays taken after its caller has left, whether
// the call waited or ran.
Test(queueing, cancelled_calls_leave_the_queue)
{
  held_service s{ true };
  s.add_server();
  const auto first = s.start();
  s.start();
  const auto third = s.start();
  s.start();
  s.run_until([&] { return s.held.size() == 2; });
  cr_assert_eq(s.calls.queues()[0].queue->waiting.size(), 2);
  third();
  first();
  s.run_until([&] { return s.received == 3; });
  s.answer_held();
  s.run_until([&] { return s.outcomes.size() == 2; });
  cr_assert(s.calls.queues()[0].queue->running.empty());
  cr_assert(s.calls.queues()[0].queue->waiting.empty());
}

// Guards against calls that wait or fail without a hint when only a cold server
// is left: they are refused at once and told when its budget returns.
Test(warm_up, a_call_without_budget_is_refused_at_once)
{
  held_service s{ false };
  s.add_server();
  auto& policy = s.registry.warm_up;
  policy.limits["plain"] = { 60'000, 14 };
  policy.call_services.insert("plain");
  policy.other_entries = 12;
  backends::find(s.registry, "one")->warm_up.assumed_at_ms = http::now_ms();
  s.start();
  s.start();
  while (s.outcomes.empty()) {
    s.io.run_one();
  }
  cr_assert(s.outcomes[0].what == forward_end::not_run);
  cr_assert(s.outcomes[0].is_unsent);
  cr_assert_gt(s.outcomes[0].retry_after_ms, 900);
  cr_assert_leq(s.outcomes[0].retry_after_ms, 1120);
  cr_assert_eq(s.outcomes[0].retry_after_ms % 10, 0);
  cr_assert_eq(s.calls.held_by_warm_up(), 1);
  while (s.held.empty()) {
    s.io.run_one();
  }
  cr_assert_eq(s.received, 1);
}

// Guards against calls that are refused because another call in their queue may
// only be served in a data centre that has become unreachable.
Test(queueing, refuses_only_calls_whose_own_servers_are_all_unreachable)
{
  held_service s{ true };
  auto& topology = s.registry.topology;
  topology.regions = { { "b", "west" }, { "c", "south" } };
  topology.reach.is_enabled = true;
  topology.reach.own = "a";
  s.add_server("one", "b");
  s.add_server("two", "c");
  for (std::size_t i = 0; i < call_count; ++i) {
    const bool is_restricted = i % 2 == 0;
    s.start(false,
            is_restricted ? data_centres::homes_from({ "west" })
                          : data_centres::home_regions{});
  }
  s.run_until([&] {
    const auto all = s.calls.queues();
    return !all.empty() && s.held.size() == all[0].queue->running.size() &&
           s.held.size() + all[0].queue->waiting.size() == call_count;
  });
  const auto& queue = *s.calls.queues()[0].queue;
  const auto waiting = queue.waiting.size();
  // Every second id, from 1, is that of a restricted call.
  const auto restricted = static_cast<std::size_t>(
    std::count_if(queue.waiting.begin(), queue.waiting.end(), [](auto& w) {
      return w.first % 2 == 1;
    }));
  cr_assert_gt(restricted, 0);
  cr_assert_gt(waiting, restricted);
  const auto now = http::now_ms();
  data_centres::note_silence(topology.reach, "b", { "one", now, now }, 1);
  s.calls.on_unreachable("b");
  cr_assert_eq(s.outcomes.size(), restricted);
  cr_assert_eq(queue.waiting.size(), waiting - restricted);
  for (const auto& o : s.outcomes) {
    cr_assert(o.what == forward_end::not_run);
    cr_assert(o.is_unsent);
  }
}
