#include "cactusford/link/link.h"

#include "cactusford/http/socket.h"
#include "cactusford/timeline/event.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstring>
#include <map>
#include <unordered_map>
#include <vector>

namespace cactusford::link {

namespace {

using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

// Each message is preceded by its length and the sender's hybrid logical clock,
// both in little-endian byte order.
constexpr std::size_t length_size = 4;
constexpr std::size_t clock_size = 8;
constexpr std::size_t header_size = length_size + clock_size;
constexpr std::int32_t window_size = 16 << 20;
constexpr std::size_t read_size = 16 << 10;
constexpr std::size_t write_batch = 256 << 10;

// Pause after a connection could not be accepted, in milliseconds.
constexpr std::uint64_t accept_retry_ms = 20;

std::atomic<std::uint64_t> sent_bytes{ 0 };
std::atomic<std::uint64_t> received_bytes{ 0 };

class category : public std::error_category
{
public:
  const char* name() const noexcept override { return "cactusford.link"; }
  std::string message(int value) const override
  {
    static constexpr std::array<const char*, 5> texts{
      "no error",
      "not connected: the request never left",
      "cut: the stream ended before its end",
      "protocol: the peer broke the framing or a limit",
      "slow_peer: the peer reads too slowly",
    };
    return texts.at(static_cast<std::size_t>(value));
  }
};

void
append_little_endian(std::string& out, std::uint64_t value, std::size_t bytes)
{
  for (std::size_t i = 0; i < bytes; ++i) {
    out += static_cast<char>((value >> (8 * i)) & 0xff);
  }
}

std::uint64_t
read_little_endian(const char* data, std::size_t bytes)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(data[i]) } << (8 * i);
  }
  return value;
}

nghttp2_nv
make_header(std::string_view name, std::string_view value)
{
  nghttp2_nv nv{};
  nv.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  nv.namelen = name.size();
  nv.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  nv.valuelen = value.size();
  nv.flags = NGHTTP2_NV_FLAG_NONE;
  return nv;
}

} // namespace

const std::error_category&
link_category() noexcept
{
  static const category instance;
  return instance;
}

std::error_code
make_error_code(link_error e) noexcept
{
  return { static_cast<int>(e), link_category() };
}

address
address_from(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  address a;
  const auto digits = text.substr(colon + 1);
  const auto* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, a.port);
  asio::error_code ec;
  asio::ip::make_address(std::string{ text.substr(0, colon) }, ec);
  if (result.ec != std::errc{} || result.ptr != end || ec) {
    return {};
  }
  a.ip = text.substr(0, colon);
  return a;
}

traffic
total_traffic() noexcept
{
  return { sent_bytes, received_bytes };
}

std::string
to_string(const address& a)
{
  return a.ip + ":" + std::to_string(a.port);
}

namespace detail {

class stream_impl : public stream
{
public:
  stream_impl(std::weak_ptr<connection> c, std::string path)
    : connection_{ std::move(c) }
    , path_{ std::move(path) }
  {
  }

  void send(std::string_view message) override;
  void finish() override;
  void cancel() override;
  const std::string& path() const override { return path_; }

  bool receive(const std::uint8_t* data, std::size_t size, const limits& l);
  void close(std::error_code ec);
  ssize_t read(std::uint8_t* buffer, std::size_t size, std::uint32_t* flags);

  std::int32_t id = -1;
  bool closed = false;
  bool is_remote_finished = false;
  // True while nghttp2 waits for more data to send on this stream.
  bool is_deferred = false;

private:
  void resume_sending();

