#include "cactusford/http/port_wait.h"

#include "cactusford/http/clock.h"
#include "cactusford/http/server.h"
#include "cactusford/testing/section.h"
#include "standins/free_port.h"

#include <asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace cactusford;
using namespace cactusford::http;
using asio::ip::tcp;

namespace {

// Longer than any step of these tests; exceeded only if something hangs.
constexpr std::uint64_t max_wait_ms = 10000;

struct fixture
{
  asio::io_context io;
  tcp::acceptor peer{ io, { asio::ip::address_v4::loopback(), 0 } };
  http::server server{ io, {}, [](const call& c) {
                        c.respond({ 200, {}, "" });
                      } };
  std::vector<std::string> lines;
  std::error_code failed;
  bool is_abandoned = false;

  std::error_code listen(const std::string& address)
  {
    return listen_when_free(
      io,
      { "callers",
        address,
        [this, address] { return server.listen(address); },
        [this](std::error_code ec) { failed = ec; },
        [this] { return is_abandoned; },
        [this](const timeline::event& e) { lines.push_back(e.text()); } });
  }

  // Returns a connection to `peer`.
  tcp::socket connect()
  {
    tcp::socket s{ io, tcp::v4() };
    standins::bind_free_port(s);
    s.connect(peer.local_endpoint());
    return s;
  }

  template<typename Condition>
  void run_until(Condition done)
  {
    const auto limit = now_ms() + max_wait_ms;
    while (!done()) {
      cr_assert_lt(now_ms(), limit, "timed out waiting for a condition");
      io.run_one_for(std::chrono::milliseconds{ 1 });
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = now_ms() + ms;
    run_until([until] { return now_ms() >= until; });
  }
};

std::string
address_of(const tcp::socket& s)
{
  return "127.0.0.1:" + std::to_string(s.local_endpoint().port());
}

void
reset(tcp::socket& s)
{
  s.set_option(asio::socket_base::linger{ true, 0 });
  s.close();
}

constexpr std::uint64_t several_tries_ms = 500;

} // namespace

// While a process is down, the kernel may give its port to an outgoing
// connection of any process. A process that ends then is not back before that
// connection, and its TIME_WAIT of a minute, are over.
Test(port_wait, listens_once_the_port_is_free, .timeout = 60)
{
  SECTION("while it is the local port of a connection")
  {
    fixture f;
    auto holder = f.connect();
    const auto address = address_of(holder);
    const auto port = holder.local_endpoint().port();
    cr_assert_not(f.listen(address), "the process goes on");
    f.run_for(several_tries_ms);
    cr_assert_eq(f.server.port(), 0);
    reset(holder);
    f.run_until([&] { return f.server.port() != 0; });
    cr_assert_eq(f.server.port(), port);
    cr_assert_eq(f.lines.size(), 2, "one line for the wait, one for its end");
    cr_assert(f.lines[0].starts_with(
                " event=port_wait key=callers address=" + address + " why="),
              "%s",
              f.lines[0].c_str());
    cr_assert(f.lines[0].ends_with(" retry_ms=200"));
    cr_assert(f.lines[1].starts_with(" event=port_bound key=callers address=" +
                                     address + " after_ms="),
              "%s",
              f.lines[1].c_str());
  }
  SECTION("while it is in TIME_WAIT")
  {
    fixture f;
    auto holder = f.connect();
    const auto address = address_of(holder);
    auto accepted = f.peer.accept();
    holder.close();
    accepted.close();
    cr_assert_not(f.listen(address));
    f.run_for(several_tries_ms);
    cr_assert_eq(f.server.port(), 0);
    cr_assert_not(f.failed);
    cr_assert_eq(f.lines.size(), 1);
  }
  SECTION("unless the process is leaving")
  {
    fixture f;
    auto holder = f.connect();
    cr_assert_not(f.listen(address_of(holder)));
    f.is_abandoned = true;
    reset(holder);
    f.run_for(several_tries_ms);
    cr_assert_eq(f.server.port(), 0);
  }
}

// Waiting would hide a mistake in the settings.
Test(port_wait, reports_errors_that_do_not_pass)
{
  fixture f;
  cr_assert(f.listen("nowhere") == std::errc::invalid_argument);
  cr_assert(f.lines.empty());
  SECTION("an address that another machine has may come to this one")
  {
    cr_assert_not(f.listen("192.0.2.1:7000"));
    cr_assert_eq(f.lines.size(), 1);
  }
  SECTION("an error that follows a wait is reported too")
  {
    std::vector<std::errc> errors{ std::errc::permission_denied,
                                   std::errc::too_many_files_open };
    const auto next = [&errors] {
      const auto e = errors.back();
      errors.pop_back();
      return std::make_error_code(e);
    };
    cr_assert_not(
      listen_when_free(f.io,
                       { "ready",
                         "127.0.0.1:1",
                         next,
                         [&f](std::error_code ec) { f.failed = ec; },
                         [] { return false; },
                         [](const timeline::event&) {} }));
    f.run_until([&] { return static_cast<bool>(f.failed); });
    cr_assert(f.failed == std::errc::permission_denied);
  }
}
