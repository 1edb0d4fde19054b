#include "standins/flooding_server.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cactusford::standins {

namespace {

constexpr std::size_t block_bytes = 16U << 10;

// Repeats the text up to the size of a block, so that few writes are needed.
std::string
block_of(const std::string& text)
{
  std::string block;
  do {
    block += text;
  } while (block.size() < block_bytes);
  return block;
}

} // namespace

struct flooding_server::connection
{
  explicit connection(asio::ip::tcp::socket s)
    : socket{ std::move(s) }
    , timer{ socket.get_executor() }
  {
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 4096> request{};
  bool has_begun = false;
  std::uint64_t sent = 0;
};

flooding_server::flooding_server(asio::io_context& io,
                                 std::string prefix,
                                 std::string filler,
                                 std::chrono::milliseconds pause)
  : acceptor_{ io, { asio::ip::make_address_v4("127.0.0.1"), 0 } }
  , prefix_{ std::move(prefix) }
  , filler_{ pause.count() > 0 ? std::move(filler) : block_of(filler) }
  , pause_{ pause }
{
  accept();
}

std::string
flooding_server::address() const
{
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void
flooding_server::accept()
{
  acceptor_.async_accept([this](asio::error_code ec, asio::ip::tcp::socket s) {
    if (!ec) {
      read_request(std::make_shared<connection>(std::move(s)));
      accept();
    }
  });
}

void
flooding_server::read_request(const std::shared_ptr<connection>& c)
{
  c->socket.async_read_some(asio::buffer(c->request),
                            [this, c](asio::error_code ec, std::size_t) {
                              if (!ec) {
                                ++requests_;
                                send(c);
                              }
                            });
}

void
flooding_server::send(const std::shared_ptr<connection>& c)
{
  const auto& bytes = std::exchange(c->has_begun, true) ? filler_ : prefix_;
  asio::async_write(c->socket,
                    asio::buffer(bytes),
                    [this, c](asio::error_code ec, std::size_t size) {
                      c->sent += size;
                      max_sent_ = std::max(max_sent_, c->sent);
                      if (ec) {
                        ++closed_;
                      } else if (pause_.count() > 0) {
                        c->timer.expires_after(pause_);
                        c->timer.async_wait(
                          [this, c](asio::error_code) { send(c); });
                      } else {
                        send(c);
                      }
                    });
}

} // namespace cactusford::standins
