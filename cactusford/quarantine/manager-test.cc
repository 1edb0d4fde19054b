// Guards that share a store, in one process.
#include "cactusford/quarantine/manager.h"

#include "cactusford/http/socket.h"
#include "cactusford/testing/section.h"
#include "standins/object_store.h"

#include <asio/ip/tcp.hpp>
#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::quarantine;
using standins::object_store;

namespace {

// Longer than any step here takes; reached only when something hangs.
constexpr std::uint64_t timeout_ms = 30000;

const fingerprint poisonous = "00000000000000aa";

// An address where nothing listens, as that of a server that has ended.
std::string
closed_address(asio::io_context& io)
{
  using asio::ip::tcp;
  tcp::acceptor a{ io, { asio::ip::make_address_v4("127.0.0.1"), 0 } };
  return "127.0.0.1:" + std::to_string(a.local_endpoint().port());
}

struct instance
{
  http::client http;
  edge::dialect dialect = standins::plain_dialect();
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
  std::string closed = closed_address(io);
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
      { "server-" + std::to_string(next_server++), 1 }, closed, f);
    run_until([&] { return i.manager.counts().crashes > before; });
  }

  std::size_t reports() const
  {
    return store.all(std::string{ report_kind }).size();
  }
};

} // namespace

// One guard sees three ends. The other, which saw none, keeps the request out a
// moment later; an answer that the first sees clears it at both.
Test(quarantine_manager, tells_the_others)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  instance b{ f.io, f.store.address(), { "b", false } };
  f.run_until([&] { return a.manager.is_current() && b.manager.is_current(); });
  const auto is_quarantined = [](instance& i) {
    return i.manager.evaluate(poisonous, run_kind::call).status ==
           request_status::quarantined;
  };
  for (int i = 0; i < 3; ++i) {
    f.crash_under(a, poisonous);
  }
  cr_assert(is_quarantined(a));
  f.run_until([&] { return is_quarantined(b); });
  a.manager.on_answered(poisonous);
  f.run_until([&] { return !is_quarantined(a) && !is_quarantined(b); });
}

// Somewhere a reset or a lost answer cut the connection, and the server
// next_server on. Nothing is reported.
Test(quarantine_manager, a_cut_alone_is_no_end)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  a.manager.on_connection_lost({ "server", 1 }, f.store.address(), poisonous);
  f.crash_under(a, "00000000000000bb");
  f.run_until([&] { return f.reports() > 0; });
  cr_assert_eq(a.manager.counts().connections_lost, 2);
  cr_assert_eq(a.manager.counts().crashes, 1);
  cr_assert(a.manager.evaluate(poisonous, run_kind::call).status ==
            request_status::clear);
}

// The store is away for long while servers end. What is seen waits, as much as
// fits, and is written when the store is back.
Test(quarantine_manager, holds_back_a_bounded_number_of_reports, .timeout = 60)
{
  fixture f;
  bool is_down = true;
  f.store.faults = [&](const store::call& c) {
    return is_down && c.op == store::operation::create
             ? object_store::fault::refuse
             : object_store::fault::none;
  };
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  while (a.manager.counts().reports_dropped == 0) {
    f.crash_under(a, poisonous);
    const auto until = http::now_ms() + 30;
    f.run_until([&] { return http::now_ms() >= until; });
  }
  cr_assert_eq(f.reports(), 0);
  is_down = false;
  constexpr std::size_t max_pending_reports = 50;
  f.run_until([&] { return f.reports() >= max_pending_reports; });
  cr_assert_leq(f.reports(), max_pending_reports + 1);
}

// The answer to a write is lost, and the same write again meets its own object:
// it is written, and not once more under another name.
Test(quarantine_manager, writes_each_report_once)
{
  fixture f;
  bool lose_next = true;
  f.store.faults = [&](const store::call& c) {
    const bool now = lose_next && c.op == store::operation::create;
    lose_next = lose_next && !now;
    return now ? object_store::fault::lose_answer : object_store::fault::none;
  };
  instance a{ f.io, f.store.address(), { "a", false } };
  f.run_until([&] { return a.manager.is_current(); });
  f.crash_under(a, poisonous);
  f.run_until([&] { return a.manager.counts().reports_written == 1; });
  cr_assert_eq(f.reports(), 1);
}

// Reports that count no more would fill the store. Who wrote them removes them;
// those of an instance that is gone are removed by a relay.
Test(quarantine_manager, removes_what_counts_no_more, .timeout = 60)
{
  fixture f;
  evidence_limits short_retention;
  short_retention.retention_ms = 1500;
  instance a{ f.io, f.store.address(), { "a", false, short_retention } };
  f.run_until([&] { return a.manager.is_current(); });
  f.store.put(std::string{ report_kind },
              report_name("gone", 1),
              encode({ "gone", 1, { { "server", 1, { poisonous } } }, {} }));
  f.crash_under(a, poisonous);
  f.run_until([&] { return a.manager.counts().reports_written == 1; });
  cr_assert_eq(f.reports(), 2);
  f.run_until([&] { return f.reports() == 1; });
  cr_assert_eq(f.store.all(std::string{ report_kind }).front().name,
               report_name("gone", 1));
  instance relay{ f.io, f.store.address(), { "relay", true, short_retention } };
  f.run_until([&] { return f.reports() == 0; });
  cr_assert_eq(a.manager.reports(), 0);
}

// A request may be tried again. Of two instances that it reaches at the same
// time one sends it.
Test(quarantine_manager, lets_one_instance_try_again)
{
  fixture f;
  instance a{ f.io, f.store.address(), { "a", false } };
  instance b{ f.io, f.store.address(), { "b", false } };
  f.run_until([&] { return a.manager.is_current() && b.manager.is_current(); });
  int answered = 0;
  int mine = 0;
  for (auto* i : { &a, &b }) {
    i->manager.claim_trial(poisonous, [&](bool is_mine) {
      ++answered;
      mine += is_mine ? 1 : 0;
    });
  }
  f.run_until([&] { return answered == 2; });
  // Two spans of time may meet here.
  cr_assert_geq(mine, 1);
  cr_assert_eq(static_cast<std::size_t>(mine), f.reports());
}
