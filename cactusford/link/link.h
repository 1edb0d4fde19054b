// Streams of messages between our processes: HTTP/2 (nghttp2) over Asio TCP.
// All calls run on the thread of the io_context.
#pragma once

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace cactusford::link {

enum class link_error
{
  none = 0,
  // The stream never left this process.
  not_connected,
  // The connection or the stream ended early.
  cut,
  // The peer broke the framing or went over a limit.
  protocol,
  // The peer reads too slowly; its buffer is full.
  slow_peer,
};

const std::error_category&
link_category() noexcept;

std::error_code
make_error_code(link_error e) noexcept;

struct limits
{
  std::size_t max_message = 8U << 20;
  std::size_t max_buffered = 32U << 20;
  std::uint32_t max_streams = 4096;
  std::uint32_t max_connections = 4096;
  std::uint32_t connect_timeout_ms = 1000;
  std::uint32_t ping_interval_ms = 1000;
  std::uint32_t dead_after_ms = 3000;
  // A dialed connection without streams is closed after this time.
  std::uint32_t idle_after_ms = 5000;
};

struct address
{
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const address&, const address&) = default;
};

// "ip:port"; an empty ip when the text is neither.
address
address_from(std::string_view text);

std::string
to_string(const address& a);

namespace detail {
class connection;
class endpoint_impl;
} // namespace detail

// One stream. Messages arrive whole and in order, or the stream ends with an
// error. `on_close` runs once: an empty code says that the peer finished.
class stream : public std::enable_shared_from_this<stream>
{
public:
  std::function<void(std::string_view)> on_message;
  std::function<void(std::error_code)> on_close;

  virtual ~stream() = default;
  virtual void send(std::string_view message) = 0;
  // No more messages from this side.
  virtual void finish() = 0;
  // Ends the stream for both sides at once.
  virtual void cancel() = 0;
  virtual const std::string& path() const = 0;
};

using stream_ptr = std::shared_ptr<stream>;
using accept_handler = std::function<void(stream_ptr)>;

// Bytes of all links of this process since its start.
struct traffic
{
  std::uint64_t sent = 0;
  std::uint64_t received = 0;

  friend bool operator==(const traffic&, const traffic&) = default;
};

traffic
total_traffic() noexcept;

// Listens, dials on demand, and keeps one connection for each peer.
class endpoint
{
public:
  endpoint(asio::io_context& io, limits l);
  ~endpoint();

  // Port 0 lets the kernel choose; `bound` is what it chose.
  std::error_code listen(const address& local,
                         accept_handler handler,
                         address& bound);

  stream_ptr open(const address& peer, const std::string& path);

  // Refuses new connections and closes those that have no stream.
  void stop_listening();

  std::size_t connections() const;

private:
  std::shared_ptr<detail::endpoint_impl> impl_;
};

} // namespace cactusford::link

template<>
struct std::is_error_code_enum<cactusford::link::link_error> : std::true_type
{
};
