// Calls while data centres are drained: which server gets them, and how they
// are refused when none is left.
#include "cactusford/edge/forward.h"

#include "cactusford/backends/warm_up_events.h"
#include "cactusford/http/clock.h"
#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <memory>

using namespace cactusford;
using namespace cactusford::edge;

namespace {

// A server that answers only when told to.
struct held_server
{
  std::vector<http::call> held;
  std::size_t received = 0;
  http::server server;

  explicit held_server(asio::io_context& io)
    : server{ io, {}, [this](const http::call& c) {
               held.push_back(c);
               ++received;
             } }
  {
    cr_assert_not(server.listen("127.0.0.1:0"));
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(server.port());
  }

  void answer_all(int status = 200, const http::headers& fields = {})
  {
    auto all = fields;
    all.push_back({ "Signature", "s" });
    for (const auto& c : std::exchange(held, {})) {
      c.respond({ status, all, "" });
    }
  }

  void refuse_all() { answer_all(503, { { "Not-Run", "1" } }); }

  void abort_all()
  {
    for (const auto& c : std::exchange(held, {})) {
      c.abort();
    }
  }
};

// A service with one server in each of two data centres.
struct two_data_centres
{
  asio::io_context io;
  held_server north{ io };
  held_server south{ io };
  backends::registry registry;
  dialect names;
  http::client http{ io };
  forwarder calls{ io, http, registry, names, "north" };
  std::vector<forward_outcome> outcomes;

  explicit two_data_centres(bool is_queued)
  {
    names.headers.signature = "Signature";
    names.headers.deadline_ms = "Wait";
    names.headers.expected_backend = "Expect";
    names.headers.not_run = "Not-Run";
    names.headers.load = "Load";
    calls.is_queued = [is_queued](const std::string&) { return is_queued; };
    add_server("north", north);
    add_server("south", south);
  }

  void add_server(const std::string& data_centre, const held_server& s)
  {
    backends::announcement a;
    a.id = "server-" + data_centre;
    a.service = "plain";
    a.address = s.address();
    a.data_centre = data_centre;
    a.slots = 1;
    backends::announce(registry, a);
  }

  void drain(const std::string& data_centre)
  {
    data_centres::apply_change(registry.topology.drains,
                               { data_centre, ++revision });
    calls.on_servers_changed();
  }

  void undrain(const std::string& data_centre)
  {
    data_centres::apply_change(registry.topology.drains,
                               { data_centre, ++revision, true });
    calls.on_servers_changed();
  }

  void start(routes::call_kind kind = routes::call_kind::non_idempotent)
  {
    forward_request r;
    r.request = { "POST", "/book/", { { "Host", "h" } }, "b" };
    r.route.services = { { "plain", 1 } };
    r.route.kind = kind;
    r.route.max_attempts = 3;
    constexpr std::uint64_t timeout_ms = 20000;
    r.give_up_ms = http::now_ms() + timeout_ms;
    calls.start(std::move(r), [this](forward_outcome&& o) {
      outcomes.push_back(std::move(o));
    });
  }

