#include "cactusford/http/server.h"

#include "cactusford/http/parser.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <unordered_set>
#include <vector>

namespace cactusford::http {

namespace detail {

namespace {

constexpr std::size_t read_size = 16U << 10;

constexpr std::size_t write_size = 64U << 10;

// Limit for pipelined requests of one connection, in bytes. Beyond it, the
// server stops reading until the current request is answered.
constexpr std::size_t ahead_limit = 256U << 10;

// How often idle and slow connections are closed, in milliseconds.
constexpr std::uint64_t sweep_ms = 500;

// Bytes of a streamed response that may wait for a slow reader before its
// connection is closed.
constexpr std::size_t unsent_limit = 8U << 20;

// A connection with more bytes to be written starts no further pipelined
// request, so a caller that does not read holds this much and one answer.
constexpr std::size_t pipeline_limit = 256U << 10;

// Send buffer of a connection's socket where the total is bounded. The kernel
// otherwise takes up to 4 MB for each slow reader, which no bound covers.
constexpr int socket_send_bytes = 64 << 10;

// Buffers above this capacity are freed once written. Kept, two answers of 16
// MB would stay in memory for as long as their connection is open. Assigning an
// empty string keeps the capacity.
constexpr std::size_t kept_capacity = 64U << 10;

std::array<char, read_size>&
read_buffer()
{
  static thread_local std::array<char, read_size> buffer;
  return buffer;
}

} // namespace

struct server_state : std::enable_shared_from_this<server_state>
{
  server_state(asio::io_context& context,
               server_limits l,
               server::handler h,
               std::shared_ptr<buffer_budget> b)
    : io{ context }
    , limits{ l }
    , handle{ std::move(h) }
    , buffers{ b ? std::move(b) : std::make_shared<buffer_budget>() }
    , acceptor{ context }
    , sweep_timer{ context }
  {
  }

  void accept();
  void sweep();

  asio::io_context& io;
  server_limits limits;
  server::handler handle;
  std::shared_ptr<buffer_budget> buffers;
  asio::ip::tcp::acceptor acceptor;
  http::timer sweep_timer;
  std::unordered_set<server_connection*> open_connections;
  std::size_t active_requests = 0;
  bool sweeping = false;
  bool draining = false;
  bool closed = false;
};

struct server_connection : std::enable_shared_from_this<server_connection>
{
  server_connection(std::shared_ptr<server_state> s, asio::ip::tcp::socket k);
  ~server_connection();

  void read();
  void process_input();
  bool on_head(head&& h);
  bool on_body(std::string_view data);
  void dispatch();
  void refuse(int status);
  void send(std::string bytes);
  void write();
  void on_written(const asio::error_code& ec);
  void release_unsent();
  void end_answer();
  void close();
  void disconnect();

  bool is_current(std::uint64_t n) const
  {
    return !closed && answering && n == request_number;
  }

  std::shared_ptr<server_state> owner;
  asio::ip::tcp::socket socket;
  http::parser parser;
  // Bytes read but not yet parsed, because a request is still being answered.
  std::string read_ahead;
  http::request request;
  std::uint64_t request_number = 0;
  std::uint64_t received_ms = 0;
  std::uint64_t waiting_since_ms = now_ms();
  std::function<void()> disconnect_handler;
  std::string unsent;
  std::string sending;
  bool reading = false;
  bool request_complete = false;
  bool answering = false;
  bool head_sent = false;
  bool close_when_sent = false;
  bool keep_alive = true;
  bool closed = false;
};

server_connection::server_connection(std::shared_ptr<server_state> s,
                                     asio::ip::tcp::socket k)
  : owner{ std::move(s) }
  , socket{ std::move(k) }
  , parser{ parser_kind::request,
            { [this](head&& h) { return on_head(std::move(h)); },
              [this](std::string_view data) { return on_body(data); },
              [this] {
                request_complete = true;
                return false;
              } } }
{
  owner->open_connections.insert(this);
}

server_connection::~server_connection()
{
  owner->open_connections.erase(this);
}

void
server_connection::read()
{
  if (reading || closed || read_ahead.size() > ahead_limit) {
    return;
  }
  reading = true;
  socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->reading = false;
                      if (self->closed) {
                        return;
                      }
                      auto& buffer = read_buffer();
                      std::size_t size = 0;
                      if (!ec) {
                        size = self->socket.read_some(asio::buffer(buffer), ec);
                      }
                      if (is_would_block(ec)) {
                        self->read();
                        return;
                      }
                      if (ec) {
                        self->disconnect();
                        return;
                      }
                      self->waiting_since_ms = self->parser.inside_message()
                                                 ? self->waiting_since_ms
                                                 : now_ms();
                      self->read_ahead.append(buffer.data(), size);
                      self->process_input();
                      self->read();
                    });
}

