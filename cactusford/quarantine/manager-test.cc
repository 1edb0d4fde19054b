// Several quarantine managers that share a store, in one process.
#include "cactusford/quarantine/manager.h"

#include "cactusford/http/socket.h"
#include "cactusford/testing/section.h"
#include "standins/object_store.h"

#include <asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <optional>

using namespace cactusford;
using namespace cactusford::quarantine;
using standins::object_store;

namespace {

// Longer than any step here takes; reached only if a test hangs.
constexpr std::uint64_t timeout_ms = 30000;

const fingerprint poison = "00000000000000aa";

// An address that refuses connections, like that of a crashed server. The port
// stays bound, so that no other process listens on it meanwhile.
struct closed_port
{
  explicit closed_port(asio::io_context& io)
    : socket{ io, { asio::ip::make_address_v4("127.0.0.1"), 0 } }
  {
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
  }

  asio::ip::tcp::socket socket;
};

struct instance
{
  http::client http;
  edge::dialect dialect = standins::json_dialect();
  store::client store;
  backends::registry registry;
  quarantine::manager manager;

  instance(asio::io_context& io,
           const std::string& store_address,
           manager_settings s)
    : http{ io }
    , store{ io, http, dialect.store, { store_address, {} } }
    , manager{ io, store, registry, std::move(s) }
  {
    manager.start();
  }
};

struct fixture
{
  asio::io_context io;
  object_store store{ io };
  closed_port closed{ io };
  int next_server = 0;

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + timeout_ms;
    while (!done()) {
      cr_assert_lt(http::now_ms(), limit, "timed out");
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  void crash_under(instance& i, const fingerprint& f)
  {
    const auto before = i.manager.counts().crashes;
    i.manager.on_connection_lost(
      { "server-" + std::to_string(next_server++), 1 }, closed.address(), f);
    run_until([&] { return i.manager.counts().crashes > before; });
  }

  std::size_t reports() const
  {
    return store.all(std::string{ report_kind }).size();
  }
};

} // namespace

// One manager detects three crashes. The other one, which saw none, quarantines
// the request soon after. An answer that the first one sees clears it at both.
Test(quarantine_manager, shares_reports_with_other_instances)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  instance b{ f.io, f.store.address(), { "b", false } };
  f.run_until([&] { return a.manager.is_current() && b.manager.is_current(); });
  const auto is_quarantined = [](instance& i) {
    return i.manager.evaluate(poison, run_kind::call).status ==
           request_status::quarantined;
  };
  for (int i = 0; i < 3; ++i) {
    f.crash_under(a, poison);
  }
  cr_assert(is_quarantined(a));
  f.run_until([&] { return is_quarantined(b); });
  a.manager.on_answered(poison);
  f.run_until([&] { return !is_quarantined(a) && !is_quarantined(b); });
}

// A connection is lost by a reset or a lost response while the server keeps
// running. Nothing is reported.
Test(quarantine_manager, a_lost_connection_alone_is_not_a_crash)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  a.manager.on_connection_lost({ "server", 1 }, f.store.address(), poison);
  f.crash_under(a, "00000000000000bb");
  f.run_until([&] { return f.reports() > 0; });
  cr_assert_eq(a.manager.counts().connections_lost, 2);
  cr_assert_eq(a.manager.counts().crashes, 1);
  cr_assert(a.manager.evaluate(poison, run_kind::call).status ==
            request_status::clear);
}

// Servers crash during a long store outage. A bounded number of reports waits
// and is written when the store is back.
Test(quarantine_manager, queues_a_bounded_number_of_reports, .timeout = 60)
{
  fixture f;
  bool is_down = true;
  f.store.inject_fault = [&](const store::call& c) {
    return is_down && c.op == store::operation::create
             ? object_store::fault::refuse
             : object_store::fault::none;
  };
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  while (a.manager.counts().reports_dropped == 0) {
    f.crash_under(a, poison);
    const auto until = http::now_ms() + 30;
    f.run_until([&] { return http::now_ms() >= until; });
  }
  cr_assert_eq(f.reports(), 0);
  is_down = false;
  constexpr std::size_t max_pending_reports = 50;
  f.run_until([&] { return f.reports() >= max_pending_reports; });
  cr_assert_leq(f.reports(), max_pending_reports + 1);
}

