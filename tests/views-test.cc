// How late a change of the store reaches the instances that follow it through
// relays, while some of them are cut off. The clock is moved by hand.
#include "cactusford/http/clock.h"
#include "cactusford/store/watcher.h"
#include "cactusford/testing/section.h"
#include "standins/object_store.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <thread>

using namespace cactusford;
using standins::object_store;

namespace {

// A change that the store has confirmed must be in force everywhere after this.
constexpr std::uint64_t in_force_ms = 2000;

constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t wait_ms = 1000;
constexpr std::size_t relays = 3;
constexpr const char* kind = "things";

// Each connection has its own.
void
drop_framing(http::headers& fields)
{
  std::erase_if(fields,
                [](const auto& f) { return http::is_hop_by_hop(f.name); });
}

// A way from one instance to another. While it is cut, requests still arrive
// and no answer comes back.
struct link
{
  asio::io_context& out_io;
  http::client out;
  http::server server;
  std::string to;
  bool is_cut = false;
  // Answers take so much longer.
  std::uint64_t delay_ms = 0;
  // From now on requests are kept back; answers under way still come.
  bool keeps_requests = false;
  std::vector<http::call> held;

  link(asio::io_context& io, std::string target)
    : out_io{ io }
    , out{ io }
    , server{ io, {}, [this](const http::call& c) { pass(c); } }
    , to{ std::move(target) }
  {
    cr_assert_not(server.listen("127.0.0.1:0"));
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(server.port());
  }

  void pass(const http::call& c)
  {
    if (keeps_requests) {
      held.push_back(c);
      return;
    }
    http::exchange_options o;
    o.timeout_ms = 60000;
    auto request = c.request();
    drop_framing(request.fields);
    auto sent = std::make_shared<http::pending>();
    *sent = out.fetch(
      to, request, o, [this, c](http::end_state end, http::response&& r) {
        answer_later(c, end, std::move(r));
      });
    c.on_gone([sent] { sent->cancel(); });
  }

  void answer_later(const http::call& c,
                    http::end_state end,
                    http::response&& r)
  {
    auto t = std::make_shared<http::timer>(
      out_io, std::chrono::milliseconds{ delay_ms });
    t->async_wait(
      [this, c, end, t, r = std::move(r)](asio::error_code) mutable {
        answer(c, end, std::move(r));
      });
  }

  void answer(const http::call& c, http::end_state end, http::response&& r)
  {
    if (is_cut) {
      held.push_back(c);
      return;
    }
    if (end != http::end_state::complete) {
      c.abort();
      return;
    }
    drop_framing(r.fields);
    c.respond(std::move(r));
  }
};

// An instance that follows one kind, and makes calls for others.
struct instance
{
  http::client http;
  edge::dialect dialect = standins::plain_dialect();
  http::server peer;
  std::unique_ptr<link> to_store;
  std::vector<std::unique_ptr<link>> to_relays;
  std::unique_ptr<store::client> store;
  std::unique_ptr<store::watcher> watcher;
  std::uint64_t seen = 0;
  std::uint64_t worst_ms = 0;
  // The longest time by which it took its view for newer than it was.
  std::uint64_t overstated_ms = 0;
  bool is_in_touch = true;

  explicit instance(asio::io_context& io)
    : http{ io }
    , peer{ io, {}, [this](const http::call& c) { store->relay(c); } }
  {
    cr_assert_not(peer.listen("127.0.0.1:0"));
  }
};

struct world
{
  http::manual_clock clock;
  asio::io_context io;
  object_store store{ io };
  std::vector<std::unique_ptr<instance>> all;
  // When version k was put, at place k - 1.
  std::vector<std::uint64_t> put_ms;

  explicit world(std::uint64_t gather_ms, std::size_t leaves = 2)
  {
    for (std::size_t i = 0; i < relays + leaves; ++i) {
      all.push_back(std::make_unique<instance>(io));
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
      start(i, gather_ms);
    }
    put();
    run(1500);
  }

