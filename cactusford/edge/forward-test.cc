#include "cactusford/edge/forward.h"

#include "cactusford/testing/section.h"

#include "cactusford/http/server.h"
#include "cactusford/http/socket.h"
#include "standins/object_store.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include <algorithm>

using namespace cactusford;
using namespace cactusford::edge;
using http::end_state;

namespace {

attempt_end
answered(int status)
{
  return { end_state::complete, status, false, true };
}

attempt_end
refused()
{
  return { end_state::complete, 503, true, false };
}

attempt_end
ended(end_state e)
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
  SECTION("its failure too, when it must not run again")
  {
    cr_assert(after_attempt(answered(500), progress(false, 1, 3)) ==
              next_step::deliver);
  }
  SECTION("but a success without its signature comes from nobody")
  {
    const attempt_end unsigned_ok{ end_state::complete, 200, false, false };
    cr_assert(after_attempt(unsigned_ok, progress(true, 1, 3)) ==
              next_step::try_another);
    cr_assert(after_attempt(unsigned_ok, progress(false, 1, 3)) ==
              next_step::give_up_unknown);
  }
}

// A seat hold is sent, and its connection ends without an answer. It may have
// run. Sent again, it could hold the seat twice; called "not run", the caller
// would send it again itself.
Test(forward, never_repeats_what_may_have_run_and_must_not_run_twice)
{
  for (const auto e :
       { end_state::cut, end_state::timed_out, end_state::malformed }) {
    cr_assert(after_attempt(ended(e), progress(false, 1, 3)) ==
              next_step::give_up_unknown);
    cr_assert(after_attempt(ended(e), progress(true, 1, 3)) ==
              next_step::try_another);
  }
  SECTION("what surely has not run goes elsewhere, whatever its kind")
  {
    cr_assert(after_attempt(refused(), progress(false, 0, 1)) ==
              next_step::try_another);
    cr_assert(after_attempt(ended(end_state::not_sent),
                            progress(false, 0, 1)) == next_step::try_another);
  }
}

// A request under which a server has ended comes again, and its server ends.
// Tried once more by the same call it would end two servers at each arrival;
// refused answers and connections that were never made say nothing against it.
Test(forward, tries_a_suspect_once_after_a_cut)
{
  auto suspect = progress(true, 1, 3);
  suspect.repeatable_after_cut = false;
  cr_assert(after_attempt(ended(end_state::cut), suspect) ==
            next_step::give_up_unknown);
  cr_assert(after_attempt(ended(end_state::not_sent), suspect) ==
            next_step::try_another);
  cr_assert(after_attempt(refused(), suspect) == next_step::try_another);
  cr_assert(after_attempt(answered(500), suspect) == next_step::try_another);
}

Test(forward, says_not_run_only_when_nobody_has_run_it)
{
  call_progress none{ true, 0, 3, 6 };
  cr_assert(after_attempt(refused(), none) == next_step::give_up_not_run);
  call_progress one{ true, 1, 3, 6 };
  cr_assert(after_attempt(refused(), one) == next_step::give_up_unknown);
}

Test(forward, keeps_to_the_routes_number_of_runs)
{
  cr_assert(after_attempt(ended(end_state::cut), progress(true, 3, 3)) ==
            next_step::give_up_unknown);
}

// A scorer answers three times with 500, and the fourth one runs into the
// deadline and answers 504. Counted as four failures, the item would be given
// up as errored though its scorer may still accept it.
Test(forward, counts_only_what_says_that_the_call_failed)
{
  attempt_end end;
  end.state = cactusford::http::end_state::complete;
  end.is_signed = true;
  end.status = 500;
  cr_assert(is_failed_run(end));
  SECTION("not an answer at the deadline")
  {
    end.status = 504;
    cr_assert_not(is_failed_run(end));
  }
  SECTION("nor one that was not run, or was cut")
  {
    end.status = 500;
    end.not_run = true;
    cr_assert_not(is_failed_run(end));
    end.not_run = false;
    end.state = cactusford::http::end_state::cut;
    cr_assert_not(is_failed_run(end));
  }
}

