// Stand-in for a server that stops in the middle of an answer's head: a relay
// in front of a server that passes on only the first bytes of its answers and
// then ends the connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace cactusford::standins {

class head_cutter
{
public:
  head_cutter(asio::io_context& io, const std::string& server_address);

  std::string address() const;

  // Passes on this many bytes of each answer; all of them if empty.
  std::optional<std::size_t> kept_bytes;
  // Ends connections with a reset.
  bool resets = false;

  // Answers that were cut.
  std::size_t cut() const { return cut_; }

private:
  struct session;
  void accept();

  asio::io_context& io_;
  asio::ip::tcp::endpoint server_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t cut_ = 0;
};

} // namespace cactusford::standins
