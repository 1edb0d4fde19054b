#include "standins/head_cutter.h"

#include "cactusford/http/socket.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>

namespace cactusford::standins {

using asio::ip::tcp;

// One connection of a client, and the one to the server that belongs to it.
struct head_cutter::session : std::enable_shared_from_this<session>
{
  session(head_cutter& o, tcp::socket s)
    : owner{ o }
    , client{ std::move(s) }
    , server{ o.io_ }
  {
  }

  void start()
  {
    asio::error_code ec;
    server.connect(owner.server_, ec);
    if (ec) {
      return;
    }
    pass_requests();
    pass_answers();
  }

  void pass_requests()
  {
    client.async_read_some(
      asio::buffer(from_client),
      [self = shared_from_this()](asio::error_code ec, std::size_t size) {
        asio::error_code failed = ec;
        if (!failed) {
          asio::write(
            self->server, asio::buffer(self->from_client, size), failed);
        }
        if (failed) {
          self->close();
        } else {
          self->pass_requests();
        }
      });
  }

  void pass_answers()
  {
    server.async_read_some(
      asio::buffer(from_server),
      [self = shared_from_this()](asio::error_code ec, std::size_t size) {
        const auto kept = self->owner.kept_bytes;
        const auto part = std::min(size, kept.value_or(size));
        asio::error_code failed = ec;
        if (!failed) {
          asio::write(
            self->client, asio::buffer(self->from_server, part), failed);
        }
        if (failed) {
          self->close();
        } else if (kept) {
          self->cut();
        } else {
          self->pass_answers();
        }
      });
  }

  void cut()
  {
    ++owner.cut_;
    asio::error_code ignored;
    if (owner.resets) {
      client.set_option(asio::socket_base::linger{ true, 0 }, ignored);
    }
    close();
  }

  void close()
  {
    asio::error_code ignored;
    client.close(ignored);
    server.close(ignored);
  }

  head_cutter& owner;
  tcp::socket client;
  tcp::socket server;
  std::array<char, 16U << 10> from_client{};
  std::array<char, 16U << 10> from_server{};
};

head_cutter::head_cutter(asio::io_context& io,
                         const std::string& server_address)
  : io_{ io }
  , server_{ *http::endpoint_from(server_address) }
  , acceptor_{ io, { asio::ip::address_v4::loopback(), 0 } }
{
  accept();
}

std::string
head_cutter::address() const
{
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void
head_cutter::accept()
{
  acceptor_.async_accept([this](asio::error_code ec, tcp::socket s) {
    if (!ec) {
      std::make_shared<session>(*this, std::move(s))->start();
      accept();
    }
  });
}

} // namespace cactusford::standins