  std::weak_ptr<connection> connection_;
  std::string path_;
  std::string input_;
  std::string output_;
  std::size_t output_read_ = 0;
  bool finished_ = false;
};

using impl_ptr = std::shared_ptr<stream_impl>;

class connection : public std::enable_shared_from_this<connection>
{
public:
  connection(asio::io_context& io, const limits& l, bool is_server)
    : socket{ io }
    , limits_{ l }
    , timer_{ io }
    , is_server_{ is_server }
  {
  }
  ~connection()
  {
    if (session_ != nullptr) {
      nghttp2_session_del(session_);
    }
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void start();
  void connect(const address& peer);
  void attach(const impl_ptr& s);
  void reset(std::int32_t id);
  void resume(std::int32_t id);
  void close(std::error_code ec);
  void drop_handlers();
  // Refuses new streams and closes the connection when the open ones have
  // ended.
  void drain();
  bool is_closed() const { return closed_; }
  bool is_draining() const { return draining_; }
  std::size_t stream_count() const
  {
    return streams_.size() + pending_streams_.size();
  }
  const limits& configured_limits() const { return limits_; }

  tcp::socket socket;
  accept_handler on_stream;
  std::function<void(connection*)> on_closed;

private:
  void submit(const impl_ptr& s);
  void setup_session();
  void read();
  void schedule_flush();
  void flush();
  void shutdown_if_drained();
  void tick();
  bool is_unresponsive() const;
  bool is_idle();
  impl_ptr find(std::int32_t id) const;
  void remove(std::int32_t id, std::error_code ec);

  static connection& from_user_data(void* user_data)
  {
    return *static_cast<connection*>(user_data);
  }
  static int on_header(nghttp2_session*,
                       const nghttp2_frame*,
                       const std::uint8_t*,
                       std::size_t,
                       const std::uint8_t*,
                       std::size_t,
                       std::uint8_t,
                       void*);
  static int on_frame(nghttp2_session*, const nghttp2_frame*, void*);
  static int on_data(nghttp2_session*,
                     std::uint8_t,
                     std::int32_t,
                     const std::uint8_t*,
                     std::size_t,
                     void*);
  static int on_stream_close(nghttp2_session*,
                             std::int32_t,
                             std::uint32_t,
                             void*);
  static ssize_t read_stream(nghttp2_session*,
                             std::int32_t,
                             std::uint8_t*,
                             std::size_t,
                             std::uint32_t*,
                             nghttp2_data_source*,
                             void*);

  limits limits_;
  asio::steady_timer timer_;
  bool is_server_;
  bool connected_ = false;
  bool closed_ = false;
  bool draining_ = false;
  bool writing_ = false;
  bool flush_posted_ = false;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, impl_ptr> streams_;
  std::vector<impl_ptr> pending_streams_;
  std::array<std::uint8_t, read_size> read_buffer_{};
  std::string write_buffer_;
  steady::time_point last_received_ = steady::now();
  steady::time_point last_used_ = steady::now();
};

void
stream_impl::send(std::string_view message)
{
  const auto c = connection_.lock();
  if (closed || finished_ || !c) {
    return;
  }
  if (output_.size() - output_read_ + message.size() >
      c->configured_limits().max_buffered) {
    // Otherwise a peer that reads too slowly would make the buffer grow without
    // limit. The stream ends with an error, never with a truncated message.
    c->reset(id);
    close(link_error::slow_peer);
    return;
  }
  append_little_endian(output_, message.size(), length_size);
  append_little_endian(
    output_, timeline::pack(timeline::process_clock().now()), clock_size);
  output_ += message;
  resume_sending();
}

void
stream_impl::finish()
{
  if (!finished_) {
    finished_ = true;
    resume_sending();
  }
}

void
stream_impl::cancel()
{
  on_message = nullptr;
  on_close = nullptr;
  if (const auto c = connection_.lock(); c && !closed) {
    closed = true;
    c->reset(id);
  }
  closed = true;
}

void
stream_impl::resume_sending()
{
  const auto c = connection_.lock();
  if (c && id >= 0 && !closed) {
    c->resume(id);
  }
}

ssize_t
stream_impl::read(std::uint8_t* buffer, std::size_t size, std::uint32_t* flags)
{
  const auto n = std::min(size, output_.size() - output_read_);
  std::memcpy(buffer, output_.data() + output_read_, n);
  output_read_ += n;
  if (output_read_ == output_.size()) {
    output_.clear();
    output_read_ = 0;
    if (finished_) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    }
  }
  if (n == 0) {
    is_deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(n);
}

bool
stream_impl::receive(const std::uint8_t* data,
                     std::size_t size,
                     const limits& l)
{
  input_.append(reinterpret_cast<const char*>(data), size);
  std::size_t at = 0;
  const auto self = shared_from_this();
  while (input_.size() - at >= header_size) {
    const auto length = read_little_endian(input_.data() + at, length_size);
    if (length > l.max_message) {
      return false;
    }
    if (input_.size() - at - header_size < length) {
      break;
    }
    const auto timestamp =
      read_little_endian(input_.data() + at + length_size, clock_size);
    timeline::process_clock().observe(timeline::unpack(timestamp));
    const std::string message =
      input_.substr(at + header_size, static_cast<std::size_t>(length));
    at += header_size + length;
    if (on_message) {
      // Copied, because the handler may replace or clear `on_message`.
      const auto handler = on_message;
      handler(message);
    }
  }
  input_.erase(0, at);
  return true;
}

void
stream_impl::close(std::error_code ec)
{
  if (closed && !on_close) {
    return;
  }
  closed = true;
  if (!ec && !input_.empty()) {
    ec = link_error::closed_early;
  }
  const auto self = shared_from_this();
  const auto handler = std::move(on_close);
  on_close = nullptr;
  on_message = nullptr;
  if (handler) {
    handler(ec);
  }
}

void
connection::setup_session()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         on_stream_close);
  if (is_server_) {
    nghttp2_session_server_new(&session_, callbacks, this);
  } else {
    nghttp2_session_client_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array settings{
    nghttp2_settings_entry{ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                            limits_.max_streams },
    nghttp2_settings_entry{ NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_size },
  };
  nghttp2_submit_settings(
    session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    session_, NGHTTP2_FLAG_NONE, 0, window_size);
}

void
connection::start()
{
  asio::error_code ignored;
  socket.set_option(tcp::no_delay{ true }, ignored);
  connected_ = true;
  setup_session();
  last_received_ = steady::now();
  read();
  for (auto& s : std::exchange(pending_streams_, {})) {
    submit(s);
  }
  tick();
  schedule_flush();
}

void
connection::connect(const address& peer)
{
  asio::error_code ec;
  const auto ip = asio::ip::make_address(peer.ip, ec);
  if (ec) {
    asio::post(socket.get_executor(), [self = shared_from_this()] {
      self->close(link_error::not_connected);
    });
    return;
  }
  tick();
  const tcp::endpoint remote{ ip, peer.port };
  http::open_outgoing(socket, remote);
  socket.async_connect(remote,
                       [self = shared_from_this()](asio::error_code failed) {
                         if (failed || self->closed_ ||
                             http::reset_if_self_connected(self->socket)) {
                           self->close(link_error::not_connected);
                         } else {
                           self->start();
                         }
                       });
}

void
connection::attach(const impl_ptr& s)
{
  if (connected_) {
    submit(s);
    schedule_flush();
  } else {
    pending_streams_.push_back(s);
  }
}

void
connection::submit(const impl_ptr& s)
{
  if (s->closed) {
    return;
  }
  const std::array headers{
    make_header(":method", "POST"),
    make_header(":scheme", "http"),
    make_header(":authority", "cactusford"),
    make_header(":path", s->path()),
  };
  nghttp2_data_provider provider{};
  provider.source.ptr = nullptr;
  provider.read_callback = read_stream;
  const auto id = nghttp2_submit_request(
    session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    s->close(link_error::not_connected);
    return;
  }
  s->id = id;
  streams_[id] = s;
}

impl_ptr
connection::find(std::int32_t id) const
{
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second;
}

void
connection::remove(std::int32_t id, std::error_code ec)
{
  const auto s = find(id);
  if (!s) {
    return;
  }
  streams_.erase(id);
  s->close(ec);
  if (draining_ && streams_.empty()) {
    schedule_flush();
  }
}

void
connection::reset(std::int32_t id)
{
  if (session_ != nullptr && id >= 0 && !closed_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    schedule_flush();
  }
}

void
connection::resume(std::int32_t id)
{
  const auto s = find(id);
  if (s && s->is_deferred && session_ != nullptr) {
    s->is_deferred = false;
    nghttp2_session_resume_data(session_, id);
  }
  schedule_flush();
}

void
connection::read()
{
  socket.async_read_some(
    asio::buffer(read_buffer_),
    [self = shared_from_this()](asio::error_code ec, std::size_t n) {
      if (ec || self->closed_) {
        self->close(link_error::closed_early);
        return;
      }
      self->last_received_ = steady::now();
      received_bytes += n;
      const auto used =
        nghttp2_session_mem_recv(self->session_, self->read_buffer_.data(), n);
      if (used < 0) {
        self->close(link_error::protocol);
        return;
      }
      self->schedule_flush();
      self->read();
    });
}

void
connection::schedule_flush()
{
  if (flush_posted_ || closed_ || !connected_) {
    return;
  }
  flush_posted_ = true;
  asio::post(socket.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->flush();
  });
}

