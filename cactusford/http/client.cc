#include "cactusford/http/client.h"

#include "cactusford/http/socket.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>

namespace cactusford::http {

namespace {

constexpr std::size_t read_size = 16U << 10;

// One buffer for all reads of the thread: what was read is consumed at once.
std::array<char, read_size>&
read_buffer()
{
  static thread_local std::array<char, read_size> buffer;
  return buffer;
}

// Subtracted from the time that the peer keeps an idle connection: a request
// sent into its close would have an unknown outcome.
constexpr std::uint64_t idle_margin_ms = 700;

std::uint64_t
idle_limit_of(const headers& fields, std::uint64_t otherwise)
{
  const auto text = find(fields, "Keep-Alive");
  constexpr std::string_view key = "timeout=";
  const auto at = text ? text->find(key) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return otherwise;
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
  exchange_events events;
  exchange_options options;
  std::string bytes;
  std::unique_ptr<http::timer> timer;
  std::weak_ptr<connection> on;
  bool sent = false;
  bool ended = false;
};

struct connection : std::enable_shared_from_this<connection>
{
  connection(std::shared_ptr<client::impl> p, std::string a);

  void open(std::shared_ptr<exchange> e);
  void start(std::shared_ptr<exchange> e);
  void read();
  void take(std::string_view bytes);
  void on_read_error(const asio::error_code& ec);
  bool on_head(head&& h);
  bool on_end();
  void finish(exchange_outcome state);
  void close();

  std::shared_ptr<client::impl> pool;
  std::string address;
  asio::ip::tcp::socket socket;
  http::parser parser;
  std::shared_ptr<exchange> current;
  bool writing = false;
  // A request was sent here that must not arrive once it is given up, and its
  // whole answer has not come.
  bool must_not_arrive = false;
  bool open_for_reuse = true;
  bool skipping = false;
  // The whole answer has been read; the parser waits at its end.
  bool completed = false;
  bool closed = false;
  bool is_end_by_close = false;
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
  void keep(const std::shared_ptr<detail::connection>& c);
  void drop(const detail::connection& c);

  asio::io_context& io;
  pool_limits limits;
  std::map<std::string, std::deque<std::shared_ptr<detail::connection>>> idle;
  std::size_t count = 0;
  std::uint64_t opened = 0;
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
  std::vector<std::shared_ptr<detail::connection>> dead;
  while (!usable && !found->second.empty()) {
    auto c = found->second.back();
    found->second.pop_back();
    if (!c->closed && c->idle_until > now) {
      usable = std::move(c);
    } else {
      dead.push_back(std::move(c));
    }
  }
  // Closing one may remove the address from the pool.
  for (const auto& c : dead) {
    c->close();
  }
  return usable;
}

void
client::impl::keep(const std::shared_ptr<detail::connection>& c)
{
  auto& kept = idle[c->address];
  const auto now = now_ms();
  std::vector<std::shared_ptr<detail::connection>> dead;
  while (!kept.empty() &&
         (kept.front()->closed || kept.front()->idle_until <= now ||
          kept.size() >= limits.idle_for_address)) {
    dead.push_back(std::move(kept.front()));
    kept.pop_front();
  }
  kept.push_back(c);
  for (const auto& old : dead) {
    old->close();
  }
}

void
client::impl::drop(const detail::connection& c)
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
              [this](std::string_view data) {
                if (current && !skipping && current->events.on_body) {
                  const auto e = current;
                  e->events.on_body(data);
                }
                return !closed;
              },
              [this] { return on_end(); } } }
{
  ++pool->count;
  ++pool->opened;
}

