#include "cactusford/http/socket.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusford;
using asio::ip::tcp;

// The system says that bytes have come, and there are none: another wait on the
// same socket took them, or the notice was about something else. A server that
// then reads must not wait there. It once did: one entry of a soak run, and
// with it each of its callers, stood still until it was killed.
Test(socket, never_waits_in_a_read, .timeout = 10)
{
  asio::io_context io;
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket near{ io };
  near.connect(acceptor.local_endpoint());
  auto far = acceptor.accept();
  http::configure_socket(far);
  std::array<char, 8> buffer{};
  asio::error_code ec;
  far.read_some(asio::buffer(buffer), ec);
  cr_assert(http::is_early(ec));
  SECTION("and an end is not taken for that")
  {
    near.close();
    far.wait(tcp::socket::wait_read, ec);
    far.read_some(asio::buffer(buffer), ec);
    cr_assert_not(http::is_early(ec));
    cr_assert(ec);
  }
}
