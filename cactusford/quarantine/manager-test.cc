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
constexpr std::uint64_t hang_ms = 30000;

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
  quarantine::manager guard;

  instance(asio::io_context& io,
           const std::string& store_address,
           manager_settings s)
    : http{ io }
    , store{ io, http, dialect.store, { store_address, {} } }
    , guard{ io, store, registry, std::move(s) }
  {
    guard.start();
  }
};

struct world
{
  asio::io_context io;
  object_store store{ io };
  std::string closed = closed_address(io);
  int lives = 0;

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + hang_ms;
    while (!done()) {
      cr_assert_lt(http::now_ms(), limit, "it hangs");
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  void end_under(instance& i, const fingerprint& f)
  {
    const auto before = i.guard.counts().crashes;
    i.guard.on_connection_lost(
      { "server-" + std::to_string(lives++), 1 }, closed, f);
    run_until([&] { return i.guard.counts().crashes > before; });
  }

  std::size_t reports() const
  {
    return store.all(std::string{ report_kind }).size();
  }
};

} // namespace

// One guard sees three ends. The other, which saw none, keeps the request out a
// moment later; an answer that the first sees clears it at both.
Test(guard, tells_the_others)
{
  world w;
  instance a{ w.io, w.store.address(), { "a", false } };
  instance b{ w.io, w.store.address(), { "b", false } };
  w.run_until([&] { return a.guard.is_current() && b.guard.is_current(); });
  const auto is_kept_out = [](instance& i) {
    return i.guard.judge(poisonous, run_kind::call).what ==
           request_status::quarantined;
  };
  for (int i = 0; i < 3; ++i) {
    w.end_under(a, poisonous);
  }
  cr_assert(is_kept_out(a));
  w.run_until([&] { return is_kept_out(b); });
  a.guard.on_answered(poisonous);
  w.run_until([&] { return !is_kept_out(a) && !is_kept_out(b); });
}

// Somewhere a reset or a lost answer cut the connection, and the server lives
// on. Nothing is reported.
Test(guard, a_cut_alone_is_no_end)
{
  world w;
  instance a{ w.io, w.store.address(), { "a", false } };
  w.run_until([&] { return a.guard.is_current(); });
  a.guard.on_connection_lost({ "server", 1 }, w.store.address(), poisonous);
  w.end_under(a, "00000000000000bb");
  w.run_until([&] { return w.reports() > 0; });
  cr_assert_eq(a.guard.counts().cuts, 2);
  cr_assert_eq(a.guard.counts().crashes, 1);
  cr_assert(a.guard.judge(poisonous, run_kind::call).what ==
            request_status::clear);
}

// The store is away for long while servers end. What is seen waits, as much as
// fits, and is written when the store is back.
Test(guard, holds_back_a_bounded_number_of_reports, .timeout = 60)
{
  world w;
  bool is_away = true;
  w.store.faults = [&](const store::call& c) {
    return is_away && c.op == store::operation::create
             ? object_store::fault::refuse
             : object_store::fault::none;
  };
  instance a{ w.io, w.store.address(), { "a", false } };
  w.run_until([&] { return a.guard.is_current(); });
  while (a.guard.counts().reports_dropped == 0) {
    w.end_under(a, poisonous);
    const auto until = http::now_ms() + 30;
    w.run_until([&] { return http::now_ms() >= until; });
  }
  cr_assert_eq(w.reports(), 0);
  is_away = false;
  constexpr std::size_t most_waiting = 50;
  w.run_until([&] { return w.reports() >= most_waiting; });
  cr_assert_leq(w.reports(), most_waiting + 1);
}

// The answer to a write is lost, and the same write again meets its own object:
// it is written, and not once more under another name.
Test(guard, writes_each_report_once)
{
  world w;
  bool lose = true;
  w.store.faults = [&](const store::call& c) {
    const bool now = lose && c.op == store::operation::create;
    lose = lose && !now;
    return now ? object_store::fault::lose_answer : object_store::fault::none;
  };
  instance a{ w.io, w.store.address(), { "a", false } };
  w.run_until([&] { return a.guard.is_current(); });
  w.end_under(a, poisonous);
  w.run_until([&] { return a.guard.counts().reports_written == 1; });
  cr_assert_eq(w.reports(), 1);
}

// Reports that count no more would fill the store. Who wrote them removes them;
// those of an instance that is gone are removed by a relay.
Test(guard, removes_what_counts_no_more, .timeout = 60)
{
  world w;
  evidence_limits soon;
  soon.remember_ms = 1500;
  instance a{ w.io, w.store.address(), { "a", false, soon } };
  w.run_until([&] { return a.guard.is_current(); });
  w.store.put(std::string{ report_kind },
              name_of_report("gone", 1),
              encode({ "gone", 1, { { "server", 1, { poisonous } } }, {} }));
  w.end_under(a, poisonous);
  w.run_until([&] { return a.guard.counts().reports_written == 1; });
  cr_assert_eq(w.reports(), 2);
  w.run_until([&] { return w.reports() == 1; });
  cr_assert_eq(w.store.all(std::string{ report_kind }).front().name,
               name_of_report("gone", 1));
  instance relay{ w.io, w.store.address(), { "relay", true, soon } };
  w.run_until([&] { return w.reports() == 0; });
  cr_assert_eq(a.guard.reports(), 0);
}

// A request may be tried again. Of two instances that it reaches at the same
// time one sends it.
Test(guard, lets_one_instance_try_again)
{
  world w;
  instance a{ w.io, w.store.address(), { "a", false } };
  instance b{ w.io, w.store.address(), { "b", false } };
  w.run_until([&] { return a.guard.is_current() && b.guard.is_current(); });
  int answered = 0;
  int mine = 0;
  for (auto* i : { &a, &b }) {
    i->guard.claim_trial(poisonous, [&](bool is_mine) {
      ++answered;
      mine += is_mine ? 1 : 0;
    });
  }
  w.run_until([&] { return answered == 2; });
  // Two spans of time may meet here.
  cr_assert_geq(mine, 1);
  cr_assert_eq(static_cast<std::size_t>(mine), w.reports());
}
