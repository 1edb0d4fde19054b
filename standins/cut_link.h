// Stand-in for the network before a server: a relay of connections that can be
// cut. While it is cut, new connections are neither accepted nor refused, and
// open ones carry nothing and are not reset.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cactusford::standins {

class cut_link
{
public:
  cut_link(asio::io_context& io, const std::string& server_address);

  std::string address() const;

  void cut();
  void heal();

  // Connections accepted so far.
  std::size_t accepted() const { return accepted_; }

private:
  struct session;
  void accept();
  void when_whole(std::function<void()> action);

  asio::io_context& io_;
  asio::ip::tcp::endpoint server_;
  asio::ip::tcp::acceptor acceptor_;
  bool is_cut_ = false;
  std::size_t accepted_ = 0;
  // What goes on when the link is whole again.
  std::vector<std::function<void()>> held_;
  // Connections that fill the queue of the listening socket.
  std::vector<asio::ip::tcp::socket> fillers_;
};

} // namespace cactusford::standins
