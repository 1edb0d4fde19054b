#include "cactusford/edge/forward.h"

#include "cactusford/testing/section.h"

#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"
#include "standins/flooding_server.h"
#include "standins/object_store.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace cactusford;
using namespace cactusford::edge;
using http::exchange_outcome;

namespace {

attempt_end
answered(int status)
{
  return { exchange_outcome::complete, status, false, true };
}

attempt_end
refused()
{
  return { exchange_outcome::complete, 503, true, false };
}

attempt_end
ended(exchange_outcome e)
{
  return { e, 0, false, false };
}

call_progress
progress(bool repeatable, std::uint32_t runs, std::uint32_t max_runs)
{
  return { repeatable, runs, max_runs, runs };
}

} // namespace

Test(forward, delivers_the_backend_servers_own_answer)
{
  cr_assert(after_attempt(answered(200), progress(true, 1, 3)) ==
            next_step::deliver);
  cr_assert(after_attempt(answered(404), progress(true, 1, 3)) ==
            next_step::deliver);
  SECTION("an error too, if the call must not run again")
  {
    cr_assert(after_attempt(answered(500), progress(false, 1, 3)) ==
              next_step::deliver);
  }
  SECTION("but a success without a signature is not from a backend server")
  {
    const attempt_end unsigned_ok{
      exchange_outcome::complete, 200, false, false
    };
    cr_assert(after_attempt(unsigned_ok, progress(true, 1, 3)) ==
              next_step::try_another);
    cr_assert(after_attempt(unsigned_ok, progress(false, 1, 3)) ==
              next_step::give_up_unknown);
  }
}

// Guards against running a non-idempotent call twice. The connection of a seat
// reservation ends without an answer, so the call may have run. A repeat could
// reserve the seat twice, and so could the caller's own retry if it were told
// that the call was not run.
Test(forward, never_repeats_what_may_have_run_and_must_not_run_twice)
{
  for (const auto e : { exchange_outcome::connection_lost,
                        exchange_outcome::timed_out,
                        exchange_outcome::malformed }) {
    cr_assert(after_attempt(ended(e), progress(false, 1, 3)) ==
              next_step::give_up_unknown);
    cr_assert(after_attempt(ended(e), progress(true, 1, 3)) ==
              next_step::try_another);
  }
  SECTION("a call that has certainly not run goes to another server")
  {
    cr_assert(after_attempt(refused(), progress(false, 0, 1)) ==
              next_step::try_another);
    cr_assert(after_attempt(ended(exchange_outcome::not_sent),
                            progress(false, 0, 1)) == next_step::try_another);
  }
}

// A suspected request arrives again, and its server crashes. If the same call
// repeated it, each arrival would crash two servers. Refusals and connections
// that were never established are no evidence against the request.
Test(forward, does_not_repeat_a_suspect_after_a_lost_connection)
{
  auto suspect = progress(true, 1, 3);
  suspect.repeatable_after_disconnect = false;
  cr_assert(after_attempt(ended(exchange_outcome::connection_lost), suspect) ==
            next_step::give_up_unknown);
  cr_assert(after_attempt(ended(exchange_outcome::not_sent), suspect) ==
            next_step::try_another);
  cr_assert(after_attempt(refused(), suspect) == next_step::try_another);
  cr_assert(after_attempt(answered(500), suspect) == next_step::try_another);
}

Test(forward, reports_not_run_only_if_no_server_may_have_run_it)
{
  call_progress no_run{ true, 0, 3, 6 };
  cr_assert(after_attempt(refused(), no_run) == next_step::give_up_not_run);
  call_progress one_run{ true, 1, 3, 6 };
  cr_assert(after_attempt(refused(), one_run) == next_step::give_up_unknown);
}

Test(forward, respects_the_maximum_runs_of_the_route)
{
  cr_assert(after_attempt(ended(exchange_outcome::connection_lost),
                          progress(true, 3, 3)) == next_step::give_up_unknown);
}