  void start(std::size_t i, std::uint64_t gather_ms)
  {
    auto& me = *all[i];
    me.to_store = std::make_unique<link>(io, store.address());
    store::client_settings s;
    s.address = me.to_store->address();
    s.share_watches = true;
    for (std::size_t r = 0; r < relays; ++r) {
      const auto port = std::to_string(all[r]->peer.port());
      auto way = std::make_unique<link>(io, "127.0.0.1:" + port);
      if (r == i) {
        s.rank = i;
      } else {
        s.relays.push_back(way->address());
      }
      me.to_relays.push_back(std::move(way));
    }
    me.store =
      std::make_unique<store::client>(io, me.http, me.dialect.store, s);
    me.watcher = std::make_unique<store::watcher>(
      io,
      *me.store,
      store::watch_settings{ kind, wait_ms, gather_ms, true, true },
      store::watch_events{ [this, &me](std::vector<store::object>&& list) {
                            for (const auto& o : list) {
                              see(me, o);
                            }
                          },
                           [this, &me](store::change&& c) { see(me, c.value); },
                           {} });
    me.watcher->start();
  }

  void see(instance& me, const store::object& o)
  {
    const auto version = o.spec.at("version").get<std::uint64_t>();
    if (version > me.seen) {
      note_lateness(me, version);
      me.seen = version;
    }
  }

  // Counted from the oldest change that the instance had not seen.
  void note_lateness(instance& me, std::uint64_t up_to)
  {
    if (me.seen < up_to && me.seen < put_ms.size()) {
      me.worst_ms = std::max(me.worst_ms, http::boot_ms() - put_ms[me.seen]);
    }
  }

  void put()
  {
    put_ms.push_back(http::boot_ms());
    store.put(kind, "main", { { "version", put_ms.size() } });
  }

  // Moves the clock when nothing is left to do at the present moment.
  void run(std::uint64_t ms)
  {
    constexpr int quiet_looks = 2;
    constexpr std::chrono::microseconds look_pause{ 250 };
    for (std::uint64_t t = 0; t < ms; t += step_ms) {
      for (int quiet = 0; quiet < quiet_looks;) {
        quiet = io.poll() == 0 ? quiet + 1 : 0;
        std::this_thread::sleep_for(look_pause);
      }
      for (auto& i : all) {
        note_overstated(*i);
      }
      clock.advance(std::chrono::milliseconds{ step_ms });
    }
  }

  // What the store confirmed at some moment holds all changes before it.
  void note_overstated(instance& me)
  {
    const auto confirmed = me.watcher->confirmed_ms();
    if (me.seen < put_ms.size() && confirmed > put_ms[me.seen]) {
      me.overstated_ms =
        std::max(me.overstated_ms, confirmed - put_ms[me.seen]);
    }
  }

  // Changes come one after the other for so long; the last has time to arrive.
  void change_for(std::uint64_t ms, std::uint64_t pause_ms = 715)
  {
    for (std::uint64_t t = 0; t < ms; t += pause_ms) {
      put();
      run(pause_ms);
    }
    run(in_force_ms);
  }

  void cut_from_store(std::size_t i)
  {
    all[i]->to_store->is_cut = true;
    all[i]->is_in_touch = false;
  }

  // No answer of this relay reaches anybody, as when its process is paused.
  void silence_relay(std::size_t r)
  {
    cut_from_store(r);
    for (auto& i : all) {
      i->to_relays[r]->is_cut = true;
    }
  }

  std::uint64_t worst_in_touch_ms()
  {
    std::uint64_t worst = 0;
    for (auto& i : all) {
      if (i->is_in_touch) {
        note_lateness(*i, put_ms.size());
        worst = std::max(worst, i->worst_ms);
      }
    }
    return worst;
  }
};

// The cut comes at different moments of a watch.
constexpr std::uint64_t phases_ms[] = { 0, 350, 700, 970 };

template<typename Cut>
std::uint64_t
worst_lateness(Cut cut, std::uint64_t gather_ms = 0)
{
  constexpr std::uint64_t cut_for_ms = 8000;
  std::uint64_t worst = 0;
  for (const auto phase : phases_ms) {
    world w{ gather_ms };
    w.run(phase);
    cut(w);
    w.run(step_ms);
    w.change_for(cut_for_ms);
    worst = std::max(worst, w.worst_in_touch_ms());
  }
  return worst;
}

} // namespace

// Guards against a configuration that is in force late at entries whose relay
// is cut off from the store.
Test(views, learn_in_time_behind_a_relay_that_loses_the_store)
{
  SECTION("the first relay, which asks for all")
  {
    const auto worst = worst_lateness([](world& w) { w.cut_from_store(0); });
    cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
  }
}

