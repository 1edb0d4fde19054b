#include "cactusford/http/client.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <utility>

namespace cactusford::http {

namespace {

// A response that is being collected. Its bytes count until it is handed over
// or dropped.
struct collected_response
{
  explicit collected_response(std::shared_ptr<buffer_budget> b)
    : buffers{ std::move(b) }
  {
  }
  ~collected_response() { release(); }
  collected_response(const collected_response&) = delete;
  collected_response& operator=(const collected_response&) = delete;

  void set_head(const head& h)
  {
    value.status = h.status;
    value.fields = h.fields;
    count(memory_of(value.fields));
  }

  void append(std::string_view data)
  {
    value.body += data;
    count(data.size());
  }

  void count(std::size_t bytes)
  {
    counted += bytes;
    add_bytes(*buffers, bytes);
  }

  void release()
  {
    release_bytes(*buffers, counted);
    counted = 0;
  }

  response value;
  std::shared_ptr<buffer_budget> buffers;
  std::size_t counted = 0;
};

// While the memory for responses is used up, longer ones are cut off. Lists of
// the store are shorter.
constexpr std::size_t max_body_bytes_when_full = 2U << 20;

// A body of this size is never cut off.
constexpr std::size_t short_body_bytes = 64U << 10;

// Memory of a response's head. Its fields take many times their bytes, and
// those of each concurrent call are held.
constexpr std::size_t max_head_memory_bytes = 128U << 10;

constexpr std::size_t read_size = 16U << 10;

// One buffer for all reads of the thread, because each read is consumed before
// the next one starts.
std::array<char, read_size>&
read_buffer()
{
  static thread_local std::array<char, read_size> buffer;
  return buffer;
}

// Subtracted from the peer's keep-alive timeout. A request sent while the peer
// closes the connection would have an unknown outcome.
constexpr std::uint64_t idle_margin_ms = 700;

void
log_unwritable(const std::string& address, const request& r)
{
  process::log_line(timeline::event{ "request_not_written" }
                      .with("address", address)
                      .with("part", unwritable_part(r).value_or("")));
}

std::uint64_t
idle_limit_of(const headers& fields, std::uint64_t default_ms)
{
  const auto text = find(fields, "Keep-Alive");
  constexpr std::string_view key = "timeout=";
  const auto at = text ? text->find(key) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return default_ms;
  }
  const auto rest = text->substr(at + key.size());
  const auto seconds =
    parse_number(rest.substr(0, rest.find_first_not_of("0123456789")));
  const auto ms = seconds.value_or(0) * 1000;
  return ms > idle_margin_ms ? ms - idle_margin_ms : 0;
}

} // namespace

std::string_view
name_of(exchange_outcome e) noexcept
{
  switch (e) {
    case exchange_outcome::complete:
      return "complete";
    case exchange_outcome::not_sent:
      return "not_sent";
    case exchange_outcome::connection_lost:
      return "cut";
    case exchange_outcome::timed_out:
      return "timed_out";
    case exchange_outcome::malformed:
      return "malformed";
  }
  return "unknown";
}

namespace detail {

struct exchange
{
  exchange_callbacks callbacks;
  exchange_options options;
  std::string bytes;
  std::unique_ptr<http::timer> timer;
  std::weak_ptr<connection> conn;
  bool sent = false;
  bool ended = false;
};

struct connection : std::enable_shared_from_this<connection>
{
  connection(std::shared_ptr<client::impl> p, std::string a);

  void open(std::shared_ptr<exchange> e);
  void start(std::shared_ptr<exchange> e);
  void read();
  void on_data(std::string_view bytes);
  void on_read_error(const asio::error_code& ec);
  void on_orderly_end();
  bool on_head(head&& h);
  bool on_body(std::string_view data);
  bool on_end();
  void finish(exchange_outcome state);
  void log_oversized() const;
  void close();

  std::shared_ptr<client::impl> pool;
  std::string address;
  asio::ip::tcp::socket socket;
  http::parser parser;
  std::shared_ptr<exchange> current;
  bool writing = false;
  bool has_write_failed = false;
  // A request with `reset_on_abandon` was sent and its complete response has
  // not arrived, so closing the connection must reset it.
  bool reset_on_close = false;
  bool is_reusable = true;
  bool skips_response = false;
  // The complete response has been read, and the parser is paused at its end.
  bool response_complete = false;
  bool closed = false;
  // Bytes of the body, and all bytes, that arrived for the current request.
  std::size_t body_bytes = 0;
  std::size_t received_bytes = 0;
  bool is_oversized = false;
  bool is_body_close_delimited = false;
  std::uint64_t idle_ms = 0;
  std::uint64_t idle_until = 0;
};

} // namespace detail

