// Poison requests, which crash every backend server that runs them. Entries run
// as processes; the store and the servers run in the test.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

#include <asio/steady_timer.hpp>

#include <memory>

using namespace cactusford;
using nlohmann::json;
using standins::object_store;

namespace {

// Time within which the promise requires reports to reach all instances. After
// it, a request that crashed three servers may reach at most three more.
constexpr std::uint64_t propagation_ms = 3000;
constexpr std::size_t crashes_to_quarantine = 3;
constexpr std::size_t max_late_runs = 3;

using cluster = testing::process_cluster;
using answer = testing::exchange_result;
using testing::poison_body;

// Sends a poison request to one entry after the other until it has crashed
// three servers.
void
crash_three(cluster& c,
            const std::string& target = "/look/",
            const std::string& key = {})
{
  const auto before = c.service.crashes();
  for (std::size_t at = 0; c.service.crashes() < before + crashes_to_quarantine;
       ++at) {
    c.wait_for_servers();
    c.call(at % c.entries.size(), poison_body, target, key);
  }
  c.wait_for_servers();
}

// Returns true if the request was refused with a Retry-After of minutes. A
// server that is down restarts sooner, so such a value means quarantine.
bool
is_quarantined(const answer& a)
{
  constexpr std::uint64_t min_retry_after_s = 60;
  const auto retry_after_s = http::find_number(a.value.fields, "Retry-After");
  return a.value.status == 503 &&
         retry_after_s.value_or(0) >= min_retry_after_s;
}

// Sends the poison request to each entry twice more and expects that it is
// refused while other requests are served. If other requests ran on the servers
// that crashed, up to `trials` runs may settle first which of them it was; from
// then on it is refused.
void
expect_quarantined(cluster& c,
                   const std::string& target,
                   std::size_t trials = 0)
{
  const auto before = c.count_poison_runs();
  std::size_t served = 0;
  for (std::size_t i = 0; i < 2 * c.entries.size(); ++i) {
    const auto at = i % c.entries.size();
    const bool is_refused = is_quarantined(c.call(at, poison_body, target));
    cr_expect(is_refused || i < trials);
    served += c.call(at, "other", target).value.status == 200 ? 1 : 0;
    c.wait_for_servers();
  }
  cr_expect_leq(c.count_poison_runs() - before,
                trials > 0 ? trials : max_late_runs);
  cr_expect_eq(served, 2 * c.entries.size());
}

} // namespace

// Guards against a poison request that takes down all servers of a service
// again and again, so that other callers are refused. This happens if each
// entry judges each attempt on its own: without a record of the crashes, the
// request is sent to two more servers whenever it arrives. It has the same
// fingerprint every time, which is what the quarantine recognises.
Test(quarantine, refuses_a_request_that_crashes_servers, .timeout = 120)
{
  cluster c{ "plain", 3 };
  cr_assert_eq(c.call(0, "other").value.status, 200);
  crash_three(c);
  c.run_for(propagation_ms);
  expect_quarantined(c, "/look/");
}

// The same for a booking, which runs at most once, and for a stream. Neither is
// retried, so each of the first three arrivals crashes one server and is
// answered with 502, because it may have run. From the fourth on, the response
// says that it has not run.
Test(quarantine, refuses_bookings_and_streams_too, .timeout = 120)
{
  cluster c{ "ways", 2 };
  for (const auto* target : { "/book/", "/stream/" }) {
    crash_three(c, target);
    c.run_for(propagation_ms);
    expect_quarantined(c, target);
  }
}

// One caller's request crashes servers. The same path and body sent by another
// caller with a different key may be healthy and is not refused.
Test(quarantine, refuses_one_callers_request_not_anothers, .timeout = 120)
{
  cluster c{ "keyed", 2 };
  crash_three(c, "/look/", "key-1");
  c.run_for(propagation_ms);
  const auto before = c.count_poison_runs();
  for (std::size_t at = 0; at < c.entries.size(); ++at) {
    cr_expect(is_quarantined(c.call(at, poison_body, "/look/", "key-1")));
  }
  cr_expect_eq(c.count_poison_runs(), before);
  cr_expect_not(is_quarantined(c.call(0, poison_body, "/look/", "key-2")));
  cr_expect_gt(c.count_poison_runs(), before);
}

// A request is quarantined and all entries are killed and restarted. If the
// evidence were only in their memory, each restart would cost three servers. It
// is in the store, and an entry is not ready before it has read it.
Test(quarantine, survives_a_restart_of_all_entries, .timeout = 120)
{
  cluster c{ "anew", 3 };
  crash_three(c);
  c.run_for(propagation_ms);
  const auto before = c.count_poison_runs();
  for (auto& e : c.entries) {
    cluster::kill_entry(e);
  }
  for (auto& e : c.entries) {
    c.start(e);
  }
  c.wait_until_ready();
  for (std::size_t at = 0; at < c.entries.size(); ++at) {
    cr_expect(is_quarantined(c.call(at, poison_body)));
    cr_expect_eq(c.call(at, "other").value.status, 200);
  }
  cr_expect_eq(c.count_poison_runs(), before);
}