void
server_connection::process_input()
{
  while (!closed && !answering && !close_when_sent && !read_ahead.empty() &&
         sending.size() + unsent.size() <= pipeline_limit) {
    const auto consumed = parser.feed(read_ahead);
    if (closed || close_when_sent) {
      return;
    }
    read_ahead.erase(0, consumed);
    if (parser.state() == parse_state::malformed) {
      refuse(400);
      return;
    }
    if (parser.head_bytes() > owner->limits.head_bytes) {
      refuse(431);
      return;
    }
    if (request_complete) {
      request_complete = false;
      dispatch();
    }
  }
}

bool
server_connection::on_head(head&& h)
{
  request = {};
  request.method = std::move(h.method);
  request.target = std::move(h.target);
  request.fields = std::move(h.fields);
  keep_alive = h.keep_alive;
  std::size_t size = request.target.size();
  for (const auto& f : request.fields) {
    size += f.name.size() + f.value.size();
  }
  if (size > owner->limits.head_bytes) {
    refuse(431);
    return false;
  }
  const auto length = http::find_number(request.fields, "Content-Length");
  if (length && *length > owner->limits.body_bytes) {
    refuse(413);
    return false;
  }
  const auto expect = find(request.fields, "Expect");
  if (expect && same_name(*expect, "100-continue")) {
    send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

bool
server_connection::on_body(std::string_view data)
{
  if (request.body.size() + data.size() > owner->limits.body_bytes) {
    refuse(413);
    return false;
  }
  request.body += data;
  return true;
}

void
server_connection::dispatch()
{
  parser.resume();
  answering = true;
  head_sent = false;
  ++request_number;
  ++owner->active_requests;
  received_ms = now_ms();
  call c;
  c.connection_ = shared_from_this();
  c.number_ = request_number;
  owner->handle(std::move(c));
}

// Answers a request that did not reach the handler. The bytes that follow
// cannot be distinguished from its body, so the connection is closed after the
// response.
void
server_connection::refuse(int status)
{
  process::log_line(timeline::event{ "request_refused" }
                      .with("status", static_cast<std::uint64_t>(status))
                      .with("method", request.method)
                      .with("target", request.target)
                      .with("head_bytes", parser.head_bytes())
                      .with("body_bytes", request.body.size()));
  close_when_sent = true;
  response r;
  r.status = status;
  r.fields.push_back({ "Connection", "close" });
  send(encode(r));
}

void
server_connection::send(std::string bytes)
{
  if (closed) {
    return;
  }
  add_bytes(*owner->buffers, bytes.size());
  if (unsent.empty()) {
    unsent = std::move(bytes);
  } else {
    unsent += bytes;
  }
  // A whole response may be longer than the limit, which is for streams only.
  if (head_sent && unsent.size() > unsent_limit) {
    disconnect();
    return;
  }
  if (sending.empty()) {
    write();
  }
}

void
server_connection::write()
{
  sending.swap(unsent);
  asio::async_write(
    socket,
    asio::buffer(sending),
    // Called after each partial write. A caller that reads slowly but steadily
    // is not idle, and its answer is written to the end.
    [this](const asio::error_code& ec, std::size_t) -> std::size_t {
      waiting_since_ms = now_ms();
      return ec ? 0 : write_size;
    },
    [self = shared_from_this()](const asio::error_code& ec, std::size_t) {
      self->on_written(ec);
    });
}

void
server_connection::on_written(const asio::error_code& ec)
{
  if (!closed) {
    release_bytes(*owner->buffers, sending.size());
  }
  sending.clear();
  if (sending.capacity() > kept_capacity) {
    sending.shrink_to_fit();
  }
  if (closed) {
    return;
  }
  if (ec) {
    disconnect();
    return;
  }
  if (!unsent.empty()) {
    write();
  } else if (close_when_sent) {
    close();
    return;
  }
  process_input();
  read();
}

// `sending` itself is freed when its write ends, which closing the socket
// causes at once.
void
server_connection::release_unsent()
{
  release_bytes(*owner->buffers, sending.size() + unsent.size());
  unsent.clear();
  unsent.shrink_to_fit();
}

void
server_connection::end_answer()
{
  answering = false;
  head_sent = false;
  disconnect_handler = nullptr;
  --owner->active_requests;
  waiting_since_ms = now_ms();
  if (close_when_sent) {
    return;
  }
  process_input();
  read();
}

void
server_connection::close()
{
  if (closed) {
    return;
  }
  closed = true;
  release_unsent();
  if (answering) {
    answering = false;
    --owner->active_requests;
  }
  disconnect_handler = nullptr;
  asio::error_code ignored;
  // Shuts down sending first, so that a reset cannot discard what was sent.
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
}

// Closes the connection of a caller that has disconnected or reads too slowly,
// and informs the handler.
void
server_connection::disconnect()
{
  if (closed) {
    return;
  }
  const auto self = shared_from_this();
  const auto handler = std::move(disconnect_handler);
  close();
  if (handler) {
    handler();
  }
}

void
server_state::accept()
{
  acceptor.async_accept([self = shared_from_this()](
                          asio::error_code ec, asio::ip::tcp::socket socket) {
    if (self->closed) {
      return;
    }
    if (!ec && self->open_connections.size() < self->limits.connections) {
      configure_socket(socket);
      if (self->buffers->limit_bytes > 0) {
        // Without the option the socket still works, as before.
        asio::error_code ignored;
        socket.set_option(
          asio::socket_base::send_buffer_size{ socket_send_bytes }, ignored);
      }
      std::make_shared<server_connection>(self, std::move(socket))->read();
      self->sweep();
    }
    self->accept();
  });
}

void
server_state::sweep()
{
  if (sweeping || closed) {
    return;
  }
  sweeping = true;
  sweep_timer.expires_after(std::chrono::milliseconds{ sweep_ms });
  sweep_timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    self->sweeping = false;
    if (ec || self->closed) {
      return;
    }
    const auto now = now_ms();
    std::vector<std::shared_ptr<server_connection>> expired;
    for (auto* c : self->open_connections) {
      const auto limit = c->parser.inside_message() || !c->read_ahead.empty()
                           ? self->limits.head_ms
                           : self->limits.idle_ms;
      if (!c->answering && now - c->waiting_since_ms > limit) {
        expired.push_back(c->shared_from_this());
      }
    }
    for (const auto& c : expired) {
      c->close();
    }
    if (!self->open_connections.empty()) {
      self->sweep();
    }
  });
}

} // namespace detail

