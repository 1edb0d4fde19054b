#include "cactusford/http/socket.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusford;
using asio::ip::tcp;

// A socket can be reported readable without data, for example because another
// read on it consumed the data. A server that then reads must not block: in a
// soak run, one entry and all its callers hung until the entry was killed.
Test(socket, never_blocks_in_a_read, .timeout = 10)
{
  asio::io_context io;
  tcp::acceptor acceptor{ io, { asio::ip::address_v4::loopback(), 0 } };
  tcp::socket client{ io };
  client.connect(acceptor.local_endpoint());
  auto accepted = acceptor.accept();
  http::configure_socket(accepted);
  std::array<char, 8> buffer{};
  asio::error_code ec;
  accepted.read_some(asio::buffer(buffer), ec);
  cr_assert(http::is_would_block(ec));
  SECTION("a closed connection is not reported as would-block")
  {
    client.close();
    accepted.wait(tcp::socket::wait_read, ec);
    accepted.read_some(asio::buffer(buffer), ec);
    cr_assert_not(http::is_would_block(ec));
    cr_assert(ec);
  }
}