// Guards against backend servers that get new work seconds after they were
// said to leave, as the list of them is asked for through a silent relay.
Test(views, learn_in_time_behind_a_relay_that_falls_silent)
{
  SECTION("the first relay")
  {
    const auto worst = worst_lateness([](world& w) { w.silence_relay(0); });
    cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
  }
  SECTION("two of three")
  {
    const auto worst = worst_lateness([](world& w) {
      w.silence_relay(0);
      w.silence_relay(1);
    });
    cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
  }
  SECTION("all of them")
  {
    const auto worst = worst_lateness([](world& w) {
      for (std::size_t r = 0; r < relays; ++r) {
        w.silence_relay(r);
      }
    });
    cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
  }
}

// Guards against a backend server that gets new work after it was said to
// leave: an earlier change was gathering, and the relay falls silent then.
Test(views, learn_in_time_while_changes_gather)
{
  constexpr std::uint64_t gather_ms = 600;
  const auto worst = worst_lateness(
    [](world& w) {
      w.put();
      w.run(step_ms);
      w.silence_relay(0);
    },
    gather_ms);
  cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
}

// Guards against a change that waits for a second silence: the answer with the
// change before it was held up by a relay that stood still, and the watch
// behind that answer is lost with the relay.
Test(views, learn_in_time_behind_an_answer_that_was_held_up)
{
  constexpr std::uint64_t held_up_ms = 900;
  constexpr std::uint64_t later_ms = 20;
  world w{ 0 };
  w.all[0]->is_in_touch = false;
  for (auto& i : w.all) {
    i->to_relays[0]->delay_ms = held_up_ms;
  }
  w.put();
  w.run(later_ms);
  for (auto& i : w.all) {
    i->to_relays[0]->keeps_requests = true;
  }
  w.put();
  w.run(2 * in_force_ms);
  const auto worst = w.worst_in_touch_ms();
  cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
}

// Guards against 404 for a route that is in force: an answer that was long on
// its way makes an old view look confirmed just now.
Test(views, are_as_old_as_the_answer_that_confirmed_them)
{
  const auto overstated = [](auto delay) {
    world w{ 0 };
    delay(w);
    // Some watches end without a change, and one comes while they end.
    constexpr std::uint64_t changes_ms = 6000;
    constexpr std::uint64_t pause_ms = 1130;
    w.change_for(changes_ms, pause_ms);
    std::uint64_t worst = 0;
    for (auto& i : w.all) {
      worst = std::max(worst, i->overstated_ms);
    }
    return worst;
  };
  constexpr std::uint64_t slow_ms = 200;
  SECTION("on its way from the store")
  {
    const auto ms = overstated([](world& w) {
      for (auto& i : w.all) {
        i->to_store->delay_ms = slow_ms;
      }
    });
    cr_assert_eq(ms, 0, "%zu ms", std::size_t{ ms });
  }
  SECTION("on its way from relays")
  {
    const auto ms = overstated([](world& w) {
      for (auto& i : w.all) {
        for (auto& way : i->to_relays) {
          way->delay_ms = slow_ms;
        }
      }
    });
    cr_assert_eq(ms, 0, "%zu ms", std::size_t{ ms });
  }
}

// Guards against 404 for a route that is in force: an entry whose machine was
// suspended takes its view for as fresh as before.
Test(views, grow_old_while_the_machine_is_suspended)
{
  constexpr std::uint64_t suspended_ms = 5000;
  world w{ 0 };
  w.clock.suspend(std::chrono::milliseconds{ suspended_ms });
  for (auto& i : w.all) {
    cr_assert_geq(http::boot_ms() - i->watcher->confirmed_ms(), suspended_ms);
  }
  w.run(in_force_ms);
  for (auto& i : w.all) {
    cr_assert_leq(http::boot_ms() - i->watcher->confirmed_ms(), in_force_ms);
  }
}

// Guards against an instance that waits for a relay whose answers do not reach
// it, while it reaches the store itself.
Test(views, learn_in_time_when_answers_of_relays_are_lost)
{
  const auto worst = worst_lateness([](world& w) {
    for (auto& i : w.all) {
      i->to_relays[0]->is_cut = true;
    }
  });
  cr_assert_leq(worst, in_force_ms, "%zu ms", std::size_t{ worst });
}
