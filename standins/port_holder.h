// A socket of another program that holds a port as the local port of an
// outgoing connection.
#pragma once

#include "standins/free_port.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace cactusford::standins {

class port_holder
{
public:
  explicit port_holder(asio::io_context& io)
    : acceptor_{ io, { asio::ip::address_v4::loopback(), 0 } }
    , socket_{ io }
    , accepted_{ io }
  {
    socket_.open(asio::ip::tcp::v4());
    bind_free_port(socket_);
    socket_.connect(acceptor_.local_endpoint());
    accepted_ = acceptor_.accept();
    address_ = "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
  }

  const std::string& address() const { return address_; }

  // The port is free at once.
  void release()
  {
    socket_.set_option(asio::socket_base::linger{ true, 0 });
    socket_.close();
  }

  // The port stays in TIME_WAIT.
  void close()
  {
    socket_.close();
    accepted_.close();
  }

private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  asio::ip::tcp::socket accepted_;
  std::string address_;
};

} // namespace cactusford::standins