void
connection::flush()
{
  if (writing_ || closed_ || session_ == nullptr) {
    return;
  }
  write_buffer_.clear();
  while (write_buffer_.size() < write_batch) {
    const std::uint8_t* data = nullptr;
    const auto n = nghttp2_session_mem_send(session_, &data);
    if (n < 0) {
      close(link_error::protocol);
      return;
    }
    if (n == 0) {
      break;
    }
    write_buffer_.append(reinterpret_cast<const char*>(data),
                         static_cast<std::size_t>(n));
  }
  if (write_buffer_.empty()) {
    shutdown_if_drained();
    return;
  }
  writing_ = true;
  asio::async_write(
    socket,
    asio::buffer(write_buffer_),
    [self = shared_from_this()](asio::error_code ec, std::size_t n) {
      self->writing_ = false;
      sent_bytes += n;
      if (ec) {
        self->close(link_error::closed_early);
      } else {
        self->flush();
      }
    });
}

// Sends pings and closes the connection if nothing has been received for
// `peer_timeout_ms`. Otherwise the streams of a peer that disappears without a
// FIN (an unplugged cable, SIGSTOP) would stay open forever.
void
connection::tick()
{
  timer_.expires_after(std::chrono::milliseconds{
    connected_ ? limits_.ping_interval_ms : limits_.connect_timeout_ms });
  timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (ec || self->closed_) {
      return;
    }
    if (!self->connected_) {
      self->close(link_error::not_connected);
    } else if (self->is_unresponsive() || self->is_idle()) {
      self->close(link_error::closed_early);
    } else {
      nghttp2_submit_ping(self->session_, NGHTTP2_FLAG_NONE, nullptr);
      self->schedule_flush();
      self->tick();
    }
  });
}