struct client::impl : std::enable_shared_from_this<client::impl>
{
  impl(asio::io_context& context, pool_limits l)
    : io{ context }
    , limits{ l }
  {
  }

  std::shared_ptr<detail::connection> take_idle(const std::string& address);
  void add_idle(const std::shared_ptr<detail::connection>& c);
  void remove_idle(const detail::connection& c);

  asio::io_context& io;
  pool_limits limits;
  std::map<std::string, std::deque<std::shared_ptr<detail::connection>>> idle;
  std::size_t count = 0;
  std::uint64_t opened = 0;
  std::shared_ptr<buffer_budget> buffers = std::make_shared<buffer_budget>();
  connect_handler on_connected;
};

std::shared_ptr<detail::connection>
client::impl::take_idle(const std::string& address)
{
  const auto found = idle.find(address);
  if (found == idle.end()) {
    return nullptr;
  }
  const auto now = now_ms();
  std::shared_ptr<detail::connection> usable;
  std::vector<std::shared_ptr<detail::connection>> expired;
  while (!usable && !found->second.empty()) {
    auto c = found->second.back();
    found->second.pop_back();
    if (!c->closed && c->idle_until > now) {
      usable = std::move(c);
    } else {
      expired.push_back(std::move(c));
    }
  }
  // Closing a connection may remove its address from the pool, so this runs
  // after the last use of `found`.
  for (const auto& c : expired) {
    c->close();
  }
  return usable;
}

void
client::impl::add_idle(const std::shared_ptr<detail::connection>& c)
{
  auto& idle_list = idle[c->address];
  const auto now = now_ms();
  std::vector<std::shared_ptr<detail::connection>> expired;
  while (!idle_list.empty() &&
         (idle_list.front()->closed || idle_list.front()->idle_until <= now ||
          idle_list.size() >= limits.idle_for_address)) {
    expired.push_back(std::move(idle_list.front()));
    idle_list.pop_front();
  }
  idle_list.push_back(c);
  for (const auto& old : expired) {
    old->close();
  }
}

void
client::impl::remove_idle(const detail::connection& c)
{
  const auto found = idle.find(c.address);
  if (found != idle.end()) {
    std::erase_if(found->second, [&](const auto& k) { return k.get() == &c; });
    if (found->second.empty()) {
      idle.erase(found);
    }
  }
}

namespace detail {

connection::connection(std::shared_ptr<client::impl> p, std::string a)
  : pool{ std::move(p) }
  , address{ std::move(a) }
  , socket{ pool->io }
  , parser{ parser_kind::response,
            { [this](head&& h) { return on_head(std::move(h)); },
              [this](std::string_view data) { return on_body(data); },
              [this] { return on_end(); } } }
{
  ++pool->count;
  ++pool->opened;
}

void
connection::open(std::shared_ptr<exchange> e)
{
  current = e;
  e->conn = weak_from_this();
  const auto endpoint = endpoint_from(address);
  if (!endpoint || pool->count > pool->limits.connections) {
    asio::post(pool->io, [self = shared_from_this()] {
      self->finish(exchange_outcome::not_sent);
    });
    return;
  }
  auto connect_timer = std::make_shared<http::timer>(
    pool->io, std::chrono::milliseconds{ e->options.connect_timeout_ms });
  connect_timer->async_wait(
    [self = shared_from_this(), e](asio::error_code ec) {
      if (!ec && !e->sent && self->current == e) {
        self->finish(exchange_outcome::not_sent);
      }
    });
  const auto started = std::chrono::steady_clock::now();
  open_outgoing(socket, *endpoint);
  socket.async_connect(
    *endpoint,
    [self = shared_from_this(), connect_timer, e, started](
      asio::error_code ec) {
      connect_timer->cancel();
      if (self->closed) {
        return;
      }
      if (ec || reset_if_self_connected(self->socket)) {
        self->finish(exchange_outcome::not_sent);
        return;
      }
      if (self->pool->on_connected) {
        const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - started;
        self->pool->on_connected(self->address, took.count());
      }
      configure_socket(self->socket);
      self->read();
      self->start(e);
    });
}

void
connection::start(std::shared_ptr<exchange> e)
{
  current = e;
  body_bytes = 0;
  received_bytes = 0;
  e->conn = weak_from_this();
  e->sent = true;
  reset_on_close = e->options.reset_on_abandon;
  writing = true;
  const auto& body = e->options.body;
  const std::array<asio::const_buffer, 2> message{
    asio::buffer(e->bytes), body ? asio::buffer(*body) : asio::const_buffer{}
  };
  asio::async_write(
    socket,
    message,
    [self = shared_from_this(), e](asio::error_code ec, std::size_t) {
      self->writing = false;
      // A response may have arrived before the failure, so the exchange ends
      // when all that arrived has been read.
      if (ec) {
        self->is_reusable = false;
        self->has_write_failed = true;
      }
      e->bytes = {};
      e->options.body = nullptr;
    });
}

void
connection::read()
{
  socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self = shared_from_this()](asio::error_code ec) {
                      if (self->closed) {
                        return;
                      }
                      if (ec) {
                        self->on_read_error(ec);
                        return;
                      }
                      auto& buffer = read_buffer();
                      const auto size =
                        self->socket.read_some(asio::buffer(buffer), ec);
                      if (is_would_block(ec)) {
                        self->read();
                        return;
                      }
                      if (ec) {
                        self->on_read_error(ec);
                        return;
                      }
                      self->on_data({ buffer.data(), size });
                      if (!self->closed) {
                        self->read();
                      }
                    });
}

