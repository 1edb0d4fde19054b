#include "cactusford/http/server_connection.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cactusford::http::detail {

namespace {

constexpr std::size_t read_size = 16U << 10;

constexpr std::size_t write_size = 64U << 10;

// Bytes of a streamed response that may wait for a slow reader before its
// connection is closed.
constexpr std::size_t unsent_limit = 8U << 20;

// A connection with more bytes to be written starts no further pipelined
// request, so a caller that does not read holds this much and one answer.
constexpr std::size_t pipeline_limit = 16U << 10;

// Pipelined requests that a connection has answered at once before the others
// get their turn.
constexpr std::size_t requests_per_turn = 2;

// Buffers above this capacity are freed once written. Kept, two answers of 16
// MB would stay in memory for as long as their connection is open. Assigning an
// empty string keeps the capacity.
constexpr std::size_t kept_capacity = 64U << 10;

// A handler copies the fields twice: to change them for the next server, and to
// write them.
constexpr std::uint64_t copies_of_head = 3;

// A body without a length doubles its memory up to here. Then it gets the
// address space for the longest body at once, as copying a long one needs its
// size again.
constexpr std::size_t growing_body_bytes = 4U << 20;

// Memory that a body without a length takes from the budget at a time.
constexpr std::size_t body_step_bytes = 16U << 10;

// While memory is short, a request that arrives more slowly than this is given
// up for others once it is later by `eviction_grace_ms`.
constexpr std::uint64_t eviction_rate = 1U << 20;
constexpr std::uint64_t eviction_grace_ms = 250;

// A caller that has read nothing of its answer for this long gives way to new
// ones.
constexpr std::uint64_t unread_answer_ms = 500;

// Incomplete requests that are given up for one other request.
constexpr int max_evictions = 8;

constexpr const char* retry_after_s = "0.5";

// How long a connection stays open after a refusal, in milliseconds.
constexpr std::uint64_t linger_ms = 300;

// Memory that a handler keeps after it has taken the body of a request.
struct held_memory
{
  explicit held_memory(std::shared_ptr<request_memory> m)
    : from{ std::move(m) }
  {
  }
  ~held_memory() { resize(from->budget, held, 0); }
  held_memory(const held_memory&) = delete;
  held_memory& operator=(const held_memory&) = delete;

  std::shared_ptr<request_memory> from;
  request_hold held;
};

std::array<char, read_size>&
read_buffer()
{
  static thread_local std::array<char, read_size> buffer;
  return buffer;
}

} // namespace

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
  newcomer = owner->newcomers.insert(owner->newcomers.end(), this);
}

server_connection::~server_connection()
{
  release_request();
  owner->open_connections.erase(this);
  if (is_newcomer) {
    owner->newcomers.erase(newcomer);
  }
}

// While a request is being answered, one more read is made ahead, so that a
// caller that disconnects is noticed. What follows waits in the kernel, whose
// buffer is bounded.
void
server_connection::read()
{
  if (reading || processing || closed || close_when_sent ||
      !read_ahead.empty()) {
    return;
  }
  reading = true;
  socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [self = shared_from_this()](asio::error_code ec) {
                      self->reading = false;
                      self->on_readable(ec);
                    });
}

void
server_connection::on_readable(asio::error_code ec)
{
  if (closed) {
    return;
  }
  auto& buffer = read_buffer();
  std::size_t size = 0;
  if (!ec) {
    size = socket.read_some(asio::buffer(buffer), ec);
  }
  if (is_would_block(ec)) {
    read();
    return;
  }
  if (ec) {
    disconnect();
    return;
  }
  if (!parser.inside_message()) {
    waiting_since_ms = now_ms();
    started_ms = waiting_since_ms;
  }
  on_input({ buffer.data(), size });
  read();
}

void
server_connection::on_input(std::string_view bytes)
{
  bytes.remove_prefix(consume(bytes));
  if (closed || close_when_sent || bytes.empty()) {
    return;
  }
  if (!take_ahead(bytes.size())) {
    disconnect();
    return;
  }
  read_ahead.assign(bytes);
}

bool
server_connection::may_parse() const
{
  return !closed && !answering && !close_when_sent &&
         sending.size() + unsent.size() <= pipeline_limit;
}

// Parses bytes and starts the requests that are complete. Returns how many were
// consumed. A handler that answers at once returns here, so that a long row of
// pipelined requests does not nest.
std::size_t
server_connection::consume(std::string_view bytes)
{
  const auto self = shared_from_this();
  processing = true;
  std::size_t consumed = 0;
  std::size_t started = 0;
  while (consumed < bytes.size() && may_parse() &&
         started < requests_per_turn) {
    consumed += parser.feed(bytes.substr(consumed));
    if (closed || close_when_sent) {
      break;
    }
    if (parser.state() == parse_state::malformed) {
      refuse(400);
      break;
    }
    if (parser.head_bytes() > owner->limits.head_bytes) {
      refuse(431);
      break;
    }
    if (request_complete) {
      request_complete = false;
      ++started;
      unparsed_bytes = bytes.size() - consumed;
      dispatch();
      unparsed_bytes = 0;
      started_ms = received_ms;
    } else if (parser.inside_message() && !hold_incomplete()) {
      refuse(503);
      break;
    }
  }
  processing = false;
  if (started == requests_per_turn && may_parse()) {
    asio::post(owner->io, [self] { self->process_input(); });
  }
  return consumed;
}