bool
connection::is_unresponsive() const
{
  return steady::now() - last_received_ >
         std::chrono::milliseconds{ limits_.peer_timeout_ms };
}

// Idle outgoing connections are closed. Otherwise single requests to many peers
// would leave a full mesh of connections, whose pings grow with the fleet.
bool
connection::is_idle()
{
  if (is_server_ || stream_count() > 0) {
    last_used_ = steady::now();
    return false;
  }
  return steady::now() - last_used_ >
         std::chrono::milliseconds{ limits_.idle_timeout_ms };
}

// GOAWAY contains the id of the last stream that this side processes. A request
// that was sent before the peer receives it ends there as not_connected,
// because it was never run.
void
connection::drain()
{
  if (draining_ || !connected_ || closed_) {
    return;
  }
  draining_ = true;
  nghttp2_submit_goaway(session_,
                        NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR,
                        nullptr,
                        0);
  schedule_flush();
}

// Closes only the sending direction. Closing the socket with unread input would
// send a reset, and the peer could lose a GOAWAY in transit.
void
connection::shutdown_if_drained()
{
  if (draining_ && streams_.empty() && pending_streams_.empty()) {
    asio::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

void
connection::drop_handlers()
{
  for (const auto& s : pending_streams_) {
    s->on_message = nullptr;
    s->on_close = nullptr;
  }
  for (const auto& [id, s] : streams_) {
    s->on_message = nullptr;
    s->on_close = nullptr;
  }
}

void
connection::close(std::error_code ec)
{
  if (closed_) {
    return;
  }
  closed_ = true;
  const auto self = shared_from_this();
  asio::error_code ignored;
  socket.close(ignored);
  timer_.cancel();
  for (auto& s : std::exchange(pending_streams_, {})) {
    s->close(link_error::not_connected);
  }
  for (auto& [id, s] : std::exchange(streams_, {})) {
    s->close(ec);
  }
  if (on_closed) {
    on_closed(this);
  }
}

int
connection::on_header(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t,
                      void* user_data)
{
  auto& self = from_user_data(user_data);
  const std::string_view key{ reinterpret_cast<const char*>(name), name_size };
  if (!self.is_server_ || key != ":path" || frame->hd.type != NGHTTP2_HEADERS) {
    return 0;
  }
  const auto id = frame->hd.stream_id;
  auto s = std::make_shared<stream_impl>(
    self.weak_from_this(),
    std::string{ reinterpret_cast<const char*>(value), value_size });
  s->id = id;
  self.streams_[id] = s;
  return 0;
}

int
connection::on_frame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* user_data)
{
  auto& self = from_user_data(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    self.draining_ = true;
    return 0;
  }
  const auto id = frame->hd.stream_id;
  const auto s = self.find(id);
  if (!s) {
    return 0;
  }
  if (self.is_server_ && frame->hd.type == NGHTTP2_HEADERS) {
    const std::array headers{ make_header(":status", "200") };
    nghttp2_data_provider provider{};
    provider.source.ptr = nullptr;
    provider.read_callback = read_stream;
    nghttp2_submit_response(
      session, id, headers.data(), headers.size(), &provider);
    if (self.on_stream) {
      self.on_stream(s);
    }
  }
  if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    s->is_remote_finished = true;
    if (!self.is_server_) {
      s->finish();
      s->close({});
    }
  }
  return 0;
}