// The store is down while a request crashes servers. The entry that detects
// this quarantines the request alone; the others receive the reports when the
// store is back.
Test(quarantine, reports_wait_for_the_store, .timeout = 120)
{
  cluster c{ "away", 2 };
  cr_assert_eq(c.call(0, "other").value.status, 200);
  bool is_store_down = true;
  c.store.inject_fault = [&](const store::call& call) {
    const bool is_report_write = call.op == store::operation::create;
    return is_store_down && is_report_write ? object_store::fault::refuse
                                            : object_store::fault::none;
  };
  while (c.service.crashes() < crashes_to_quarantine) {
    c.wait_for_servers();
    c.call(0, poison_body);
  }
  c.wait_for_servers();
  cr_expect(is_quarantined(c.call(0, poison_body)));
  const auto before = c.count_poison_runs();
  is_store_down = false;
  c.run_for(propagation_ms);
  cr_expect(is_quarantined(c.call(1, poison_body)));
  cr_expect_eq(c.count_poison_runs(), before);
}

namespace {

// Callers that continuously send the same twenty different requests to all
// entries.
struct healthy_callers
{
  cluster& c;
  std::size_t sent = 0;
  std::size_t quarantined = 0;
  std::size_t in_flight = 0;
  bool is_stopped = false;

  static constexpr std::size_t kinds = 20;
  static constexpr std::uint64_t gap_ms = 10;

  void send_next()
  {
    if (is_stopped) {
      return;
    }
    ++sent;
    ++in_flight;
    const auto id = "h" + std::to_string(sent);
    const auto body = "lookup-" + std::to_string(sent % kinds);
    http::exchange_options o;
    o.timeout_ms = 5000;
    c.http.fetch(
      c.entries[sent % c.entries.size()].callers,
      { "POST",
        "/look/",
        { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
        body },
      o,
      [this](http::exchange_outcome end, http::response&& response) {
        --in_flight;
        quarantined += is_quarantined({ end, std::move(response) }) ? 1 : 0;
      });
    auto t = std::make_shared<asio::steady_timer>(
      c.io, std::chrono::milliseconds{ gap_ms });
    t->async_wait([this, t](asio::error_code ec) {
      if (!ec) {
        send_next();
      }
    });
  }

  void stop()
  {
    is_stopped = true;
    c.run_until([this] { return in_flight == 0; });
    c.run_for(2 * gap_ms);
  }

  // Expects that each of the different requests is served.
  void expect_served()
  {
    c.wait_for_servers();
    for (std::size_t k = 0; k < kinds; ++k) {
      const auto body = "lookup-" + std::to_string(k);
      cr_expect_eq(c.call(k % c.entries.size(), body).value.status, 200);
    }
  }
};

} // namespace

// A hundred healthy calls a second run next to a poison request and fail with
// it, some of them twice. Only the poison request may be quarantined.
Test(quarantine, healthy_callers_are_served, .timeout = 120)
{
  cluster c{ "beside", 3 };
  healthy_callers healthy{ c };
  healthy.send_next();
  crash_three(c);
  c.run_for(propagation_ms);
  expect_quarantined(c, "/look/", 1);
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.sent, 100);
  cr_expect_eq(healthy.quarantined, 0);
}

// Servers crash for unrelated causes, one or all at a time, and connections to
// the other servers are reset. The same calls arrive continuously and fail
// again and again. None of them may be quarantined.
Test(quarantine, unrelated_crashes_quarantine_nothing, .timeout = 120)
{
  cluster c{ "others", 3 };
  healthy_callers healthy{ c };
  healthy.send_next();
  constexpr std::size_t rounds = 6;
  constexpr std::size_t servers = 4;
  for (std::size_t round = 0; round < rounds; ++round) {
    for (std::size_t s = 0; s < servers; ++s) {
      c.service.reset_connections(s);
    }
    c.run_for(100);
    if (round % 2 == 0) {
      c.service.crash_server(round % servers);
    } else {
      for (std::size_t s = 0; s < servers; ++s) {
        c.service.crash_server(s);
      }
    }
    // Continue before the entries learn of the new incarnations.
    c.run_until([&c] { return c.service.all_running(); });
    c.run_for(100);
  }
  healthy.stop();
  healthy.expect_served();
  cr_expect_gt(healthy.sent, 100);
  cr_expect_eq(healthy.quarantined, 0);
}

// Any client may write to the store. Malformed reports are ignored and do not
// hide valid ones.
Test(quarantine, malformed_reports_are_ignored, .timeout = 120)
{
  cluster c{ "broken", 1 };
  c.store.put("ended-backends", "a", "text");
  c.store.put("ended-backends", "b", { { "by", 3 } });
  c.store.put("ended-backends", "c", json::array());
  crash_three(c);
  cr_expect(is_quarantined(c.call(0, poison_body)));
  cr_expect_eq(c.call(0, "other").value.status, 200);
}
