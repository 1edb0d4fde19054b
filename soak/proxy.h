// A loopback proxy that harms the connections through it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace cactusford::soak {

enum class harm
{
  none,
  // Bytes arrive this much later.
  delay,
  // All connections are reset, and new ones at once.
  reset,
  // What the upstream sends is dropped; the other way is whole.
  one_way,
  // Nothing passes, and nothing is closed.
  silence,
};

class proxy
{
public:
  // Passes connections on to `upstream`, an "ip:port".
  proxy(asio::io_context& io, std::string upstream);
  ~proxy();

  std::string address() const;
  void set(harm h);

private:
  struct pair;
  void accept();
  void begin(asio::ip::tcp::socket s);

  asio::io_context& io_;
  std::string upstream_;
  asio::ip::tcp::acceptor acceptor_;
  harm harm_ = harm::none;
  std::set<std::shared_ptr<pair>> pairs_;
};

} // namespace cactusford::soak
