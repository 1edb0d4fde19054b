// Message streams between processes of the project, over HTTP/2 (nghttp2) and
// Asio TCP. All functions and callbacks run on the thread of the io_context.
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
  // Nothing of the stream was processed by the peer.
  not_connected,
  // The connection or the stream ended before the peer finished it.
  closed_early,
  // The peer violated the framing or exceeded a limit.
  protocol,
  // The peer reads too slowly, and the buffer for it is full.
  slow_peer,
};

const std::error_category&
link_category() noexcept;

std::error_code
make_error_code(link_error e) noexcept;

struct limits
{
  // Bytes of one received message.
  std::size_t max_message = 8U << 20;
  // Bytes of one stream that wait to be sent to a slow peer.
  std::size_t max_buffered = 32U << 20;
  std::uint32_t max_streams = 4096;
  std::uint32_t max_connections = 4096;
  std::uint32_t connect_timeout_ms = 1000;
  std::uint32_t ping_interval_ms = 1000;
  std::uint32_t peer_timeout_ms = 3000;
  // An outgoing connection without streams is closed after this time.
  std::uint32_t idle_timeout_ms = 5000;
};

struct address
{
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const address&, const address&) = default;
};

// Parses "ip:port". Returns an empty ip if the text is malformed.
address
address_from(std::string_view text);

std::string
to_string(const address& a);

namespace detail {
class connection;
class endpoint_impl;
} // namespace detail

// A bidirectional stream of messages. Messages arrive complete and in order, or
// the stream ends with an error. `on_close` runs once; an empty error code
// means that the peer finished the stream.
class stream : public std::enable_shared_from_this<stream>
{
public:
  std::function<void(std::string_view)> on_message;
  std::function<void(std::error_code)> on_close;

  virtual ~stream() = default;
  virtual void send(std::string_view message) = 0;
  // Ends the stream in this direction. No more messages can be sent.
  virtual void finish() = 0;
  // Resets the stream in both directions. No callback follows.
  virtual void cancel() = 0;
  virtual const std::string& path() const = 0;
};

using stream_ptr = std::shared_ptr<stream>;
using accept_handler = std::function<void(stream_ptr)>;

// Bytes transferred over all links of this process since it started.
struct traffic
{
  std::uint64_t sent = 0;
  std::uint64_t received = 0;

  friend bool operator==(const traffic&, const traffic&) = default;
};

traffic
total_traffic() noexcept;

// Accepts connections, connects on demand and keeps one outgoing connection for
// each peer.
class endpoint
{
public:
  endpoint(asio::io_context& io, limits l);
  ~endpoint();

  // With port 0 the kernel chooses the port. `bound` receives the address in
  // use.
  std::error_code listen(const address& local,
                         accept_handler handler,
                         address& bound);

  stream_ptr open(const address& peer, const std::string& path);

  // Refuses new connections and streams. Accepted connections close when their
  // open streams have ended.
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
