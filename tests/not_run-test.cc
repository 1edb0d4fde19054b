// A 503 promises the caller that its call has not run, so it may repeat a call
// that is not idempotent. These tests end such a call while it runs.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

// Sends a call that is not idempotent and returns where its result appears.
std::shared_ptr<std::optional<exchange_result>>
start_booking(process_cluster& c)
{
  auto result = std::make_shared<std::optional<exchange_result>>();
  const auto id = "r" + std::to_string(++c.next_id);
  c.http.fetch(c.entries.front().callers,
               { "POST",
                 "/book/",
                 { { "Host", "h" }, { "Id", id }, { "Wait", "2000" } },
                 "seat" },
               {},
               [result](http::exchange_outcome end, http::response&& r) {
                 *result = { end, std::move(r) };
               });
  return result;
}

std::shared_ptr<std::optional<exchange_result>>
start_booking_and_wait_until_it_runs(process_cluster& c)
{
  const auto runs = c.service.runs().size();
  auto result = start_booking(c);
  c.run_until([&] { return c.service.runs().size() > runs; });
  return result;
}

constexpr std::size_t server_count = 4;

} // namespace

// Guards against a seat that is booked twice: the connection to the server is
// cut after the request was sent, and the entry repeats the call or reports
// that it has not run.
Test(not_run, is_not_reported_after_a_lost_connection, .timeout = 60)
{
  constexpr std::uint64_t work_ms = 300;
  process_cluster cluster{ "cut", 1, json::object(), work_ms };
  cluster.wait_for_servers();
  std::size_t calls = 0;
  const auto check = [&](const auto& result) {
    cluster.run_until([&] { return result->has_value(); });
    cr_assert_eq((*result)->value.status, 502);
    // Longer than a second attempt would take to arrive.
    cluster.run_for(2 * work_ms);
    cr_assert_eq(cluster.service.runs().size(), ++calls);
  };
  SECTION("the connection is reset")
  {
    const auto result = start_booking_and_wait_until_it_runs(cluster);
    for (std::size_t i = 0; i < server_count; ++i) {
      cluster.service.reset_connections(i);
    }
    check(result);
  }
  SECTION("the server crashes")
  {
    const auto result = start_booking_and_wait_until_it_runs(cluster);
    for (std::size_t i = 0; i < server_count; ++i) {
      cluster.service.crash_server(i);
    }
    check(result);
  }
}

// Guards against a seat that is booked twice: the entry shuts down while the
// call runs and reports that it has not run.
Test(not_run, is_not_reported_at_shutdown, .timeout = 60)
{
  constexpr std::uint64_t work_ms = 1500;
  process_cluster cluster{ "leaving", 2, json::object(), work_ms };
  cluster.wait_for_servers();
  auto& e = cluster.entries.front();
  const auto check_lost = [&](const auto& result) {
    cluster.run_until([&] { return result->has_value(); });
    cr_assert((*result)->end == http::exchange_outcome::connection_lost);
    cr_assert_eq(waitpid(e.pid, nullptr, 0), e.pid);
    e.pid = 0;
  };
  SECTION("a call that ends within the grace period is answered")
  {
    const auto result = start_booking_and_wait_until_it_runs(cluster);
    kill(e.pid, SIGTERM);
    cluster.run_until([&] { return result->has_value(); });
    cr_assert_eq((*result)->value.status, 200);
  }
  SECTION("one that may not is refused at once, and does not run")
  {
    // Starts 1.5 s after the signal; the last answers are given 0.8 s later.
    const auto runs = cluster.service.runs().size();
    const auto started_ms = http::now_ms();
    const auto result = start_booking(cluster);
    cluster.run_until([&] { return result->has_value(); });
    cr_assert((*result)->end == http::exchange_outcome::complete);
    cr_assert_eq((*result)->value.status, 503);
    cr_assert_lt(http::now_ms() - started_ms, work_ms / 2);
    cr_assert_eq(waitpid(e.pid, nullptr, 0), e.pid);
    e.pid = 0;
    cluster.run_for(2 * work_ms);
    cr_assert_eq(cluster.service.runs().size(), runs);
  }
  SECTION("one whose entry is killed is cut without an answer")
  {
    cluster.start(e);
    cluster.wait_until_ready();
    cluster.wait_for_servers();
    const auto result = start_booking_and_wait_until_it_runs(cluster);
    kill(e.pid, SIGKILL);
    check_lost(result);
  }
  cr_assert_eq(cluster.service.runs().size(), 2);
}

// Guards against a seat that is booked twice: the call outlasts the stop of its
// entry, which reports that it has not run.
Test(not_run, is_not_reported_for_a_call_that_outlasts_a_stop, .timeout = 60)
{
  constexpr std::uint64_t work_ms = 6000;
  process_cluster cluster{ "outlasting", 1, json::object(), work_ms };
  cluster.wait_for_servers();
  auto& e = cluster.entries.front();
  const auto result = start_booking_and_wait_until_it_runs(cluster);
  kill(e.pid, SIGTERM);
  cluster.run_until([&] { return result->has_value(); });
  cr_assert((*result)->end == http::exchange_outcome::complete);
  const auto status = (*result)->value.status;
  cr_assert(status == 502 || status == 504, "%d", status);
  cr_assert_eq(waitpid(e.pid, nullptr, 0), e.pid);
  e.pid = 0;
  cr_assert_eq(cluster.service.runs().size(), 1);
}