// A scorer call is answered three times with 500, and the fourth time with 504
// at the deadline. If that counted as a fourth failure, the item would be
// marked as errored although its scorer might still accept it.
Test(forward, counts_only_answers_that_report_a_failed_run)
{
  attempt_end end;
  end.state = cactusford::http::exchange_outcome::complete;
  end.is_signed = true;
  end.status = 500;
  cr_assert(is_failed_run(end));
  SECTION("an answer at the deadline does not count")
  {
    end.status = 504;
    cr_assert_not(is_failed_run(end));
  }
  SECTION("a refusal or a lost connection does not count")
  {
    end.status = 500;
    end.not_run = true;
    cr_assert_not(is_failed_run(end));
    end.not_run = false;
    end.state = cactusford::http::exchange_outcome::connection_lost;
    cr_assert_not(is_failed_run(end));
  }
}

namespace {

// A backend server that accepts connections but never answers.
struct silent_backend
{
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket socket;
  std::string buffer = std::string(4096, '\0');
  asio::error_code end;

  explicit silent_backend(asio::io_context& io)
    : acceptor{ io, { asio::ip::make_address_v4("127.0.0.1"), 0 } }
    , socket{ io }
  {
    acceptor.async_accept(socket, [this](asio::error_code ec) {
      if (!ec) {
        read();
      }
    });
  }

  void read()
  {
    socket.async_read_some(asio::buffer(buffer),
                           [this](asio::error_code ec, std::size_t) {
                             end = ec;
                             if (!ec) {
                               read();
                             }
                           });
  }

  std::uint16_t port() const { return acceptor.local_endpoint().port(); }
};

} // namespace

// Guards against late delivery of a losing attempt. A partition blocks a scorer
// call, and a second attempt on another server is answered. The first one stays
// in the kernel's send buffer; when the partition healed, it reached its
// backend server three seconds after the batch had ended, in 2 of 4 repeats of
// a soak day. Cancelling it after a grace period and resetting the connection
// discards it (0 of 12); either measure alone did not suffice (3 of 6 each).
Test(forward, discards_an_attempt_that_lost_to_a_later_one)
{
  asio::io_context io;
  silent_backend silent{ io };
  http::server answering{ io, {}, [](const http::call& c) {
                           c.respond({ 200, { { "Signature", "s" } }, "" });
                         } };
  cr_assert_not(answering.listen("127.0.0.1:0"));
  backends::registry registry;
  const auto add = [&](const char* id, std::uint16_t port, std::uint64_t ms) {
    backends::announcement a;
    a.id = id;
    a.service = "scorers";
    a.address = "127.0.0.1:" + std::to_string(port);
    backends::announce(registry, a);
    backends::note_success(*backends::find(registry, id), ms);
  };
  // The silent server has the lower latency so far and is contacted first.
  add("silent", silent.port(), 1);
  add("good", answering.port(), 100);
  dialect d;
  d.headers.signature = "Signature";
  d.headers.deadline_ms = "Wait";
  d.headers.expected_backend = "Expect";
  http::client http{ io };
  forwarder calls{ io, http, registry, d, "a" };
  forward_request r;
  r.request = { "POST", "/score/", { { "Host", "h" } }, "b" };
  r.route.kind = routes::call_kind::idempotent;
  r.route.services = { { "scorers", 1 } };
  r.route.max_attempts = 4;
  constexpr std::uint64_t timeout_ms = 20000;
  r.give_up_ms = http::now_ms() + timeout_ms;
  bool answered = false;
  calls.start(std::move(r), [&](forward_outcome&& o) {
    answered = o.what == forward_end::answered;
  });
  while (!silent.end) {
    io.run_one();
  }
  cr_assert(answered);
  cr_assert(silent.end == asio::error::connection_reset);
  cr_assert_eq(backends::find(registry, "silent")->in_flight, 0);
}

namespace {

// Answers each request so late that a second attempt is made before.
struct slow_backend
{
  asio::io_context& io;
  int runs = 0;
  http::server server{ io, {}, [this](const http::call& c) {
                        ++runs;
                        constexpr std::uint64_t delay_ms = 600;
                        auto t = std::make_shared<asio::steady_timer>(
                          io, std::chrono::milliseconds{ delay_ms });
                        t->async_wait([t, c](asio::error_code) {
                          c.respond({ 200, { { "Signature", "s" } }, "" });
                        });
                      } };

  explicit slow_backend(asio::io_context& context)
    : io{ context }
  {
    server.listen("127.0.0.1:0");
  }
};

} // namespace