void
connection::on_data(std::string_view bytes)
{
  if (!current) {
    // The peer sent bytes although no request is in progress.
    close();
    return;
  }
  received_bytes += bytes.size();
  is_oversized =
    received_bytes > current->options.max_body_bytes + max_overhead_bytes;
  const auto consumed = is_oversized ? 0 : parser.feed(bytes);
  if (closed) {
    return;
  }
  is_oversized = is_oversized || parser.head_memory() > max_head_memory_bytes;
  if (is_oversized) {
    log_oversized();
    finish(exchange_outcome::malformed);
    return;
  }
  if (response_complete) {
    response_complete = false;
    parser.resume();
    // Bytes after a complete response belong to no request, so the connection
    // is not reused.
    is_reusable = is_reusable && consumed == bytes.size();
    finish(exchange_outcome::complete);
  } else if (parser.state() == parse_state::malformed ||
             consumed < bytes.size()) {
    finish(exchange_outcome::malformed);
  }
}

void
connection::on_read_error(const asio::error_code& ec)
{
  if (!current) {
    close();
    return;
  }
  // Only an orderly shutdown completes a response without a length. A reset
  // also reads as one if a pending write has taken the socket's error; that
  // write has ended then, and its handler runs before what is posted now.
  if (ec == asio::error::eof && is_body_close_delimited && !skips_response) {
    is_reusable = false;
    asio::post(pool->io, [self = shared_from_this(), e = current] {
      if (!self->closed && self->current == e) {
        self->on_orderly_end();
      }
    });
    return;
  }
  finish(exchange_outcome::connection_lost);
}

void
connection::on_orderly_end()
{
  const auto self = shared_from_this();
  if (!has_write_failed) {
    parser.feed_end();
  }
  if (!closed) {
    finish(response_complete ? exchange_outcome::complete
                             : exchange_outcome::connection_lost);
  }
}

bool
connection::on_head(head&& h)
{
  constexpr int first_final_status = 200;
  skips_response = false;
  if (!current) {
    return false;
  }
  if (memory_of(h.fields) > max_head_memory_bytes) {
    is_oversized = true;
    return false;
  }
  if (h.status < first_final_status) {
    skips_response = true;
    return true;
  }
  const auto& echo = current->options.echo;
  if (!echo.name.empty()) {
    const auto value = find(h.fields, echo.name);
    skips_response = value && *value != echo.value;
  }
  if (skips_response) {
    return true;
  }
  is_reusable = is_reusable && h.keep_alive && !h.is_close_delimited;
  is_body_close_delimited = h.is_close_delimited;
  idle_ms = idle_limit_of(h.fields, pool->limits.idle_ms);
  const auto e = current;
  if (e->callbacks.on_head) {
    e->callbacks.on_head(h);
  }
  return !closed;
}

bool
connection::on_body(std::string_view data)
{
  if (!current || skips_response) {
    return !closed;
  }
  body_bytes += data.size();
  const auto& buffers = *pool->buffers;
  const bool is_cut_for_memory =
    (body_bytes > max_body_bytes_when_full && !may_take_call(buffers)) ||
    (current->options.is_for_caller && body_bytes > short_body_bytes &&
     must_cut_answers(buffers));
  if (body_bytes > current->options.max_body_bytes || is_cut_for_memory) {
    is_oversized = true;
    return false;
  }
  if (current->callbacks.on_body) {
    const auto e = current;
    e->callbacks.on_body(data);
  }
  return !closed;
}

void
connection::log_oversized() const
{
  process::log_line(timeline::event{ "response_too_long" }
                      .with("address", address)
                      .with("body_bytes", body_bytes)
                      .with("received_bytes", received_bytes));
}

bool
connection::on_end()
{
  if (skips_response) {
    skips_response = false;
    return true;
  }
  response_complete = true;
  return false;
}

