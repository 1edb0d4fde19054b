// Asynchronous HTTP/1.1 server. One thread.
#pragma once

#include "cactusford/http/message.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cactusford::http {

// Bounds on what a caller may send and how long it may take.
struct server_limits
{
  std::size_t head_bytes = 16U << 10;
  std::size_t body_bytes = 32U << 20;
  std::uint64_t head_ms = 3000;
  std::uint64_t idle_ms = 15000;
  std::size_t connections = 2000;

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

namespace detail {
struct server_connection;
struct server_state;
} // namespace detail

// One request and its answer. Copies stand for the same exchange.
class call
{
public:
  const http::request& request() const;

  // When the request was whole, on the steady clock.
  std::uint64_t received_ms() const;

  // The whole answer. Later answers of the same exchange are dropped.
  void respond(response&& r) const;

  // An answer in chunks: `begin`, any number of `write`, then `finish`.
  void begin(int status, headers fields) const;
  void write(std::string_view data) const;
  void finish() const;

  // Ends the connection without completing the answer.
  void abort() const;

  // Called when the caller leaves before its answer is whole.
  void on_disconnect(std::function<void()> handler) const;

  bool is_open() const;

private:
  friend struct detail::server_connection;
  std::shared_ptr<detail::server_connection> connection_;
  std::uint64_t number_ = 0;
};

class server
{
public:
  using handler = std::function<void(call)>;

  server(asio::io_context& io, server_limits limits, handler h);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::error_code listen(const std::string& address);

  void limit(const server_limits& limits);

  // From now on answers end their connection, so that callers move on.
  void leave();

  // Ends all connections and takes no more, as when the process ends.
  void close();

  // Requests without a whole answer.
  std::size_t busy() const;

  // Connections without a request.
  std::size_t idle() const;

  std::uint16_t port() const;

private:
  std::shared_ptr<detail::server_state> state_;
};

} // namespace cactusford::http