// The response to a write is lost, and the retry conflicts with the object that
// the first attempt created. The report counts as written and is not written
// again under another name.
Test(quarantine_manager, writes_each_report_once)
{
  fixture f;
  bool lose_next = true;
  f.store.inject_fault = [&](const store::call& c) {
    const bool now = lose_next && c.op == store::operation::create;
    lose_next = lose_next && !now;
    return now ? object_store::fault::drop_response : object_store::fault::none;
  };
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  f.crash_under(a, poison);
  f.run_until([&] { return a.manager.counts().reports_written == 1; });
  cr_assert_eq(f.reports(), 1);
}

// Expired reports would fill the store. The instance that wrote them removes
// them; those of an instance that no longer exists are removed by a relay.
Test(quarantine_manager, removes_expired_reports, .timeout = 60)
{
  fixture f;
  evidence_limits short_retention;
  short_retention.retention_ms = 1500;
  instance a{ f.io, f.store.address(), { "a", false, short_retention } };
  f.run_until([&] { return a.manager.is_current(); });
  f.store.put(std::string{ report_kind },
              report_name("gone", 1),
              encode({ "gone", 1, { { "server", 1, { poison } } }, {} }));
  f.crash_under(a, poison);
  f.run_until([&] { return a.manager.counts().reports_written == 1; });
  cr_assert_eq(f.reports(), 2);
  f.run_until([&] { return f.reports() == 1; });
  cr_assert_eq(f.store.all(std::string{ report_kind }).front().name,
               report_name("gone", 1));
  instance relay{ f.io, f.store.address(), { "relay", true, short_retention } };
  f.run_until([&] { return f.reports() == 0; });
  cr_assert_eq(a.manager.reports(), 0);
}

// A request on trial arrives at two instances at the same time. Only one of
// them may run it.
Test(quarantine_manager, lets_one_instance_run_a_trial)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  instance b{ f.io, f.store.address(), { "b", false } };
  f.run_until([&] { return a.manager.is_current() && b.manager.is_current(); });
  int answered = 0;
  int mine = 0;
  for (auto* i : { &a, &b }) {
    i->manager.claim_trial(poison, [&](bool is_mine) {
      ++answered;
      mine += is_mine ? 1 : 0;
    });
  }
  f.run_until([&] { return answered == 2; });
  cr_assert_eq(mine, 1);
  cr_assert_eq(f.reports(), 1);
}

// Two poison requests run next to each other and crash three servers. Each
// could be the cause, so neither is refused, but sent by both instances at once
// one of them would crash two more servers. One instance sends it and the other
// waits for the outcome, also before it has seen the first one's claim.
Test(quarantine_manager, waits_for_the_trial_of_another_instance)
{
  const fingerprint companion = "00000000000000bb";
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  instance b{ f.io, f.store.address(), { "b", false } };
  f.run_until([&] { return a.manager.is_current() && b.manager.is_current(); });
  for (const auto* backend : { "x", "y", "z" }) {
    const backends::incarnation of{ backend, 1 };
    const auto before = a.manager.counts().crashes;
    a.manager.on_connection_lost(of, f.closed.address(), poison);
    a.manager.on_connection_lost(of, f.closed.address(), companion);
    f.run_until([&] { return a.manager.counts().crashes > before; });
    const auto until = http::now_ms() + 50;
    f.run_until([&] { return http::now_ms() >= until; });
  }
  const auto status_at = [](instance& i) {
    return i.manager.evaluate(poison, run_kind::call).status;
  };
  f.run_until([&] { return status_at(b) == request_status::on_trial; });
  cr_assert(status_at(a) == request_status::on_trial);
  std::optional<bool> first;
  std::optional<bool> second;
  a.manager.claim_trial(poison, [&](bool is_mine) { first = is_mine; });
  f.run_until([&] { return first.has_value(); });
  b.manager.claim_trial(poison, [&](bool is_mine) { second = is_mine; });
  f.run_until([&] { return second.has_value(); });
  cr_assert(*first);
  cr_assert_not(*second);
  cr_assert(status_at(a) == request_status::awaiting_trial);
  cr_assert(status_at(b) == request_status::awaiting_trial);
  SECTION("an answer ends the wait")
  {
    a.manager.on_answered(poison);
    f.run_until([&] { return status_at(b) == request_status::clear; });
    cr_assert(status_at(a) == request_status::clear);
  }
}