// Goes on with the bytes that were read ahead.
void
server_connection::process_input()
{
  if (processing || read_ahead.empty() || !may_parse()) {
    return;
  }
  auto bytes = std::exchange(read_ahead, {});
  started_ms = now_ms();
  bytes.erase(0, consume(bytes));
  if (!closed && !close_when_sent) {
    read_ahead = std::move(bytes);
  }
  take_ahead(read_ahead.size());
  read();
}

bool
server_connection::on_head(head&& h)
{
  std::exchange(request, {});
  request.method = std::move(h.method);
  request.target = std::move(h.target);
  request.fields = std::move(h.fields);
  keep_alive = h.keep_alive;
  body_bytes = 0;
  std::size_t size = request.target.size();
  // A colon, a blank or none, and the end of the line.
  constexpr std::size_t around_field = 3;
  for (const auto& f : request.fields) {
    size += f.name.size() + f.value.size() + around_field;
  }
  if (size > owner->limits.head_bytes) {
    refuse(431);
    return false;
  }
  head_memory = memory_of(request.fields) + request.target.size();
  const auto length = http::find_number(request.fields, "Content-Length");
  if (length && *length > owner->limits.body_bytes) {
    refuse(413);
    return false;
  }
  const bool is_reserved = length && owner->options.keeps_bodies;
  if (!hold(copies_of_head * head_memory + (is_reserved ? *length : 0))) {
    const auto& memory = owner->options.memory;
    const bool can_fit = can_ever_fit(
      memory->budget.limits, copies_of_head * head_memory + length.value_or(0));
    refuse(can_fit ? 503 : 413);
    return false;
  }
  if (is_reserved) {
    request.body.reserve(*length);
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
  body_bytes += data.size();
  if (body_bytes > owner->limits.body_bytes) {
    refuse(413);
    return false;
  }
  if (!owner->options.keeps_bodies) {
    return true;
  }
  if (!grow_body(request.body.size() + data.size())) {
    refuse(503);
    return false;
  }
  request.body += data;
  return true;
}

// Makes room for a body of unknown length.
bool
server_connection::grow_body(std::size_t size)
{
  auto& body = request.body;
  if (size <= body.capacity()) {
    return true;
  }
  auto capacity = std::max(size, 2 * body.capacity());
  if (capacity > growing_body_bytes) {
    capacity = std::max(size, owner->limits.body_bytes);
  }
  // The old memory is in use until the body has been copied.
  const auto taken = std::min(capacity, growing_body_bytes) + body.capacity();
  if (!hold(copies_of_head * head_memory + taken)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

// Address space beyond what has arrived takes no memory.
std::uint64_t
server_connection::body_memory() const
{
  const auto& body = request.body;
  if (body.capacity() <= growing_body_bytes) {
    return body.capacity();
  }
  const auto length = http::find_number(request.fields, "Content-Length");
  return length ? *length
                : std::max(growing_body_bytes, body.size() + body_step_bytes);
}

void
server_connection::dispatch()
{
  parser.resume();
  if (is_newcomer) {
    owner->newcomers.erase(newcomer);
    is_newcomer = false;
  }
  if (owner->options.memory) {
    owner->options.memory->receiving.erase(this);
  }
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

// Takes memory for the current request, at the expense of slower ones if there
// is none left.
bool
server_connection::hold(std::uint64_t bytes)
{
  const auto& memory = owner->options.memory;
  if (!memory) {
    return true;
  }
  for (int i = 0; !resize(memory->budget, held, bytes); ++i) {
    if (i == max_evictions || !evict_slowest(*memory, *this)) {
      return false;
    }
  }
  return true;
}

// The same for what has arrived of a request; from now on it may be given up
// for others.
bool
server_connection::hold_incomplete()
{
  const auto& memory = owner->options.memory;
  if (memory) {
    memory->receiving.insert(this);
  }
  return hold(copies_of_head * (head_memory + parser.head_memory()) +
              body_memory());
}

// Takes memory for bytes read ahead. What follows them is not read, so it fills
// the buffer in the kernel too.
bool
server_connection::take_ahead(std::size_t bytes)
{
  const auto& memory = owner->options.memory;
  const auto unread = bytes > 0 ? owner->options.unread_bytes : 0;
  return !memory || resize(memory->budget, held_ahead, bytes + unread);
}

void
server_connection::release_request()
{
  // Assigning an empty request would keep the capacity of its body.
  std::exchange(request, {});
  head_memory = 0;
  body_bytes = 0;
  const auto& memory = owner->options.memory;
  if (memory) {
    memory->receiving.erase(this);
    resize(memory->budget, held, 0);
  }
}

taken_body
server_connection::take_body()
{
  taken_body taken;
  const auto bytes = body_memory();
  taken.text = std::exchange(request.body, {});
  if (const auto& memory = owner->options.memory; memory && bytes > 0) {
    auto kept = std::make_shared<held_memory>(memory);
    // What the connection gives up is free for the new owner.
    resize(memory->budget, held, held.bytes - std::min(held.bytes, bytes));
    resize(memory->budget, kept->held, bytes);
    taken.memory = std::move(kept);
  }
  return taken;
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
                      .with("body_bytes", body_bytes)
                      .with("held_bytes", held.bytes));
  close_when_sent = true;
  response r;
  r.status = status;
  r.fields.push_back({ "Connection", "close" });
  constexpr int unavailable = 503;
  if (status == unavailable) {
    r.fields.push_back({ "Retry-After", retry_after_s });
    if (owner->options.memory) {
      ++owner->options.memory->refused;
    }
  }
  if (owner->options.complete_refusal) {
    owner->options.complete_refusal(r);
  }
  release_request();
  is_refused = true;
  send(encode(r));
}

// While the server drains, requests that have been read already are answered
// before the connection is closed.
bool
server_connection::is_last_answer() const
{
  const bool has_more = !read_ahead.empty() || unparsed_bytes > 0;
  return !keep_alive || (owner->draining && !has_more);
}

// Answers the open request in place of its handler.
void
server_connection::answer(response r)
{
  if (is_last_answer()) {
    close_when_sent = true;
    set(r.fields, "Connection", "close");
  }
  send(encode(r));
  end_answer();
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
  has_output = true;
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
  } else if (is_refused || (close_when_sent && owner->draining)) {
    // A caller may have sent another request before it read the answer.
    linger();
    return;
  } else if (close_when_sent) {
    close();
    return;
  }
  process_input();
  read();
}

// Lets a caller that is still sending read its refusal. Closing a connection
// with unread bytes would reset it, and the caller would not learn that its
// request has not run.
void
server_connection::linger()
{
  asio::error_code ignored;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  is_lingering = true;
  waiting_since_ms = now_ms();
}

// A caller that acknowledges what it gets is alive, however slowly it reads. It
// has the time of an idle one while memory for answers is ample. A caller that
// acknowledges nothing is dead, and the usual limit applies.
void
server_connection::check_output()
{
  if (!has_output || closed) {
    return;
  }
  const auto state = output_state_of(socket);
  has_output = state == output_state::unacknowledged ||
               state == output_state::held_by_peer;
  const bool may_wait =
    state == output_state::held_by_peer && is_ample(*owner->buffers);
  if (may_wait != is_patient) {
    is_patient = may_wait;
    set_unacknowledged_limit(
      socket, may_wait ? owner->limits.idle_ms : unacknowledged_limit_ms);
  }
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
  release_request();
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
  release_request();
  std::exchange(read_ahead, {});
  take_ahead(0);
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

std::uint64_t
server_connection::overdue_ms(std::uint64_t now,
                              std::uint64_t bytes_per_s) const
{
  constexpr std::uint64_t ms_per_second = 1000;
  const auto allowed =
    bytes_per_s == 0 ? 0 : body_bytes * ms_per_second / bytes_per_s;
  const auto passed = now - started_ms;
  return passed > allowed ? passed - allowed : 0;
}

bool
server_connection::is_expired(std::uint64_t now) const
{
  if (answering) {
    return false;
  }
  const auto& limits = owner->limits;
  if (is_lingering) {
    return now - waiting_since_ms > linger_ms;
  }
  if (parser.inside_message() && !close_when_sent) {
    return overdue_ms(now, owner->options.min_body_rate) > limits.head_ms;
  }
  const auto limit = read_ahead.empty() ? limits.idle_ms : limits.head_ms;
  return now - waiting_since_ms > limit;
}

bool
server_connection::is_replaceable(std::uint64_t max_overdue_ms) const
{
  if (answering) {
    return false;
  }
  if (!sending.empty()) {
    return now_ms() - waiting_since_ms > unread_answer_ms;
  }
  const auto now = now_ms();
  const auto late_ms = parser.inside_message() ? overdue_ms(now, eviction_rate)
                                               : now - waiting_since_ms;
  return is_lingering || late_ms >= max_overdue_ms;
}

bool
evict_slowest(request_memory& m, const server_connection& c)
{
  const auto now = now_ms();
  server_connection* slowest = nullptr;
  std::uint64_t most_overdue = eviction_grace_ms;
  for (auto* other : m.receiving) {
    const auto overdue = other->overdue_ms(now, eviction_rate);
    if (other != &c && overdue > most_overdue) {
      slowest = other;
      most_overdue = overdue;
    }
  }
  if (slowest == nullptr) {
    return false;
  }
  ++m.evicted;
  constexpr int timed_out = 408;
  slowest->refuse(timed_out);
  return true;
}

} // namespace cactusford::http::detail