// A slow lookup is also sent to a second server. If a server has crashed under
// the same request before, the second attempt could crash another server at the
// same time, so it is not made.
Test(forward, makes_no_concurrent_attempts_of_a_suspect)
{
  asio::io_context io;
  standins::object_store store{ io };
  slow_backend first{ io };
  slow_backend second{ io };
  backends::registry registry;
  for (auto* b : { &first, &second }) {
    backends::announcement a;
    a.address = "127.0.0.1:" + std::to_string(b->server.port());
    a.id = a.address;
    a.service = "lookups";
    backends::announce(registry, a);
  }
  auto d = standins::json_dialect();
  http::client http{ io };
  store::client client{ io, http, d.store, { store.address(), {} } };
  quarantine::manager quarantine_manager{
    io, client, registry, { "entry", false }
  };
  forwarder calls{ io, http, registry, d, "a", &quarantine_manager };
  const auto call = [&] {
    forward_request r;
    r.request = { "POST", "/look/", { { "Host", "h" } }, "b" };
    r.route.kind = routes::call_kind::idempotent;
    r.route.services = { { "lookups", 1 } };
    r.route.max_attempts = 2;
    constexpr std::uint64_t timeout_ms = 20000;
    r.give_up_ms = http::now_ms() + timeout_ms;
    const auto fingerprint = quarantine::fingerprint_of(r.request);
    bool answered = false;
    calls.start(std::move(r), [&](forward_outcome&& o) {
      answered = o.what == forward_end::answered;
    });
    while (!answered) {
      io.run_one();
    }
    return fingerprint;
  };
  const auto fingerprint = call();
  cr_assert_eq(first.runs + second.runs, 2);
  // Waits for the other attempt too: its answer would clear the suspicion
  // later.
  const auto has_open_attempts = [&] {
    return std::any_of(registry.all.begin(),
                       registry.all.end(),
                       [](const auto& e) { return e.second.in_flight > 0; });
  };
  while (has_open_attempts()) {
    io.run_one();
  }
  SECTION("with one crash attributed to the request")
  {
    // Nothing listens on the discard port (9) of the local host.
    quarantine_manager.on_connection_lost(
      { "ended", 1 }, "127.0.0.1:9", fingerprint);
    while (quarantine_manager.counts().crashes == 0) {
      io.run_one();
    }
    call();
    cr_assert_eq(first.runs + second.runs, 3);
  }
}

// Guards against calls that wait although servers are free: a call that is
// refused by a full server and then needs a trial kept its room in the queue,
// for up to the ten seconds of another instance's trial.
Test(forward, a_call_that_needs_a_trial_leaves_the_queue)
{
  asio::io_context io;
  standins::object_store store{ io };
  std::vector<http::call> held;
  const http::server::handler hold = [&](const http::call& c) {
    held.push_back(c);
  };
  http::server first{ io, {}, hold };
  http::server second{ io, {}, hold };
  backends::registry registry;
  for (auto* server : { &first, &second }) {
    server->listen("127.0.0.1:0");
    backends::announcement a;
    a.address = "127.0.0.1:" + std::to_string(server->port());
    a.id = a.address;
    a.service = "plain";
    backends::announce(registry, a);
  }
  auto d = standins::json_dialect();
  http::client http{ io };
  store::client client{ io, http, d.store, { store.address(), {} } };
  quarantine::manager quarantine_manager{
    io, client, registry, { "entry", false }
  };
  forwarder calls{ io, http, registry, d, "a", &quarantine_manager };
  calls.is_queued = [](const std::string&) { return true; };
  forward_request r;
  r.request = { "POST", "/look/", { { "Host", "h" } }, "b" };
  r.route.services = { { "plain", 1 } };
  constexpr std::uint64_t timeout_ms = 20000;
  r.give_up_ms = http::now_ms() + timeout_ms;
  const auto fingerprint = quarantine::fingerprint_of(r.request);
  std::optional<forward_end> end;
  calls.start(std::move(r), [&](forward_outcome&& o) { end = o.what; });
  while (held.empty()) {
    io.run_one();
  }
  cr_assert_eq(calls.queues()[0].queue->running.size(), 1);
  // Another request runs on the same servers, so a trial has to decide. Nothing
  // listens on the discard port (9) of the local host.
  for (const auto* id : { "x", "y", "z" }) {
    for (const auto& f : { fingerprint, std::string{ "0123456789abcdef" } }) {
      quarantine_manager.on_connection_lost({ id, 1 }, "127.0.0.1:9", f);
    }
  }
  while (quarantine_manager.counts().crashes < 3) {
    io.run_one();
  }
  held[0].respond({ 503, { { d.headers.not_run, "1" } }, "" });
  while (held.size() < 2) {
    io.run_one();
  }
  cr_assert(calls.queues()[0].queue->running.empty());
  held[1].respond({ 200, { { d.headers.signature, "s" } }, "" });
  while (!end) {
    io.run_one();
  }
  cr_assert(*end == forward_end::answered);
}

