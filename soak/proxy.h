// A loopback TCP proxy that injects faults into the connections through it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace cactusford::soak {

enum class link_fault
{
  none,
  // Bytes arrive late.
  delay,
  // All open connections are reset, and each new one as soon as it is accepted.
  reset,
  // Bytes from the upstream are dropped. Bytes to it pass until the first drop
  // on a connection.
  one_way,
  // Bytes of both directions are dropped and connections stay open.
  blackhole,
};

class proxy
{
public:
  // Forwards connections to `upstream`, an "ip:port".
  proxy(asio::io_context& io, std::string upstream);
  ~proxy();

  std::string address() const;
  void set_fault(link_fault fault);

private:
  struct connection;
  void accept();
  void connect(asio::ip::tcp::socket s);

  asio::io_context& io_;
  std::string upstream_;
  asio::ip::tcp::acceptor acceptor_;
  link_fault fault_ = link_fault::none;
  std::set<std::shared_ptr<connection>> connections_;
};

} // namespace cactusford::soak