const http::request&
call::request() const
{
  return connection_->request;
}

std::uint64_t
call::received_ms() const
{
  return connection_->received_ms;
}

bool
call::is_open() const
{
  return connection_ && connection_->is_current(number_);
}

void
call::respond(response&& r) const
{
  if (!is_open() || connection_->head_sent) {
    return;
  }
  const auto c = connection_;
  if (c->owner->draining || !c->keep_alive) {
    c->close_when_sent = true;
    set(r.fields, "Connection", "close");
  }
  c->send(encode(r));
  c->end_answer();
}

void
call::begin(int status, headers fields) const
{
  if (!is_open() || connection_->head_sent) {
    return;
  }
  const auto c = connection_;
  c->head_sent = true;
  if (c->owner->draining || !c->keep_alive) {
    set(fields, "Connection", "close");
  }
  c->send(encode_chunked_head(status, fields));
}

void
call::write(std::string_view data) const
{
  if (is_open() && connection_->head_sent && !data.empty()) {
    connection_->send(encode_chunk(data));
  }
}

void
call::finish() const
{
  if (!is_open() || !connection_->head_sent) {
    return;
  }
  const auto c = connection_;
  c->close_when_sent = c->owner->draining || !c->keep_alive;
  c->send(std::string{ last_chunk });
  if (!c->closed) {
    c->end_answer();
  }
}

void
call::abort() const
{
  if (is_open()) {
    connection_->close();
  }
}

void
call::on_disconnect(std::function<void()> handler) const
{
  if (is_open()) {
    connection_->disconnect_handler = std::move(handler);
  }
}

server::server(asio::io_context& io,
               server_limits limits,
               handler h,
               std::shared_ptr<buffer_budget> buffers)
  : state_{ std::make_shared<detail::server_state>(io,
                                                   limits,
                                                   std::move(h),
                                                   std::move(buffers)) }
{
}

server::~server()
{
  state_->closed = true;
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  state_->sweep_timer.cancel();
}

std::error_code
server::listen(const std::string& address)
{
  const auto at = endpoint_from(address);
  if (!at) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  asio::error_code ec;
  auto& acceptor = state_->acceptor;
  acceptor.open(asio::ip::tcp::v4(), ec);
  if (!ec) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{ true }, ec);
    acceptor.bind(*at, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (!ec) {
    state_->accept();
  }
  return ec;
}

void
server::set_limits(const server_limits& limits)
{
  state_->limits = limits;
}

void
server::start_draining()
{
  state_->draining = true;
}

void
server::close()
{
  state_->closed = true;
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  std::vector<std::shared_ptr<detail::server_connection>> open;
  for (auto* c : state_->open_connections) {
    open.push_back(c->shared_from_this());
  }
  for (const auto& c : open) {
    c->close();
  }
}

std::size_t
server::active_requests() const
{
  return state_->active_requests;
}

std::size_t
server::idle_connections() const
{
  return state_->open_connections.size() - state_->active_requests;
}

std::size_t
server::unsent_bytes() const
{
  std::size_t sum = 0;
  for (const auto* c : state_->open_connections) {
    sum += c->closed ? 0 : c->sending.size() + c->unsent.size();
  }
  return sum;
}

std::uint16_t
server::port() const
{
  asio::error_code ec;
  const auto at = state_->acceptor.local_endpoint(ec);
  return ec ? 0 : at.port();
}

} // namespace cactusford::http
