#include "standins/cut_link.h"

#include "cactusford/http/socket.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

#include <sys/socket.h>

namespace cactusford::standins {

using asio::ip::tcp;

namespace {

constexpr int usual_backlog = 128;

} // namespace

struct cut_link::session : std::enable_shared_from_this<session>
{
  cut_link& link;
  tcp::socket near;
  tcp::socket far;

  session(cut_link& l, tcp::socket accepted)
    : link{ l }
    , near{ std::move(accepted) }
    , far{ l.io_ }
  {
  }

  void open()
  {
    far.async_connect(link.server_,
                      [self = shared_from_this()](asio::error_code ec) {
                        if (ec) {
                          self->close();
                          return;
                        }
                        self->pump(self->near, self->far);
                        self->pump(self->far, self->near);
                      });
  }

  void pump(tcp::socket& from, tcp::socket& to)
  {
    const auto data = std::make_shared<std::array<char, 8192>>();
    from.async_read_some(
      asio::buffer(*data),
      [self = shared_from_this(), data, &from, &to](asio::error_code ec,
                                                    std::size_t size) {
        self->link.when_whole([self, data, &from, &to, ec, size] {
          self->forward(from, to, data, ec, size);
        });
      });
  }

  void forward(tcp::socket& from,
               tcp::socket& to,
               const std::shared_ptr<std::array<char, 8192>>& data,
               asio::error_code ec,
               std::size_t size)
  {
    if (ec) {
      close();
      return;
    }
    asio::async_write(to,
                      asio::buffer(*data, size),
                      [self = shared_from_this(), data, &from, &to](
                        asio::error_code failed, std::size_t) {
                        if (failed) {
                          self->close();
                        } else {
                          self->pump(from, to);
                        }
                      });
  }

  void close()
  {
    asio::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
};

cut_link::cut_link(asio::io_context& io, const std::string& server_address)
  : io_{ io }
  , server_{ *http::endpoint_from(server_address) }
  , acceptor_{ io, tcp::endpoint{ asio::ip::address_v4::loopback(), 0 } }
{
  accept();
}

std::string
cut_link::address() const
{
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void
cut_link::accept()
{
  acceptor_.async_accept([this](asio::error_code ec, tcp::socket accepted) {
    if (ec) {
      return;
    }
    ++accepted_;
    std::make_shared<session>(*this, std::move(accepted))->open();
    if (!is_cut_) {
      accept();
    }
  });
}

void
cut_link::when_whole(std::function<void()> action)
{
  if (is_cut_) {
    held_.push_back(std::move(action));
  } else {
    action();
  }
}

// A listening socket whose queue is full drops the packets that open a
// connection, as a lost machine does.
void
cut_link::cut()
{
  is_cut_ = true;
  acceptor_.cancel();
  listen(acceptor_.native_handle(), 0);
  for (int i = 0; i < 2; ++i) {
    auto& filler = fillers_.emplace_back(io_, tcp::v4());
    filler.native_non_blocking(true);
    // Not asio's own, which waits for the connection.
    const auto to = acceptor_.local_endpoint();
    static_cast<void>(connect(filler.native_handle(), to.data(), to.size()));
  }
}

void
cut_link::heal()
{
  is_cut_ = false;
  fillers_.clear();
  listen(acceptor_.native_handle(), usual_backlog);
  accept();
  for (const auto& action : std::exchange(held_, {})) {
    action();
  }
}

} // namespace cactusford::standins
