// One connection of a server, and the state that the connections of a server
// share. Internal to the server.
#pragma once

#include "cactusford/http/clock.h"
#include "cactusford/http/parser.h"
#include "cactusford/http/server.h"

#include <asio/ip/tcp.hpp>

#include <list>
#include <unordered_set>

namespace cactusford::http::detail {

struct server_state : std::enable_shared_from_this<server_state>
{
  server_state(asio::io_context& context,
               server_limits l,
               server::handler h,
               std::shared_ptr<buffer_budget> b,
               server_options o);

  void accept();
  void add(asio::ip::tcp::socket socket);
  bool replace_idle();
  server_connection* find_replaceable(std::uint64_t max_overdue_ms) const;
  void sweep();
  void close_expired();

  asio::io_context& io;
  server_limits limits;
  server::handler handle;
  std::shared_ptr<buffer_budget> buffers;
  server_options options;
  asio::ip::tcp::acceptor acceptor;
  http::timer sweep_timer;
  std::unordered_set<server_connection*> open_connections;
  // Connections that have not sent a complete request, the oldest first.
  std::list<server_connection*> newcomers;
  std::size_t active_requests = 0;
  std::uint64_t replaced = 0;
  std::uint64_t refused = 0;
  bool sweeping = false;
  bool draining = false;
  bool closed = false;
};

struct server_connection : std::enable_shared_from_this<server_connection>
{
  server_connection(std::shared_ptr<server_state> s, asio::ip::tcp::socket k);
  ~server_connection();

  // Input
  void read();
  void on_readable(asio::error_code ec);
  void on_input(std::string_view bytes);
  std::size_t consume(std::string_view bytes);
  void process_input();
  bool may_parse() const;
  bool on_head(head&& h);
  bool on_body(std::string_view data);
  void dispatch();

  // Memory
  bool take_ahead(std::size_t bytes);
  bool hold(std::uint64_t bytes);
  bool hold_incomplete();
  bool grow_body(std::size_t size);
  std::uint64_t body_memory() const;
  void release_request();
  taken_body take_body();

  // Output
  void refuse(int status);
  void answer(response r);
  bool is_last_answer() const;
  void linger();
  void send(std::string bytes);
  void write();
  void on_written(const asio::error_code& ec);
  void check_output();
  void release_unsent();
  void end_answer();
  void close();
  void disconnect();

  // Returns how much later an incomplete request is than one that arrives at
  // this rate, in milliseconds; 0 if it is not.
  std::uint64_t overdue_ms(std::uint64_t now, std::uint64_t bytes_per_s) const;
  bool is_expired(std::uint64_t now) const;
  // Closing the connection loses no request but one that is at least this late,
  // and no answer that is being read. An idle connection is late from its
  // start.
  bool is_replaceable(std::uint64_t max_overdue_ms) const;

  bool is_current(std::uint64_t n) const
  {
    return !closed && answering && n == request_number;
  }

  std::shared_ptr<server_state> owner;
  asio::ip::tcp::socket socket;
  http::parser parser;
  // Bytes read but not yet parsed, because a request is still being answered.
  std::string read_ahead;
  // Bytes behind the request whose handler is being called.
  std::size_t unparsed_bytes = 0;
  http::request request;
  std::uint64_t request_number = 0;
  std::uint64_t received_ms = 0;
  std::uint64_t waiting_since_ms = now_ms();
  // When the first byte of the incomplete request arrived.
  std::uint64_t started_ms = 0;
  std::uint64_t body_bytes = 0;
  request_hold held;
  request_hold held_ahead;
  std::uint64_t head_memory = 0;
  std::list<server_connection*>::iterator newcomer;
  std::function<void()> disconnect_handler;
  std::string unsent;
  std::string sending;
  bool reading = false;
  bool processing = false;
  bool is_newcomer = true;
  bool request_complete = false;
  bool answering = false;
  bool head_sent = false;
  bool close_when_sent = false;
  bool is_refused = false;
  bool is_lingering = false;
  bool keep_alive = true;
  bool closed = false;
  // The peer may not have acknowledged all that was written.
  bool has_output = false;
  // The limit on unacknowledged output is raised to the idle time.
  bool is_patient = false;
};

// Closes the slowest incomplete request, other than that of `c`. Returns false
// if none is slow.
bool
evict_slowest(request_memory& m, const server_connection& c);

} // namespace cactusford::http::detail
