// Stand-in for a faulty backend server whose responses have no end: it sends
// until the caller closes the connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace cactusford::standins {

class flooding_server
{
public:
  // Sends `prefix` once and then `filler` without end: as fast as it is read,
  // or once after each pause.
  flooding_server(asio::io_context& io,
                  std::string prefix,
                  std::string filler,
                  std::chrono::milliseconds pause = {});

  std::string address() const;

  // Requests received, connections that callers have closed, and the most bytes
  // that were sent on one connection.
  std::size_t requests() const { return requests_; }
  std::size_t closed() const { return closed_; }
  std::uint64_t max_sent() const { return max_sent_; }

private:
  struct connection;

  void accept();
  void read_request(const std::shared_ptr<connection>& c);
  void send(const std::shared_ptr<connection>& c);

  asio::ip::tcp::acceptor acceptor_;
  std::string prefix_;
  std::string filler_;
  std::chrono::milliseconds pause_;
  std::size_t requests_ = 0;
  std::size_t closed_ = 0;
  std::uint64_t max_sent_ = 0;
};

} // namespace cactusford::standins
