// A request that ends every backend server that runs it: entries as processes,
// the store and the servers in the test.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

#include <asio/steady_timer.hpp>

#include <memory>

using namespace cactusford;
using nlohmann::json;
using standins::object_store;

namespace {

// How long instances may take to hear of each other, by the promise: after that
// a request that ended three servers reaches no more than three.
constexpr std::uint64_t contact_ms = 3000;
constexpr std::size_t ends_before = 3;
constexpr std::size_t late_runs_allowed = 3;

using world = testing::process_cluster;
using answer = testing::exchange_result;
using testing::poison_body;

// Sends a fatal request to one entry after the other until three servers have
// ended under it.
void
end_three(world& w,
          const std::string& target = "/look/",
          const std::string& key = {})
{
  const auto before = w.service.ends();
  for (std::size_t at = 0; w.service.ends() < before + ends_before; ++at) {
    w.wait_for_servers();
    w.call(at % w.entries.size(), poison_body, target, key);
  }
  w.wait_for_servers();
}

// Refused, with a time that says minutes: a server that is down is back sooner.
bool
is_kept_out(const answer& a)
{
  constexpr std::uint64_t least_s = 60;
  const auto back_s = http::number(a.value.fields, "Retry-After");
  return a.value.status == 503 && back_s.value_or(0) >= least_s;
}

// It comes twice more at each entry, while others are served.
void
expect_kept_out(world& w, const std::string& target)
{
  const auto before = w.count_poison_runs();
  std::size_t served = 0;
  for (std::size_t i = 0; i < 2 * w.entries.size(); ++i) {
    const auto at = i % w.entries.size();
    cr_expect(is_kept_out(w.call(at, poison_body, target)));
    served += w.call(at, "other", target).value.status == 200 ? 1 : 0;
    w.wait_for_servers();
  }
  cr_expect_leq(w.count_poison_runs() - before, late_runs_allowed);
  cr_expect_eq(served, 2 * w.entries.size());
}

} // namespace

// A caller's request ends each server that runs it. It comes again at one entry
// after the other, and all servers of the service go down together, again and
// again, while its callers are refused. Each entry judges each attempt alone:
// nothing remembers that servers have ended under this request, so it is sent
// to two more whenever it comes. Proof: the same fingerprint in all rounds.
Test(quarantine, keeps_out_a_request_that_ends_servers, .timeout = 120)
{
  world w{ "plain", 3 };
  cr_assert_eq(w.call(0, "other").value.status, 200);
  end_three(w);
  w.run_for(contact_ms);
  expect_kept_out(w, "/look/");
}

// The same, for a booking, which runs once at most, and for a stream. Neither
// is tried a second time, so that each arrival ends one server and is answered
// 502: it may have run. From the fourth on the caller is told that it has not.
Test(quarantine, keeps_out_bookings_and_streams_too, .timeout = 120)
{
  world w{ "ways", 2 };
  for (const auto* target : { "/book/", "/stream/" }) {
    end_three(w, target);
    w.run_for(contact_ms);
    expect_kept_out(w, target);
  }
}

// One caller's request ends servers; what another caller sends under a key of
// its own may run well, with the same path and body.
Test(quarantine, keeps_out_one_callers_request_not_anothers, .timeout = 120)
{
  world w{ "keyed", 2 };
  end_three(w, "/look/", "key-1");
  w.run_for(contact_ms);
  const auto before = w.count_poison_runs();
  for (std::size_t at = 0; at < w.entries.size(); ++at) {
    cr_expect(is_kept_out(w.call(at, poison_body, "/look/", "key-1")));
  }
  cr_expect_eq(w.count_poison_runs(), before);
  cr_expect_not(is_kept_out(w.call(0, poison_body, "/look/", "key-2")));
  cr_expect_gt(w.count_poison_runs(), before);
}

// A request is kept out. All entries are killed, and one that never saw it is
// added. What they know of it would go with them: each start would cost three
// servers. It stands in the store, and an entry is not ready before it has read
// it.
Test(quarantine, entries_that_start_anew_know_it, .timeout = 120)
{
  world w{ "anew", 3 };
  end_three(w);
  w.run_for(contact_ms);
  const auto before = w.count_poison_runs();
  for (auto& e : w.entries) {
    world::kill_entry(e);
  }
  for (auto& e : w.entries) {
    w.start(e);
  }
  w.wait_until_ready();
  for (std::size_t at = 0; at < w.entries.size(); ++at) {
    cr_expect(is_kept_out(w.call(at, poison_body)));
    cr_expect_eq(w.call(at, "other").value.status, 200);
  }
  cr_expect_eq(w.count_poison_runs(), before);
}

