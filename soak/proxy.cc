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
reset(tcp::socket& s)
{
  asio::error_code ignored;
  s.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  s.close(ignored);
}

} // namespace

// Both halves of a connection. Bytes that silence held up are gone, as after a
// partition whose sender gave up.
struct proxy::pair : std::enable_shared_from_this<pair>
{
  pair(proxy& o, tcp::socket near, asio::io_context& io)
    : owner{ o }
    , sides{ std::move(near), tcp::socket{ io } }
    , pause{ asio::steady_timer{ io }, asio::steady_timer{ io } }
  {
  }

  // Reads from side `from` and writes to the other.
  void pump(std::size_t from)
  {
    sides[from].async_read_some(
      asio::buffer(buffers[from]),
      [self = shared_from_this(), from](asio::error_code ec, std::size_t n) {
        if (ec) {
          self->close();
          return;
        }
        self->pass(from, n);
      });
  }

  void pass(std::size_t from, std::size_t bytes)
  {
    const auto h = owner.harm_;
    constexpr std::size_t upstream = 1;
    if (h == harm::silence || (h == harm::one_way && from == upstream)) {
      broken = true;
    }
    if (broken) {
      pump(from);
      return;
    }
    const auto wait = h == harm::delay ? delay_ms : 0;
    pause[from].expires_after(std::chrono::milliseconds{ wait });
    pause[from].async_wait(
      [self = shared_from_this(), from, bytes](asio::error_code ec) {
        if (!ec) {
          self->write(from, bytes);
        }
      });
  }

  void write(std::size_t from, std::size_t bytes)
  {
    asio::async_write(
      sides[1 - from],
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
    for (auto& s : sides) {
      asio::error_code ignored;
      s.close(ignored);
    }
    owner.pairs_.erase(shared_from_this());
  }

  proxy& owner;
  std::array<tcp::socket, 2> sides;
  std::array<asio::steady_timer, 2> pause;
  std::array<std::array<char, chunk_bytes>, 2> buffers{};
  // Some bytes were dropped: the rest would be out of place.
  bool broken = false;
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
proxy::set(harm h)
{
  harm_ = h;
  if (h != harm::reset) {
    return;
  }
  const auto all = pairs_;
  pairs_.clear();
  for (const auto& p : all) {
    reset(p->sides[0]);
    reset(p->sides[1]);
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
    if (harm_ == harm::reset) {
      reset(s);
    } else {
      begin(std::move(s));
    }
  });
}

void
proxy::begin(tcp::socket s)
{
  auto p = std::make_shared<pair>(*this, std::move(s), io_);
  pairs_.insert(p);
  p->sides[1].async_connect(*http::endpoint_from(upstream_),
                            [p](asio::error_code ec) {
                              if (ec) {
                                p->close();
                                return;
                              }
                              http::configure_socket(p->sides[0]);
                              http::configure_socket(p->sides[1]);
                              p->pump(0);
                              p->pump(1);
                            });
}

} // namespace cactusford::soak
