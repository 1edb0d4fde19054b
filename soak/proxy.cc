#include "soak/proxy.h"

#include "cactusford/http/socket.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>

namespace cactusford::soak {

namespace {

using asio::ip::tcp;

constexpr std::uint64_t delay_ms = 300;
constexpr std::size_t chunk_bytes = 16U << 10;

void
reset_connection(tcp::socket& s)
{
  asio::error_code ignored;
  s.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  s.close(ignored);
}

} // namespace

// A client connection and its upstream connection. Bytes that a blackhole drops
// are lost for good, as after a partition during which the sender gave up.
struct proxy::connection : std::enable_shared_from_this<connection>
{
  connection(proxy& parent_proxy, tcp::socket client, asio::io_context& io)
    : parent{ parent_proxy }
    , sockets{ std::move(client), tcp::socket{ io } }
    , timers{ asio::steady_timer{ io }, asio::steady_timer{ io } }
  {
  }

  // Reads from socket `from` and writes to the other one.
  void pump(std::size_t from)
  {
    sockets[from].async_read_some(
      asio::buffer(buffers[from]),
      [self = shared_from_this(), from](asio::error_code ec, std::size_t n) {
        if (ec) {
          self->close();
          return;
        }
        self->forward(from, n);
      });
  }

  void forward(std::size_t from, std::size_t bytes)
  {
    const auto fault = parent.fault_;
    constexpr std::size_t upstream = 1;
    if (fault == link_fault::blackhole ||
        (fault == link_fault::one_way && from == upstream)) {
      has_dropped_bytes = true;
    }
    if (has_dropped_bytes) {
      pump(from);
      return;
    }
    const auto wait_ms = fault == link_fault::delay ? delay_ms : 0;
    timers[from].expires_after(std::chrono::milliseconds{ wait_ms });
    timers[from].async_wait(
      [self = shared_from_this(), from, bytes](asio::error_code ec) {
        if (!ec) {
          self->write(from, bytes);
        }
      });
  }

  void write(std::size_t from, std::size_t bytes)
  {
    asio::async_write(
      sockets[1 - from],
      asio::buffer(buffers[from].data(), bytes),
      [self = shared_from_this(), from](asio::error_code ec, std::size_t) {
        if (ec) {
          self->close();
        } else {
          self->pump(from);
        }
      });
  }

  void close()
  {
    for (auto& s : sockets) {
      asio::error_code ignored;
      s.close(ignored);
    }
    parent.connections_.erase(shared_from_this());
  }

  proxy& parent;
  std::array<tcp::socket, 2> sockets;
  std::array<asio::steady_timer, 2> timers;
  std::array<std::array<char, chunk_bytes>, 2> buffers{};
  // Set once bytes were dropped. All later bytes are dropped too, because they
  // would arrive at the wrong position of the stream.
  bool has_dropped_bytes = false;
};

proxy::proxy(asio::io_context& io, std::string upstream)
  : io_{ io }
  , upstream_{ std::move(upstream) }
  , acceptor_{ io, tcp::endpoint{ asio::ip::address_v4::loopback(), 0 } }
{
  accept();
}

proxy::~proxy() = default;

std::string
proxy::address() const
{
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void
proxy::set_fault(link_fault fault)
{
  fault_ = fault;
  if (fault != link_fault::reset) {
    return;
  }
  const auto open = connections_;
  connections_.clear();
  for (const auto& c : open) {
    reset_connection(c->sockets[0]);
    reset_connection(c->sockets[1]);
  }
}

void
proxy::accept()
{
  acceptor_.async_accept([this](asio::error_code ec, tcp::socket s) {
    if (ec) {
      return;
    }
    accept();
    if (fault_ == link_fault::reset) {
      reset_connection(s);
    } else {
      connect(std::move(s));
    }
  });
}

void
proxy::connect(tcp::socket s)
{
  auto new_connection = std::make_shared<connection>(*this, std::move(s), io_);
  connections_.insert(new_connection);
  new_connection->sockets[1].async_connect(
    *http::endpoint_from(upstream_), [new_connection](asio::error_code ec) {
      if (ec) {
        new_connection->close();
        return;
      }
      http::configure_socket(new_connection->sockets[0]);
      http::configure_socket(new_connection->sockets[1]);
      new_connection->pump(0);
      new_connection->pump(1);
    });
}

} // namespace cactusford::soak