// The store is away while servers end under a request. The entry that sees it
// keeps it out alone; the others hear of it when the store is back.
Test(quarantine, reports_wait_for_the_store, .timeout = 120)
{
  world w{ "away", 2 };
  cr_assert_eq(w.call(0, "other").value.status, 200);
  bool is_away = true;
  w.store.faults = [&](const store::call& c) {
    const bool is_report = c.op == store::operation::create;
    return is_away && is_report ? object_store::fault::refuse
                                : object_store::fault::none;
  };
  while (w.service.ends() < ends_before) {
    w.wait_for_servers();
    w.call(0, poison_body);
  }
  w.wait_for_servers();
  cr_expect(is_kept_out(w.call(0, poison_body)));
  const auto before = w.count_poison_runs();
  is_away = false;
  w.run_for(contact_ms);
  cr_expect(is_kept_out(w.call(1, poison_body)));
  cr_expect_eq(w.count_poison_runs(), before);
}

namespace {

// Callers that ask for the same twenty things all the time, at all entries, and
// come back once when they are not served.
struct healthy_callers
{
  world& w;
  std::size_t asked = 0;
  std::size_t kept_out = 0;
  std::size_t at_once = 0;
  bool is_stopped = false;

  static constexpr std::size_t kinds = 20;
  static constexpr std::uint64_t gap_ms = 10;

  void go_on()
  {
    if (is_stopped) {
      return;
    }
    ++asked;
    ++at_once;
    const auto id = "h" + std::to_string(asked);
    const auto body = "lookup-" + std::to_string(asked % kinds);
    http::exchange_options o;
    o.timeout_ms = 5000;
    w.http.fetch(w.entries[asked % w.entries.size()].callers,
                 { "POST",
                   "/look/",
                   { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
                   body },
                 o,
                 [this](http::end_state end, http::response&& a) {
                   --at_once;
                   kept_out += is_kept_out({ end, std::move(a) }) ? 1 : 0;
                 });
    auto t = std::make_shared<asio::steady_timer>(
      w.io, std::chrono::milliseconds{ gap_ms });
    t->async_wait([this, t](asio::error_code ec) {
      if (!ec) {
        go_on();
      }
    });
  }

  void stop()
  {
    is_stopped = true;
    w.run_until([this] { return at_once == 0; });
    w.run_for(2 * gap_ms);
  }

  // All kinds are served now.
  void expect_served()
  {
    w.wait_for_servers();
    for (std::size_t k = 0; k < kinds; ++k) {
      const auto body = "lookup-" + std::to_string(k);
      cr_expect_eq(w.call(k % w.entries.size(), body).value.status, 200);
    }
  }
};

} // namespace

// A hundred healthy calls a second run beside a request that ends servers, and
// die with it, some of them twice. It is kept out; none of them ever is.
Test(quarantine, callers_beside_it_are_served, .timeout = 120)
{
  world w{ "beside", 3 };
  healthy_callers healthy{ w };
  healthy.go_on();
  end_three(w);
  w.run_for(contact_ms);
  expect_kept_out(w, "/look/");
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.asked, 100);
  cr_expect_eq(healthy.kept_out, 0);
}

// Servers end for causes of their own, one or all of them at a time, and others
// have all their connections reset. The same calls come all the time and die
// again and again. None of them is kept out.
Test(quarantine,
     callers_of_servers_that_end_by_themselves_are_served,
     .timeout = 120)
{
  world w{ "others", 3 };
  healthy_callers healthy{ w };
  healthy.go_on();
  constexpr std::size_t rounds = 6;
  constexpr std::size_t servers = 4;
  for (std::size_t round = 0; round < rounds; ++round) {
    for (std::size_t s = 0; s < servers; ++s) {
      w.service.reset_server(s);
    }
    w.run_for(100);
    if (round % 2 == 0) {
      w.service.end_server(round % servers);
    } else {
      for (std::size_t s = 0; s < servers; ++s) {
        w.service.end_server(s);
      }
    }
    // Sooner than the entries hear of the new lives.
    w.run_until([&w] { return w.service.all_up(); });
    w.run_for(100);
  }
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.asked, 100);
  cr_expect_eq(healthy.kept_out, 0);
}

// Anybody may write to the store. Reports that can't be read count for nothing
// and hide no others.
Test(quarantine, reports_of_other_writers_do_no_harm, .timeout = 120)
{
  world w{ "broken", 1 };
  w.store.put("ended-backends", "a", "text");
  w.store.put("ended-backends", "b", { { "by", 3 } });
  w.store.put("ended-backends", "c", json::array());
  end_three(w);
  cr_expect(is_kept_out(w.call(0, poison_body)));
  cr_expect_eq(w.call(0, "other").value.status, 200);
}