// Guards against counting a call for ever on a server whose entry expires and
// returns before the call has ended.
Test(forward, counts_a_call_once_while_the_entry_of_its_server_returns)
{
  asio::io_context io;
  slow_backend server{ io };
  backends::registry registry;
  backends::announcement a;
  a.address = "127.0.0.1:" + std::to_string(server.server.port());
  a.id = "late";
  a.started_ms = 1;
  a.service = "lookups";
  backends::announce(registry, a);
  const auto d = standins::json_dialect();
  http::client http{ io };
  forwarder calls{ io, http, registry, d, "a" };
  forward_request r;
  r.request = { "POST", "/look/", { { "Host", "h" } }, "b" };
  r.route.kind = routes::call_kind::idempotent;
  r.route.services = { { "lookups", 1 } };
  r.route.max_attempts = 1;
  constexpr std::uint64_t timeout_ms = 20000;
  r.give_up_ms = http::now_ms() + timeout_ms;
  bool answered = false;
  calls.start(std::move(r), [&](forward_outcome&& o) {
    answered = o.what == forward_end::answered;
  });
  while (server.runs == 0) {
    io.run_one();
  }
  backends::withdraw(registry, "late", http::now_ms());
  backends::announce(registry, a);
  cr_assert_eq(backends::find(registry, "late")->in_flight, 1);
  while (!answered) {
    io.run_one();
  }
  cr_assert_eq(backends::find(registry, "late")->in_flight, 0);
}

// Guards against a server whose response has no end holding a call until its
// deadline.
Test(forward, repeats_a_call_whose_response_has_no_end)
{
  asio::io_context io;
  standins::flooding_server faulty{
    io,
    "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 99999999999\r\n\r\n",
    "x"
  };
  slow_backend sound{ io };
  backends::registry registry;
  const auto add = [&](const std::string& address) {
    backends::announcement a;
    a.id = address;
    a.address = address;
    a.service = "lookups";
    backends::announce(registry, a);
  };
  add(faulty.address());
  const auto d = standins::json_dialect();
  http::client http{ io };
  forwarder calls{ io, http, registry, d, "a" };
  const auto sound_address = "127.0.0.1:" + std::to_string(sound.server.port());
  const auto call = [&](routes::call_kind kind, bool adds_sound_server) {
    forward_request r;
    r.request = { "POST", "/look/", { { "Host", "h" } }, "b" };
    r.route.kind = kind;
    r.route.services = { { "lookups", 1 } };
    r.route.max_attempts = 2;
    constexpr std::uint64_t timeout_ms = 20000;
    r.give_up_ms = http::now_ms() + timeout_ms;
    std::optional<forward_end> end;
    calls.start(std::move(r), [&](forward_outcome&& o) {
      end = o.what;
      if (o.what == forward_end::answered) {
        cr_assert(o.answer.body.empty());
      }
    });
    while (!end) {
      io.run_one();
      if (faulty.requests() > 0 && adds_sound_server) {
        add(sound_address);
        adds_sound_server = false;
      }
    }
    return *end;
  };
  SECTION("an idempotent one is answered by another server")
  {
    cr_assert(call(routes::call_kind::idempotent, true) ==
              forward_end::answered);
    cr_assert_eq(sound.runs, 1);
  }
  SECTION("the outcome of any other one is unknown")
  {
    backends::drop(registry, sound_address);
    cr_assert(call(routes::call_kind::non_idempotent, false) ==
              forward_end::unknown);
    cr_assert_eq(sound.runs, 1);
  }
}
