// Asynchronous HTTP/1.1 server. Single-threaded.
#pragma once

#include "cactusford/http/memory_budget.h"
#include "cactusford/http/message.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_set>

namespace cactusford::http {

// Limits on the size and duration of requests and on connections.
struct server_limits
{
  std::size_t head_bytes = 16U << 10;
  std::size_t body_bytes = 32U << 20;
  // Time to receive a head. A body may take longer, see
  // `server_options::min_body_rate`.
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

// Memory for requests, shared by the servers of a process.
struct request_memory
{
  memory_budget budget;
  // Connections that hold memory for an incomplete request. While memory is
  // short, the slowest of them are closed.
  std::unordered_set<detail::server_connection*> receiving;
  // Requests that were refused because memory was short, and incomplete ones
  // that were given up for others.
  std::uint64_t refused = 0;
  std::uint64_t evicted = 0;
};

// What a server allows all its callers together.
struct server_options
{
  // Null: requests are bounded for each connection only.
  std::shared_ptr<request_memory> memory;
  // Maximum number of connections, in addition to that of the limits. A new
  // caller beyond it takes the place of one whose connection is idle.
  std::size_t connections = 2000;
  // Beyond the time for the head, a body must arrive at this rate on average,
  // in bytes per second.
  std::uint64_t min_body_rate = 1024;
  // Bytes that may arrive on a connection without being read, if `memory` is
  // not null.
  std::size_t unread_bytes = 16U << 10;
  // Off for a server whose handler reads no bodies; they are dropped as they
  // arrive.
  bool keeps_bodies = true;
  // Adds to the refusals that the server sends itself, such as a body; unset:
  // they have none.
  std::function<void(response&)> complete_refusal = nullptr;
};

// A body that its handler keeps. Its memory counts until `memory` is released,
// also if that is after the answer.
struct taken_body
{
  std::string text;
  std::shared_ptr<const void> memory;
};

// One request and its response. Copies refer to the same exchange.
class call
{
public:
  // Empty once the call has been answered or its connection has ended.
  const http::request& request() const;

  // Moves the body out of the request, so that it need not be copied.
  taken_body take_body() const;

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
         std::shared_ptr<buffer_budget> buffers = nullptr,
         server_options options = {});
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // May be called again after an error.
  std::error_code listen(const std::string& address);

  void set_limits(const server_limits& limits);

  void set_options(server_options options);

  // From now on closes each connection after its response, so that callers
  // reconnect to another instance.
  void start_draining();

  // Gives each open request `last` as its answer. Incomplete requests are
  // refused as not run, and a response that has begun is broken off. Returns
  // the number of requests that got `last`.
  std::size_t answer_all(const response& last);

  // Returns true if requests have arrived, in part or completely, that the
  // handler has not seen.
  bool has_unhandled_input() const;

  // Closes all connections and accepts no more, as if the process had ended.
  void close();

  // Number of requests whose response is not complete.
  std::size_t active_requests() const;

  // Bytes of responses that wait to be written.
  std::size_t unsent_bytes() const;

  // Number of connections without a request in progress.
  std::size_t idle_connections() const;

  std::size_t open_connections() const;

  // Connections that were closed to make room for new ones, and new ones that
  // found no room.
  std::uint64_t replaced_connections() const;
  std::uint64_t refused_connections() const;

  std::uint16_t port() const;

private:
  std::shared_ptr<detail::server_state> state_;
};

} // namespace cactusford::http
