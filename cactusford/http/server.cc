#include "cactusford/http/server.h"

#include "cactusford/http/server_connection.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusford::http {

namespace detail {

namespace {

// How often idle and slow connections are closed, in milliseconds.
constexpr std::uint64_t sweep_ms = 500;

// Send buffer of a connection's socket where the total is bounded. The kernel
// otherwise takes up to 4 MB for each slow reader, which no bound covers.
constexpr int socket_send_bytes = 64 << 10;

// Pause after a connection could not be accepted, in milliseconds. Without it a
// process without free descriptors would do nothing else but try.
constexpr std::uint64_t accept_retry_ms = 20;

// Newcomers that are looked at for one to replace. The oldest come first, and a
// request that arrives at a good rate is passed over.
constexpr int max_candidates = 64;

// How late an incomplete request is that gives way to a new caller, or how long
// a connection is idle, in milliseconds. If there is no slow one, one that did
// not send at once does, and then the oldest one, as otherwise a crowd would
// keep everybody else out.
constexpr std::uint64_t slow_request_ms = 250;
constexpr std::uint64_t one_exchange_ms = 10;
constexpr std::uint64_t any_request_ms = 0;

} // namespace

server_state::server_state(asio::io_context& context,
                           server_limits l,
                           server::handler h,
                           std::shared_ptr<buffer_budget> b,
                           server_options o)
  : io{ context }
  , limits{ l }
  , handle{ std::move(h) }
  , buffers{ b ? std::move(b) : std::make_shared<buffer_budget>() }
  , options{ std::move(o) }
  , acceptor{ context }
  , sweep_timer{ context }
{
}

void
server_state::accept()
{
  acceptor.async_accept([self = shared_from_this()](
                          asio::error_code ec, asio::ip::tcp::socket socket) {
    if (self->closed) {
      return;
    }
    if (!ec) {
      self->add(std::move(socket));
      self->accept();
      return;
    }
    self->replace_idle();
    auto timer = std::make_shared<http::timer>(
      self->io, std::chrono::milliseconds{ accept_retry_ms });
    timer->async_wait([self, timer](asio::error_code) {
      if (!self->closed) {
        self->accept();
      }
    });
  });
}

void
server_state::add(asio::ip::tcp::socket socket)
{
  const auto limit = std::min(limits.connections, options.connections);
  if (open_connections.size() >= limit && !replace_idle()) {
    ++refused;
    process::log_line(timeline::event{ "connection_refused" }.with(
      "open", open_connections.size()));
    return;
  }
  configure_socket(socket);
  if (buffers->limit_bytes > 0) {
    // Without the option the socket still works, as before.
    asio::error_code ignored;
    socket.set_option(asio::socket_base::send_buffer_size{ socket_send_bytes },
                      ignored);
  }
  std::make_shared<server_connection>(shared_from_this(), std::move(socket))
    ->read();
  sweep();
}

// Returns the connection that has waited longest, first one that has never sent
// a request: a caller that keeps its connection may be about to use it. Null if
// all are in use.
server_connection*
server_state::find_replaceable(std::uint64_t max_overdue_ms) const
{
  int looked_at = 0;
  for (auto* c : newcomers) {
    if (!c->closed && c->is_replaceable(max_overdue_ms)) {
      return c;
    }
    if (++looked_at == max_candidates) {
      break;
    }
  }
  server_connection* found = nullptr;
  for (auto* c : open_connections) {
    const bool is_older =
      found == nullptr || c->waiting_since_ms < found->waiting_since_ms;
    if (!c->closed && is_older && c->is_replaceable(max_overdue_ms)) {
      found = c;
    }
  }
  return found;
}

// Makes room for a new caller. Returns false if there is none to be made.
bool
server_state::replace_idle()
{
  server_connection* found = nullptr;
  for (const auto late_ms :
       { slow_request_ms, one_exchange_ms, any_request_ms }) {
    found = found == nullptr ? find_replaceable(late_ms) : found;
  }
  if (found == nullptr) {
    return false;
  }
  ++replaced;
  process::log_line(
    timeline::event{ "connection_replaced" }
      .with("open", open_connections.size())
      .with("idle_ms", now_ms() - found->waiting_since_ms)
      .with("sent_requests", std::uint64_t{ found->request_number }));
  found->shared_from_this()->close();
  return true;
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
    self->close_expired();
    for (auto* c : self->open_connections) {
      c->check_output();
    }
    if (!self->open_connections.empty()) {
      self->sweep();
    }
  });
}

// A request that is not complete in time is answered, as its caller then knows
// that it has not run.
void
server_state::close_expired()
{
  const auto now = now_ms();
  std::vector<std::shared_ptr<server_connection>> expired;
  for (auto* c : open_connections) {
    if (!c->closed && c->is_expired(now)) {
      expired.push_back(c->shared_from_this());
    }
  }
  constexpr int timed_out = 408;
  for (const auto& c : expired) {
    if (c->parser.inside_message() && !c->close_when_sent) {
      c->refuse(timed_out);
    } else {
      c->close();
    }
  }
}

} // namespace detail

const http::request&
call::request() const
{
  return connection_->request;
}

taken_body
call::take_body() const
{
  return connection_->take_body();
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
  // The answer may end the last other reference to the connection.
  const auto c = connection_;
  c->answer(std::move(r));
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
               std::shared_ptr<buffer_budget> buffers,
               server_options options)
  : state_{ std::make_shared<detail::server_state>(io,
                                                   limits,
                                                   std::move(h),
                                                   std::move(buffers),
                                                   std::move(options)) }
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
    if (state_->options.memory) {
      // Connections inherit it. The kernel otherwise takes megabytes for a
      // caller that sends ahead.
      acceptor.set_option(
        asio::socket_base::receive_buffer_size{
          static_cast<int>(state_->options.unread_bytes) },
        ec);
    }
    acceptor.bind(*at, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    asio::error_code ignored;
    acceptor.close(ignored);
    return ec;
  }
  state_->accept();
  return {};
}

void
server::set_limits(const server_limits& limits)
{
  state_->limits = limits;
}

void
server::set_options(server_options options)
{
  state_->options = std::move(options);
}

void
server::start_draining()
{
  state_->draining = true;
}

std::size_t
server::answer_all(const response& last)
{
  std::vector<std::shared_ptr<detail::server_connection>> open;
  for (auto* c : state_->open_connections) {
    open.push_back(c->shared_from_this());
  }
  constexpr int unavailable = 503;
  std::size_t answered = 0;
  for (const auto& c : open) {
    if (c->closed || c->close_when_sent) {
      continue;
    }
    if (!c->answering && c->parser.inside_message()) {
      c->refuse(unavailable);
    } else if (c->answering && c->head_sent) {
      c->close();
    } else if (c->answering) {
      c->answer(last);
      ++answered;
    }
  }
  return answered;
}

bool
server::has_unhandled_input() const
{
  return std::any_of(state_->open_connections.begin(),
                     state_->open_connections.end(),
                     [](const auto* c) {
                       return !c->closed && !c->close_when_sent &&
                              (!c->read_ahead.empty() ||
                               c->parser.inside_message());
                     });
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
server::open_connections() const
{
  return state_->open_connections.size();
}

std::uint64_t
server::replaced_connections() const
{
  return state_->replaced;
}

std::uint64_t
server::refused_connections() const
{
  return state_->refused;
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