void
connection::open(std::shared_ptr<exchange> e)
{
  current = e;
  e->on = weak_from_this();
  const auto peer = endpoint_from(address);
  if (!peer || pool->count > pool->limits.connections) {
    asio::post(pool->io, [self = shared_from_this()] {
      self->finish(exchange_outcome::not_sent);
    });
    return;
  }
  auto guard = std::make_shared<http::timer>(
    pool->io, std::chrono::milliseconds{ e->options.connect_timeout_ms });
  guard->async_wait([self = shared_from_this(), e](asio::error_code ec) {
    if (!ec && !e->sent && self->current == e) {
      self->finish(exchange_outcome::not_sent);
    }
  });
  socket.async_connect(
    *peer, [self = shared_from_this(), guard, e](asio::error_code ec) {
      guard->cancel();
      if (self->closed) {
        return;
      }
      if (ec) {
        self->finish(exchange_outcome::not_sent);
        return;
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
  e->on = weak_from_this();
  e->sent = true;
  must_not_arrive = e->options.reset_on_abandon;
  writing = true;
  asio::async_write(
    socket,
    asio::buffer(e->bytes),
    [self = shared_from_this(), e](asio::error_code ec, std::size_t) {
      self->writing = false;
      // A failed write shows in the read as well; an answer
      // may have come before.
      if (ec && self->current == e && !self->closed) {
        self->open_for_reuse = false;
      }
      e->bytes = {};
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
                      if (is_early(ec)) {
                        self->read();
                        return;
                      }
                      if (ec) {
                        self->on_read_error(ec);
                        return;
                      }
                      self->take({ buffer.data(), size });
                      if (!self->closed) {
                        self->read();
                      }
                    });
}

void
connection::take(std::string_view bytes)
{
  if (!current) {
    // Bytes without a request belong to nobody.
    close();
    return;
  }
  const auto used = parser.feed(bytes);
  if (closed) {
    return;
  }
  if (completed) {
    completed = false;
    parser.resume();
    // Bytes behind a whole answer belong to no request of ours.
    open_for_reuse = open_for_reuse && used == bytes.size();
    finish(exchange_outcome::complete);
  } else if (parser.state() == parse_state::malformed || used < bytes.size()) {
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
  // Only an orderly end completes an answer that has no length.
  if (ec == asio::error::eof && is_end_by_close && !skipping) {
    open_for_reuse = false;
    const auto self = shared_from_this();
    parser.feed_end();
    if (completed && !closed) {
      finish(exchange_outcome::complete);
      return;
    }
  }
  if (!closed) {
    finish(exchange_outcome::connection_lost);
  }
}

bool
connection::on_head(head&& h)
{
  constexpr int first_final_status = 200;
  skipping = false;
  if (!current) {
    return false;
  }
  if (h.status < first_final_status) {
    skipping = true;
    return true;
  }
  const auto& echo = current->options.echo;
  if (!echo.name.empty()) {
    const auto value = find(h.fields, echo.name);
    skipping = value && *value != echo.value;
  }
  if (skipping) {
    return true;
  }
  open_for_reuse = open_for_reuse && h.keep_alive && !h.ends_with_connection;
  is_end_by_close = h.ends_with_connection;
  idle_ms = idle_limit_of(h.fields, pool->limits.idle_ms);
  const auto e = current;
  if (e->events.on_head) {
    e->events.on_head(h);
  }
  return !closed;
}

bool
connection::on_end()
{
  if (skipping) {
    skipping = false;
    return true;
  }
  completed = true;
  return false;
}

void
connection::finish(exchange_outcome state)
{
  const auto self = shared_from_this();
  const auto e = std::move(current);
  current = nullptr;
  must_not_arrive = must_not_arrive && state != exchange_outcome::complete;
  // An answer that came before the request was out: the peer may still read
  // it, so the connection is of no further use.
  if (state == exchange_outcome::complete && open_for_reuse && !writing &&
      idle_ms > 0) {
    idle_until = now_ms() + idle_ms;
    pool->keep(self);
  } else {
    close();
  }
  if (e && !e->ended) {
    e->ended = true;
    e->timer->cancel();
    const auto on_end = std::move(e->events.on_end);
    e->events = {};
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
  // A request that was given up may lie in the kernel's buffer, held up by a
  // partition. An orderly close would still deliver it when that heals: an item
  // reached its engine three seconds after its batch had ended. A reset throws
  // it away.
  if (must_not_arrive) {
    socket.set_option(asio::socket_base::linger{ true, 0 }, ignored);
  }
  socket.close(ignored);
  --pool->count;
  pool->drop(*this);
}

} // namespace detail

void
pending::cancel()
{
  const auto e = std::move(exchange_);
  exchange_ = nullptr;
  if (!e || e->ended) {
    return;
  }
  e->ended = true;
  e->timer->cancel();
  if (const auto c = e->on.lock()) {
    c->current = nullptr;
    c->close();
  }
  // The events may own what called this.
  asio::post(e->timer->get_executor(), [e] { e->events = {}; });
}

bool
pending::is_sent() const
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
  for (auto& [address, kept] : idle) {
    for (auto& c : kept) {
      c->close();
    }
  }
}

pending
client::send(const std::string& address,
             const request& r,
             exchange_options options,
             exchange_events events)
{
  auto e = std::make_shared<detail::exchange>();
  e->events = std::move(events);
  e->bytes = encode(r);
  e->timer = std::make_unique<http::timer>(
    impl_->io, std::chrono::milliseconds{ options.timeout_ms });
  e->options = std::move(options);
  e->timer->async_wait([e](asio::error_code ec) {
    if (ec || e->ended) {
      return;
    }
    if (const auto c = e->on.lock()) {
      c->finish(e->sent ? exchange_outcome::timed_out
                        : exchange_outcome::not_sent);
    }
  });
  if (auto kept = impl_->take_idle(address)) {
    kept->start(e);
  } else {
    std::make_shared<detail::connection>(impl_, address)->open(e);
  }
  pending p;
  p.exchange_ = std::move(e);
  return p;
}

pending
client::fetch(const std::string& address,
              const request& r,
              exchange_options options,
              whole_handler done,
              std::size_t max_bytes)
{
  auto whole = std::make_shared<response>();
  exchange_events events;
  events.on_head = [whole](const head& h) {
    whole->status = h.status;
    whole->fields = h.fields;
  };
  events.on_body = [whole, max_bytes](std::string_view data) {
    if (whole->body.size() <= max_bytes) {
      whole->body += data;
    }
  };
  events.on_end =
    [whole, max_bytes, done = std::move(done)](exchange_outcome state) {
      const bool oversized = whole->body.size() > max_bytes;
      done(oversized ? exchange_outcome::malformed : state, std::move(*whole));
    };
  return send(address, r, std::move(options), std::move(events));
}

void
client::forget(const std::string& address)
{
  const auto found = impl_->idle.find(address);
  if (found == impl_->idle.end()) {
    return;
  }
  const auto kept = std::move(found->second);
  impl_->idle.erase(found);
  for (const auto& c : kept) {
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

std::uint64_t
client::opened() const
{
  return impl_->opened;
}

} // namespace cactusford::http
