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

// Requests that a caller has sent ahead. Past it, reading waits.
constexpr std::size_t ahead_limit = 256U << 10;

// How often silent callers are looked for, in milliseconds.
constexpr std::uint64_t sweep_ms = 500;

// Bytes that a slow reader may leave waiting before it is cut off.
constexpr std::size_t unsent_limit = 8U << 20;

std::array<char, read_size>&
read_buffer()
{
  static thread_local std::array<char, read_size> buffer;
  return buffer;
}

} // namespace

struct server_state : std::enable_shared_from_this<server_state>
{
  server_state(asio::io_context& context, server_limits l, server::handler h)
    : io{ context }
    , limits{ l }
    , handle{ std::move(h) }
    , acceptor{ context }
    , sweeper{ context }
  {
  }

  void accept();
  void sweep();

  asio::io_context& io;
  server_limits limits;
  server::handler handle;
  asio::ip::tcp::acceptor acceptor;
  http::timer sweeper;
  std::unordered_set<server_connection*> all;
  std::size_t busy = 0;
  bool sweeping = false;
  bool leaving = false;
  bool closed = false;
};

struct server_connection : std::enable_shared_from_this<server_connection>
{
  server_connection(std::shared_ptr<server_state> s, asio::ip::tcp::socket k);
  ~server_connection();

  void read();
  void take();
  bool on_head(head&& h);
  bool on_body(std::string_view data);
  void dispatch();
  void refuse(int status);
  void send(std::string bytes);
  void write();
  void end_answer();
  void close();
  void lose();

  bool is_current(std::uint64_t n) const
  {
    return !closed && answering && n == number;
  }

  std::shared_ptr<server_state> owner;
  asio::ip::tcp::socket socket;
  http::parser parser;
  // Read and not yet parsed, while a request is being answered.
  std::string ahead;
  http::request request;
  std::uint64_t number = 0;
  std::uint64_t received_ms = 0;
  std::uint64_t since_ms = now_ms();
  std::function<void()> gone;
  std::string unsent;
  std::string sending;
  bool reading = false;
  bool whole = false;
  bool answering = false;
  bool begun = false;
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
                whole = true;
                return false;
              } } }
{
  owner->all.insert(this);
}

server_connection::~server_connection()
{
  owner->all.erase(this);
}

void
server_connection::read()
{
  if (reading || closed || ahead.size() > ahead_limit) {
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
                      if (is_early(ec)) {
                        self->read();
                        return;
                      }
                      if (ec) {
                        self->lose();
                        return;
                      }
                      self->since_ms = self->parser.inside_message()
                                         ? self->since_ms
                                         : now_ms();
                      self->ahead.append(buffer.data(), size);
                      self->take();
                      self->read();
                    });
}

void
server_connection::take()
{
  while (!closed && !answering && !close_when_sent && !ahead.empty()) {
    const auto used = parser.feed(ahead);
    if (closed || close_when_sent) {
      return;
    }
    ahead.erase(0, used);
    if (parser.state() == parse_state::malformed) {
      refuse(400);
      return;
    }
    if (parser.head_bytes() > owner->limits.head_bytes) {
      refuse(431);
      return;
    }
    if (whole) {
      whole = false;
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
  begun = false;
  ++number;
  ++owner->busy;
  received_ms = now_ms();
  call c;
  c.connection_ = shared_from_this();
  c.number_ = number;
  owner->handle(std::move(c));
}

// The request never got past this connection, and what follows it cannot be
// told apart from its body: the connection ends with the answer.
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
  unsent += bytes;
  if (unsent.size() > unsent_limit) {
    lose();
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
    [self = shared_from_this()](asio::error_code ec, std::size_t) {
      self->sending.clear();
      if (self->closed) {
        return;
      }
      if (ec) {
        self->lose();
        return;
      }
      if (!self->unsent.empty()) {
        self->write();
      } else if (self->close_when_sent) {
        self->close();
      }
    });
}

void
server_connection::end_answer()
{
  answering = false;
  gone = nullptr;
  --owner->busy;
  since_ms = now_ms();
  if (close_when_sent) {
    return;
  }
  take();
  read();
}

void
server_connection::close()
{
  if (closed) {
    return;
  }
  closed = true;
  if (answering) {
    answering = false;
    --owner->busy;
  }
  gone = nullptr;
  asio::error_code ignored;
  // An orderly end first: what was sent must not be lost to a reset.
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
}

// The caller has left, or can no longer be served.
void
server_connection::lose()
{
  if (closed) {
    return;
  }
  const auto self = shared_from_this();
  const auto handler = std::move(gone);
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
    if (!ec && self->all.size() < self->limits.connections) {
      configure_socket(socket);
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
  sweeper.expires_after(std::chrono::milliseconds{ sweep_ms });
  sweeper.async_wait([self = shared_from_this()](asio::error_code ec) {
    self->sweeping = false;
    if (ec || self->closed) {
      return;
    }
    const auto now = now_ms();
    std::vector<std::shared_ptr<server_connection>> silent;
    for (auto* c : self->all) {
      const auto limit = c->parser.inside_message() || !c->ahead.empty()
                           ? self->limits.head_ms
                           : self->limits.idle_ms;
      if (!c->answering && now - c->since_ms > limit) {
        silent.push_back(c->shared_from_this());
      }
    }
    for (const auto& c : silent) {
      c->close();
    }
    if (!self->all.empty()) {
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
  if (!is_open() || connection_->begun) {
    return;
  }
  const auto c = connection_;
  if (c->owner->leaving || !c->keep_alive) {
    c->close_when_sent = true;
    set(r.fields, "Connection", "close");
  }
  c->send(encode(r));
  c->end_answer();
}

void
call::begin(int status, headers fields) const
{
  if (!is_open() || connection_->begun) {
    return;
  }
  const auto c = connection_;
  c->begun = true;
  if (c->owner->leaving || !c->keep_alive) {
    set(fields, "Connection", "close");
  }
  c->send(encode_chunked_head(status, fields));
}

void
call::write(std::string_view data) const
{
  if (is_open() && connection_->begun && !data.empty()) {
    connection_->send(encode_chunk(data));
  }
}

void
call::finish() const
{
  if (!is_open() || !connection_->begun) {
    return;
  }
  const auto c = connection_;
  c->close_when_sent = c->owner->leaving || !c->keep_alive;
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
    connection_->gone = std::move(handler);
  }
}

server::server(asio::io_context& io, server_limits limits, handler h)
  : state_{ std::make_shared<detail::server_state>(io, limits, std::move(h)) }
{
}

server::~server()
{
  state_->closed = true;
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  state_->sweeper.cancel();
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
server::limit(const server_limits& limits)
{
  state_->limits = limits;
}

void
server::leave()
{
  state_->leaving = true;
}

void
server::close()
{
  state_->closed = true;
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  std::vector<std::shared_ptr<detail::server_connection>> open;
  for (auto* c : state_->all) {
    open.push_back(c->shared_from_this());
  }
  for (const auto& c : open) {
    c->close();
  }
}

std::size_t
server::busy() const
{
  return state_->busy;
}

std::size_t
server::idle() const
{
  return state_->all.size() - state_->busy;
}

std::uint16_t
server::port() const
{
  asio::error_code ec;
  const auto at = state_->acceptor.local_endpoint(ec);
  return ec ? 0 : at.port();
}

} // namespace cactusford::http
