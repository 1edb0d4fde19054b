// Tests the orders of a sidecar to an engine that restarts under the same id.
#include "cactusford/http/socket.h"
#include "cactusford/orders/loader.h"
#include "cactusford/testing/section.h"
#include "standins/flooding_server.h"
#include "standins/object_store.h"
#include "standins/order_engine.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>

using namespace cactusford;

namespace {

// Longer than any step of these tests; exceeded only if something hangs.
constexpr std::uint64_t hang_ms = 30000;

struct loader_fixture
{
  asio::io_context io;
  standins::order_engine engine{ io };
  http::client http{ io };
  edge::dialect dialect = dialect_with_orders();
  orders::loader loader{ io, http, dialect, { "side-a-1", engine.address() } };

  static edge::dialect dialect_with_orders()
  {
    auto d = standins::json_dialect();
    standins::order_engine::add_order_codecs(d);
    return d;
  }

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + hang_ms;
    while (!done()) {
      cr_assert_lt(http::now_ms(), limit, "timed out waiting for a condition");
      io.run_one_for(std::chrono::milliseconds{ 10 });
    }
  }

  std::size_t refused() const
  {
    return static_cast<std::size_t>(
      std::count_if(engine.received_orders.begin(),
                    engine.received_orders.end(),
                    [&](const auto& r) { return !r.accepted; }));
  }
};

} // namespace

// An engine that has accepted three orders fails to answer the fourth and
// restarts, which resets its order count to zero. The lost order must not be
// counted for the new incarnation: the next order expects the count that the
// new incarnation reports.
Test(loader, resets_the_order_count_after_a_restart)
{
  loader_fixture fixture;
  fixture.engine.orders = 3;
  fixture.engine.lose_order = true;
  fixture.loader.on_published({ "m", 3 }, 10);
  fixture.loader.start();
  fixture.run_until([&] { return fixture.engine.received_orders.size() == 1; });
  cr_assert_eq(fixture.engine.received_orders.front().expected_orders, 3);
  fixture.engine.restart();
  fixture.run_until([&] { return fixture.engine.version == 3; });
  cr_assert_eq(fixture.engine.received_orders.back().expected_orders, 0);
  cr_assert_eq(fixture.refused(), 1, "only the lost order was refused");
}

// A report of the previous incarnation, with three orders, arrives after one of
// the new incarnation. If it were accepted, the next order would expect a count
// that the engine does not have, or no order would be sent at all.
Test(loader, ignores_late_reports_of_the_previous_incarnation)
{
  loader_fixture fixture;
  fixture.engine.orders = 3;
  fixture.loader.start();
  edge::engine_report old;
  old.started_ms = fixture.engine.started_ms;
  old.versions["m"] = 1;
  old.orders = 3;
  fixture.engine.restart();
  fixture.run_until([&] { return fixture.loader.engine_started_ms() != 0; });
  fixture.engine.late_report = old;
  fixture.loader.on_published({ "m", 3 }, 10);
  fixture.run_until([&] { return fixture.engine.version == 3; });
  cr_assert_eq(fixture.refused(), 0);
}

// Guards against a load under runs that need the loaded weights, as a relay has
// told the sidecar.
Test(loader, loads_after_the_runs_that_need_the_loaded_weights)
{
  loader_fixture fixture;
  fixture.engine.running = 1;
  fixture.loader.set_position({ 0 });
  fixture.loader.set_pinned({ { "m", 400 } });
  fixture.loader.on_published({ "m", 3 }, 10);
  fixture.loader.start();
  const auto start = http::now_ms();
  fixture.run_until([&] { return http::now_ms() > start + 1200; });
  cr_assert(fixture.engine.received_orders.empty());
  fixture.loader.set_pinned({});
  fixture.run_until([&] { return fixture.engine.version == 3; });
}

// Guards against a sidecar that reads an endless report or answer to an order
// until its memory is used up.
Test(loader, closes_the_connection_of_an_endless_report)
{
  for (const auto* prefix : { "HTTP/1.1 200 OK\r\nA: ",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\nffffffff\r\n" }) {
    asio::io_context io;
    standins::flooding_server engine{ io, prefix, "x" };
    http::client http{ io };
    const auto dialect = loader_fixture::dialect_with_orders();
    orders::loader loader{
      io, http, dialect, { "side-a-1", engine.address() }
    };
    loader.start();
    const auto limit = http::now_ms() + hang_ms;
    while (engine.closed() < 2) {
      cr_assert_lt(http::now_ms(), limit, "the sidecar stopped polling");
      io.run_one_for(std::chrono::milliseconds{ 10 });
    }
    // The bound on a report and what the sockets of both sides hold.
    constexpr std::uint64_t max_bytes = (2U << 20) + (16U << 20);
    cr_assert_leq(engine.max_sent(), max_bytes);
  }
}