int
connection::on_data(nghttp2_session* session,
                    std::uint8_t,
                    std::int32_t id,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user_data)
{
  auto& self = from_user_data(user_data);
  const auto s = self.find(id);
  if (s && !s->receive(data, size, self.limits_)) {
    nghttp2_submit_rst_stream(
      session, NGHTTP2_FLAG_NONE, id, NGHTTP2_PROTOCOL_ERROR);
    s->close(link_error::protocol);
  }
  return 0;
}

int
connection::on_stream_close(nghttp2_session*,
                            std::int32_t id,
                            std::uint32_t code,
                            void* user_data)
{
  auto& self = from_user_data(user_data);
  const auto s = self.find(id);
  const bool clean = s && code == NGHTTP2_NO_ERROR && s->is_remote_finished;
  const bool refused = code == NGHTTP2_REFUSED_STREAM;
  self.remove(id,
              clean     ? std::error_code{}
              : refused ? link_error::not_connected
                        : make_error_code(link_error::closed_early));
  return 0;
}

ssize_t
connection::read_stream(nghttp2_session*,
                        std::int32_t id,
                        std::uint8_t* buffer,
                        std::size_t size,
                        std::uint32_t* flags,
                        nghttp2_data_source*,
                        void* user_data)
{
  const auto s = from_user_data(user_data).find(id);
  if (!s) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    return 0;
  }
  return s->read(buffer, size, flags);
}

class endpoint_impl : public std::enable_shared_from_this<endpoint_impl>
{
  using outgoing_map = std::map<address, std::shared_ptr<connection>>;

public:
  endpoint_impl(asio::io_context& io, limits l)
    : io_{ io }
    , limits_{ l }
    , acceptor_{ io }
    , accept_timer_{ io }
  {
  }