  void run_until(const std::function<bool()>& is_done)
  {
    while (!is_done()) {
      io.run_one();
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = http::now_ms() + ms;
    while (http::now_ms() < until) {
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  std::size_t received() const { return north.received + south.received; }

  std::uint64_t revision = 0;
};

bool
is_refused_as_drained(const forward_outcome& o)
{
  constexpr std::uint64_t retry_after_ms = 1000;
  return o.what == forward_end::not_run && o.is_drained &&
         o.retry_after_ms == retry_after_ms;
}

// Longer than the delay of a second attempt.
constexpr std::uint64_t second_attempt_ms = 600;

} // namespace

// Guards against calls that hang, or that are told to return at once, while no
// server may take them.
Test(drained_calls, are_refused_at_once_when_all_servers_are_drained)
{
  for (const bool is_queued : { false, true }) {
    two_data_centres s{ is_queued };
    s.drain("north");
    SECTION("one data centre is drained: the other one serves")
    {
      for (int i = 0; i < 2; ++i) {
        s.start();
      }
      s.run_until([&] { return s.received() == 2; });
      cr_assert_eq(s.south.received, 2);
      s.south.answer_all();
      s.run_until([&] { return s.outcomes.size() == 2; });
    }
    SECTION("both are drained")
    {
      s.drain("south");
      s.outcomes.clear();
      s.start();
      s.start(routes::call_kind::idempotent);
      s.run_until([&] { return s.outcomes.size() == 2; });
      // The queue lets calls wait for servers that have crashed.
      for (const auto& q : s.calls.queues()) {
        cr_assert_eq(q.queued, 0);
      }
      for (const auto& o : s.outcomes) {
        cr_assert(is_refused_as_drained(o));
        cr_assert(o.is_unsent);
        cr_assert_eq(o.attempts, 0);
      }
      cr_assert_eq(s.received(), 2);
    }
    SECTION("one is undrained")
    {
      s.undrain("north");
      s.start();
      s.run_until([&] { return s.north.received == 1; });
    }
  }
}

// Guards against a service that is reported as drained although it has another
// fault, so that its operator looks for an order in vain.
Test(drained_calls, other_refusals_keep_their_reason)
{
  two_data_centres s{ false };
  s.drain("north");
  backends::find(s.registry, "server-south")->info.leaving = true;
  SECTION("servers that leave serve no call either way")
  {
    s.start();
    s.run_until([&] { return s.outcomes.size() == 1; });
    cr_assert(is_refused_as_drained(s.outcomes[0]));
  }
  SECTION("a service without servers")
  {
    s.registry.all.clear();
    s.start();
    s.run_until([&] { return s.outcomes.size() == 2; });
    cr_assert(s.outcomes[1].what == forward_end::not_run);
    cr_assert_not(s.outcomes[1].is_drained);
    cr_assert_eq(s.outcomes[1].retry_after_ms, 0);
  }
}

// Guards against calls that stay in the queue of a service that was drained
// meanwhile, and against a 503 for those that a server has already got.
Test(drained_calls, waiting_calls_are_refused_when_the_order_arrives)
{
  two_data_centres s{ true };
  constexpr std::size_t all = 6;
  for (std::size_t i = 0; i < all; ++i) {
    s.start();
  }
  constexpr std::size_t limit = 2;
  s.run_until([&] { return s.received() == limit; });
  s.drain("north");
  s.drain("south");
  SECTION("those that no server has got are refused")
  {
    cr_assert_eq(s.outcomes.size(), all - limit);
    for (const auto& o : s.outcomes) {
      cr_assert(is_refused_as_drained(o));
      cr_assert(o.is_unsent);
    }
    cr_assert(s.calls.queues()[0].queue->waiting.empty());
  }
  SECTION("those that run end where they run")
  {
    s.north.answer_all();
    s.south.answer_all();
    s.run_until([&] { return s.outcomes.size() == all; });
    cr_assert(s.outcomes[all - 1].what == forward_end::answered);
    cr_assert(s.outcomes[all - 2].what == forward_end::answered);
    cr_assert_eq(s.received(), limit);
    cr_assert(s.calls.queues()[0].queue->running.empty());
  }
}

// Guards against a waiting call that is sent to a server that was drained after
// the call had arrived.
Test(drained_calls, waiting_calls_go_to_the_servers_that_are_left)
{
  two_data_centres s{ true };
  constexpr std::size_t all = 6;
  for (std::size_t i = 0; i < all; ++i) {
    s.start();
  }
  s.run_until([&] { return s.received() == 2; });
  const auto before = s.north.received;
  s.drain("north");
  s.run_until([&] {
    s.north.answer_all();
    s.south.answer_all();
    return s.outcomes.size() == all;
  });
  cr_assert_eq(s.north.received, before);
  cr_assert_eq(s.south.received, all - before);
  for (const auto& o : s.outcomes) {
    cr_assert(o.what == forward_end::answered);
  }
}

// Guards against a retry at a server that was drained while the first attempt
// ran.
Test(drained_calls, a_retry_goes_to_no_drained_server)
{
  SECTION("the first server refuses and the other one is drained")
  {
    two_data_centres s{ false };
    s.drain("south");
    s.start();
    s.run_until([&] { return s.north.received == 1; });
    s.north.refuse_all();
    s.run_until([&] { return s.outcomes.size() == 1; });
    cr_assert(s.outcomes[0].what == forward_end::not_run);
    cr_assert_not(s.outcomes[0].is_drained);
    cr_assert_eq(s.south.received, 0);
  }
  SECTION("both are drained before the first server refuses")
  {
    two_data_centres s{ false };
    s.drain("south");
    s.start();
    s.run_until([&] { return s.north.received == 1; });
    s.drain("north");
    s.north.refuse_all();
    s.run_until([&] { return s.outcomes.size() == 1; });
    cr_assert(is_refused_as_drained(s.outcomes[0]));
    cr_assert_not(s.outcomes[0].is_unsent);
    cr_assert_eq(s.south.received, 0);
  }
  SECTION("a call that may have run is not reported as not run")
  {
    two_data_centres s{ false };
    s.drain("south");
    s.start(routes::call_kind::idempotent);
    s.run_until([&] { return s.north.received == 1; });
    s.drain("north");
    s.north.abort_all();
    s.run_until([&] { return s.outcomes.size() == 1; });
    cr_assert(s.outcomes[0].what == forward_end::unknown);
    cr_assert_not(s.outcomes[0].is_drained);
    cr_assert_eq(s.south.received, 0);
  }
}

// Guards against an attempt that this instance withdraws counting as a refused
// connection: the server would count as cold although it said nothing.
Test(withdrawn_calls, make_no_server_cold)
{
  two_data_centres s{ false };
  s.registry.warm_up.limits["plain"] = { 3000, 14 };
  const auto& north = *backends::find(s.registry, "server-north");
  s.start();
  s.run_until([&] { return north.in_flight == 1; });
  cr_assert_eq(s.north.received, 0);
  s.calls.on_unreachable("north");
  cr_assert_eq(north.in_flight, 0);
  cr_assert_not(backends::is_cold(s.registry, north, http::now_ms()));
  cr_assert(s.registry.cold_changes.empty());
  SECTION("the call goes elsewhere")
  {
    s.run_until([&] { return s.south.received == 1; });
    cr_assert_eq(s.north.received, 0);
  }
}

// Guards against a second attempt at a server that was drained while the first
// attempt ran.
Test(drained_calls, a_second_attempt_goes_to_no_drained_server)
{
  SECTION("without an order it is made")
  {
    two_data_centres s{ false };
    s.start(routes::call_kind::idempotent);
    s.run_until([&] { return s.received() == 2; });
    cr_assert_eq(s.south.received, 1);
    s.north.answer_all();
    s.run_until([&] { return s.outcomes.size() == 1; });
  }
  SECTION("the other server is drained")
  {
    two_data_centres s{ false };
    s.start(routes::call_kind::idempotent);
    s.run_until([&] { return s.received() == 1; });
    auto& first = s.north.received == 1 ? s.north : s.south;
    s.drain(&first == &s.north ? "south" : "north");
    s.run_for(second_attempt_ms);
    cr_assert_eq(s.received(), 1);
    SECTION("and the first attempt decides the call")
    {
      first.answer_all();
      s.run_until([&] { return s.outcomes.size() == 1; });
      cr_assert(s.outcomes[0].what == forward_end::answered);
    }
  }
}
