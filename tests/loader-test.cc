// A sidecar's orders to an engine that starts again under its id.
#include "cactusford/http/socket.h"
#include "cactusford/orders/loader.h"
#include "cactusford/testing/section.h"
#include "standins/object_store.h"
#include "standins/order_engine.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>

using namespace cactusford;

namespace {

// Longer than any step here takes; reached only when something hangs.
constexpr std::uint64_t hang_ms = 30000;

struct beside_engine
{
  asio::io_context io;
  standins::order_engine engine{ io };
  http::client http{ io };
  edge::dialect dialect = with_orders();
  orders::loader loader{ io, http, dialect, { "side-a-1", engine.address() } };

  static edge::dialect with_orders()
  {
    auto d = standins::plain_dialect();
    standins::order_engine::add_to(d);
    return d;
  }

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + hang_ms;
    while (!done()) {
      cr_assert_lt(http::now_ms(), limit, "it hangs");
      io.run_one_for(std::chrono::milliseconds{ 10 });
    }
  }

  std::size_t refused() const
  {
    return static_cast<std::size_t>(
      std::count_if(engine.log.begin(), engine.log.end(), [&](const auto& r) {
        return !r.taken;
      }));
  }
};

} // namespace

// An engine that has taken three orders gets no answer out for the fourth, and
// starts again. Its orders are counted from zero. The fourth is not counted
// into the new life: the next order is made for what the new life says.
Test(loader, counts_no_order_across_a_restart)
{
  beside_engine w;
  w.engine.orders = 3;
  w.engine.lose_order = true;
  w.loader.on_named({ "m", 3 }, 10);
  w.loader.start();
  w.run_until([&] { return w.engine.log.size() == 1; });
  cr_assert_eq(w.engine.log.front().expected_orders, 3);
  w.engine.restart();
  w.run_until([&] { return w.engine.version == 3; });
  cr_assert_eq(w.engine.log.back().expected_orders, 0);
  cr_assert_eq(w.refused(), 1, "but for the lost one");
}

// The report of the life before arrives after one of the new life: three
// orders, and the named weights loaded. Believed, the next order would be made
// for a count that the engine does not have, or none be made at all.
Test(loader, leaves_late_reports_of_the_life_before_out)
{
  beside_engine w;
  w.engine.orders = 3;
  w.loader.start();
  edge::engine_report old;
  old.started_ms = w.engine.started_ms;
  old.versions["m"] = 1;
  old.orders = 3;
  w.engine.restart();
  w.run_until([&] { return w.loader.engine_started_ms() != 0; });
  w.engine.late_report = old;
  w.loader.on_named({ "m", 3 }, 10);
  w.run_until([&] { return w.engine.version == 3; });
  cr_assert_eq(w.refused(), 0);
}
