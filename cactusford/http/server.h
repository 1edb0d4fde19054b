// Asynchronous HTTP/1.1 server. Single-threaded.
#pragma once

#include "cactusford/http/buffer_budget.h"
#include "cactusford/http/message.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cactusford::http {

// Limits on the size and duration of requests and on connections.
struct server_limits
{
  std::size_t head_bytes = 16U << 10;
  std::size_t body_bytes = 32U << 20;
  // Time to receive a complete request.
  std::uint64_t head_ms = 3000;
  // Time that a connection without a request is kept open.
  std::uint64_t idle_ms = 15000;
  std::size_t connections = 2000;

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

namespace detail {
struct server_connection;
struct server_state;
} // namespace detail

// One request and its response. Copies refer to the same exchange.
class call
{
public:
  const http::request& request() const;

  // When the request was completely received, on the steady clock.
  std::uint64_t received_ms() const;

  // Sends a complete response. Further responses to the request are ignored.
  void respond(response&& r) const;

  // Sends a chunked response: `begin`, any number of `write`, then `finish`.
  void begin(int status, headers fields) const;
  void write(std::string_view data) const;
  void finish() const;

  // Closes the connection without completing the response.
  void abort() const;

  // Sets the callback for a caller that disconnects before its response is
  // complete.
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

  // Counts the bytes that wait to be written in `buffers`, unless null.
  server(asio::io_context& io,
         server_limits limits,
         handler h,
         std::shared_ptr<buffer_budget> buffers = nullptr);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::error_code listen(const std::string& address);

  void set_limits(const server_limits& limits);

  // From now on closes each connection after its response, so that callers
  // reconnect to another instance.
  void start_draining();

  // Closes all connections and accepts no more, as if the process had ended.
  void close();

  // Number of requests whose response is not complete.
  std::size_t active_requests() const;

  // Bytes of responses that wait to be written.
  std::size_t unsent_bytes() const;

  // Number of connections without a request in progress.
  std::size_t idle_connections() const;

  std::uint16_t port() const;

private:
  std::shared_ptr<detail::server_state> state_;
};

} // namespace cactusford::http