void
connection::finish(exchange_outcome state)
{
  const auto self = shared_from_this();
  const auto e = std::move(current);
  current = nullptr;
  reset_on_close = reset_on_close && state != exchange_outcome::complete;
  // If the response arrived before the request was fully written, the peer may
  // still be reading the request, so the connection is not reused.
  if (state == exchange_outcome::complete && is_reusable && !writing &&
      idle_ms > 0) {
    idle_until = now_ms() + idle_ms;
    pool->add_idle(self);
  } else {
    close();
  }
  if (e && !e->ended) {
    e->ended = true;
    e->timer->cancel();
    const auto on_end = std::move(e->callbacks.on_end);
    e->callbacks = {};
    if (on_end) {
      on_end(state);
    }
  }
}

void
connection::close()
{
  if (closed) {
    return;
  }
  closed = true;
  asio::error_code ignored;
  // During a network partition, an abandoned request may remain in the kernel's
  // send buffer. An orderly close would deliver it when the partition heals: an
  // item reached its engine three seconds after its batch had ended. A reset
  // discards the buffer.
  if (reset_on_close) {
    socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  }
  socket.close(ignored);
  --pool->count;
  pool->remove_idle(*this);
}

} // namespace detail

void
pending_request::cancel()
{
  const auto e = std::move(exchange_);
  exchange_ = nullptr;
  if (!e || e->ended) {
    return;
  }
  e->ended = true;
  e->timer->cancel();
  if (const auto c = e->conn.lock()) {
    c->current = nullptr;
    c->close();
  }
  // The callbacks may own the object that called this function, so they are
  // destroyed later.
  asio::post(e->timer->get_executor(), [e] { e->callbacks = {}; });
}

bool
pending_request::is_sent() const
{
  return exchange_ && exchange_->sent;
}

client::client(asio::io_context& io, pool_limits limits)
  : impl_{ std::make_shared<impl>(io, limits) }
{
}

client::~client()
{
  auto idle = std::move(impl_->idle);
  for (auto& [address, idle_list] : idle) {
    for (auto& c : idle_list) {
      c->close();
    }
  }
}

pending_request
client::send(const std::string& address,
             const request& r,
             exchange_options options,
             exchange_callbacks callbacks)
{
  auto e = std::make_shared<detail::exchange>();
  e->callbacks = std::move(callbacks);
  e->bytes = options.body ? encode_head(r, options.body->size()) : encode(r);
  e->timer = std::make_unique<http::timer>(
    impl_->io, std::chrono::milliseconds{ options.timeout_ms });
  e->options = std::move(options);
  e->timer->async_wait([e](asio::error_code ec) {
    if (ec || e->ended) {
      return;
    }
    if (const auto c = e->conn.lock()) {
      c->finish(e->sent ? exchange_outcome::timed_out
                        : exchange_outcome::not_sent);
    }
  });
  if (e->bytes.empty()) {
    log_unwritable(address, r);
    asio::post(impl_->io, [e] {
      if (!e->ended) {
        e->ended = true;
        e->timer->cancel();
        const auto callbacks = std::exchange(e->callbacks, {});
        callbacks.on_end(exchange_outcome::not_sent);
      }
    });
  } else if (auto reused = impl_->take_idle(address)) {
    reused->start(e);
  } else {
    std::make_shared<detail::connection>(impl_, address)->open(e);
  }
  pending_request p;
  p.exchange_ = std::move(e);
  return p;
}

pending_request
client::fetch(const std::string& address,
              const request& r,
              exchange_options options,
              response_handler done)
{
  auto collected = std::make_shared<collected_response>(impl_->buffers);
  exchange_callbacks callbacks;
  callbacks.on_head = [collected](const head& h) { collected->set_head(h); };
  callbacks.on_body = [collected](std::string_view data) {
    collected->append(data);
  };
  callbacks.on_end = [collected,
                      done = std::move(done)](exchange_outcome state) {
    collected->release();
    done(state, std::move(collected->value));
  };
  return send(address, r, std::move(options), std::move(callbacks));
}

void
client::count_collected(std::shared_ptr<buffer_budget> buffers)
{
  impl_->buffers = std::move(buffers);
}

void
client::close_idle(const std::string& address)
{
  const auto found = impl_->idle.find(address);
  if (found == impl_->idle.end()) {
    return;
  }
  const auto idle_list = std::move(found->second);
  impl_->idle.erase(found);
  for (const auto& c : idle_list) {
    c->close();
  }
}

bool
client::has_idle(const std::string& address) const
{
  const auto found = impl_->idle.find(address);
  const auto now = now_ms();
  return found != impl_->idle.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [now](const auto& c) {
             return !c->closed && c->idle_until > now;
           });
}

void
client::on_connected(connect_handler handler)
{
  impl_->on_connected = std::move(handler);
}

std::uint64_t
client::connections_opened() const
{
  return impl_->opened;
}

} // namespace cactusford::http