namespace {

// A backend server that takes connections and answers nothing.
struct silent_backend
{
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket socket;
  std::string bytes = std::string(4096, '\0');
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
    socket.async_read_some(asio::buffer(bytes),
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

// A partition holds a scorer's call up, and a second attempt elsewhere is
// answered. The first lies in the kernel's buffer; delivered when the partition
// heals, it reached its backend server three seconds after its batch had ended,
// in 2 of 4 repeats of a hunted day. Given up a little later and reset, it is
// thrown away: none of 12. Either alone did not do: 3 of 6 each.
Test(forward, throws_an_attempt_away_that_lost_to_a_later_one)
{
  asio::io_context io;
  silent_backend silent{ io };
  http::server good{ io, {}, [](const http::call& c) {
                      c.respond({ 200, { { "Signature", "s" } }, "" });
                    } };
  cr_assert_not(good.listen("127.0.0.1:0"));
  backends::registry registry;
  const auto add = [&](const char* id, std::uint16_t port, std::uint64_t ms) {
    backends::announcement a;
    a.id = id;
    a.service = "scorers";
    a.address = "127.0.0.1:" + std::to_string(port);
    backends::announce(registry, a);
    backends::note_success(*backends::find(registry, id), ms);
  };
  // The silent one has been the faster one and is asked first.
  add("silent", silent.port(), 1);
  add("good", good.port(), 100);
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
  constexpr std::uint64_t patience_ms = 20000;
  r.give_up_ms = http::now_ms() + patience_ms;
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

// Answers each request so late that a second attempt is made meanwhile.
struct slow_backend
{
  asio::io_context& io;
  int runs = 0;
  http::server server{ io, {}, [this](const http::call& c) {
                        ++runs;
                        constexpr std::uint64_t late_ms = 600;
                        auto t = std::make_shared<asio::steady_timer>(
                          io, std::chrono::milliseconds{ late_ms });
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

// A lookup takes longer than most, and a second server is asked beside the
// first. Where a server has ended under the same request before, the second
// attempt could end another one at the same time: it is not made.
Test(forward, makes_one_attempt_at_a_time_of_a_suspect)
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
  auto d = standins::plain_dialect();
  http::client http{ io };
  store::client client{ io, http, d.store, { store.address(), {} } };
  quarantine::manager guard{ io, client, registry, { "entry", false } };
  forwarder calls{ io, http, registry, d, "a", &guard };
  const auto call = [&] {
    forward_request r;
    r.request = { "POST", "/look/", { { "Host", "h" } }, "b" };
    r.route.kind = routes::call_kind::idempotent;
    r.route.services = { { "lookups", 1 } };
    r.route.max_attempts = 2;
    constexpr std::uint64_t patience_ms = 20000;
    r.give_up_ms = http::now_ms() + patience_ms;
    const auto work = quarantine::fingerprint_of(r.request);
    bool answered = false;
    calls.start(std::move(r), [&](forward_outcome&& o) {
      answered = o.what == forward_end::answered;
    });
    while (!answered) {
      io.run_one();
    }
    return work;
  };
  const auto work = call();
  cr_assert_eq(first.runs + second.runs, 2);
  // An answer to the other attempt would clear it later.
  const auto is_busy = [&] {
    return std::any_of(registry.all.begin(),
                       registry.all.end(),
                       [](const auto& e) { return e.second.in_flight > 0; });
  };
  while (is_busy()) {
    io.run_one();
  }
  SECTION("with one end held against it")
  {
    // Nothing listens on the discard port of this machine.
    guard.on_connection_lost({ "ended", 1 }, "127.0.0.1:9", work);
    while (guard.counts().crashes == 0) {
      io.run_one();
    }
    call();
    cr_assert_eq(first.runs + second.runs, 3);
  }
}