  std::error_code listen(const address& local,
                         accept_handler handler,
                         address& bound)
  {
    asio::error_code ec;
    const auto ip = asio::ip::make_address(local.ip, ec);
    if (ec) {
      return ec;
    }
    const tcp::endpoint at{ ip, local.port };
    handler_ = std::move(handler);
    acceptor_.open(at.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(tcp::acceptor::reuse_address{ true }, ec);
    }
    if (!ec) {
      acceptor_.bind(at, ec);
    }
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      asio::error_code ignored;
      acceptor_.close(ignored);
      return ec;
    }
    bound = { local.ip, acceptor_.local_endpoint(ec).port() };
    accept();
    return ec;
  }

  stream_ptr open(const address& peer, const std::string& path)
  {
    auto& c = outgoing_[peer];
    if (!c || c->is_closed() || c->is_draining()) {
      c = std::make_shared<connection>(io_, limits_, false);
      c->on_closed = [weak = weak_from_this(), peer](connection* raw) {
        const auto self = weak.lock();
        const auto found =
          self ? self->outgoing_.find(peer) : outgoing_map::iterator{};
        if (self && found != self->outgoing_.end() &&
            found->second.get() == raw) {
          self->outgoing_.erase(found);
        }
      };
      c->connect(peer);
    }
    auto s = std::make_shared<stream_impl>(c, path);
    c->attach(s);
    return s;
  }

  void stop_listening()
  {
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [raw, c] : accepted_) {
      c->drain();
    }
  }

  // Calls no handler, as their owners may be gone by now.
  void close_all()
  {
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (auto& [raw, c] : std::exchange(accepted_, {})) {
      c->drop_handlers();
      c->close(link_error::closed_early);
    }
    for (auto& [peer, c] : std::exchange(outgoing_, {})) {
      c->drop_handlers();
      c->close(link_error::closed_early);
    }
  }

  std::size_t connections() const
  {
    return accepted_.size() + outgoing_.size();
  }

private:
  void accept()
  {
    auto c = std::make_shared<connection>(io_, limits_, true);
    acceptor_.async_accept(
      c->socket, [self = shared_from_this(), c](asio::error_code ec) {
        if (ec == asio::error::operation_aborted ||
            !self->acceptor_.is_open()) {
          return;
        }
        // Beyond the limit a connection is closed at once, so none of its
        // requests runs.
        if (ec) {
          self->accept_later();
          return;
        }
        if (self->accepted_.size() < self->limits_.max_connections) {
          self->add_accepted(c);
        }
        self->accept();
      });
  }

  // Without descriptors, accepting fails at once for as long as a caller waits.
  void accept_later()
  {
    accept_timer_.expires_after(std::chrono::milliseconds{ accept_retry_ms });
    accept_timer_.async_wait([self = shared_from_this()](asio::error_code ec) {
      if (!ec && self->acceptor_.is_open()) {
        self->accept();
      }
    });
  }

  void add_accepted(const std::shared_ptr<connection>& c)
  {
    accepted_[c.get()] = c;
    c->on_stream = handler_;
    c->on_closed = [weak = weak_from_this()](connection* raw) {
      if (const auto self = weak.lock()) {
        self->accepted_.erase(raw);
      }
    };
    c->start();
  }

  asio::io_context& io_;
  limits limits_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  accept_handler handler_;
  outgoing_map outgoing_;
  std::unordered_map<connection*, std::shared_ptr<connection>> accepted_;
};

} // namespace detail

endpoint::endpoint(asio::io_context& io, limits l)
  : impl_{ std::make_shared<detail::endpoint_impl>(io, l) }
{
}

endpoint::~endpoint()
{
  impl_->close_all();
}

std::error_code
endpoint::listen(const address& local, accept_handler handler, address& bound)
{
  return impl_->listen(local, std::move(handler), bound);
}

stream_ptr
endpoint::open(const address& peer, const std::string& path)
{
  return impl_->open(peer, path);
}

void
endpoint::stop_listening()
{
  impl_->stop_listening();
}

std::size_t
endpoint::connections() const
{
  return impl_->connections();
}

} // namespace cactusford::link
