// Asynchronous HTTP/1.1 client with a pool of idle connections. One thread.
#pragma once

#include "cactusford/http/message.h"
#include "cactusford/http/parser.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusford::http {

enum class exchange_outcome
{
  // The whole answer has arrived.
  complete,
  // No byte of the request has left this process.
  not_sent,
  // Sent; the connection ended before the answer was whole.
  connection_lost,
  timed_out,
  // Bytes that are no answer.
  malformed,
};

std::string_view
name_of(exchange_outcome e) noexcept;

struct exchange_events
{
  // An answer with status 1xx is left out.
  std::function<void(const head&)> on_head;
  std::function<void(std::string_view)> on_body;
  // Once, and not after `cancel`.
  std::function<void(exchange_outcome)> on_end;
};

struct exchange_options
{
  std::uint64_t timeout_ms = 10000;
  std::uint64_t connect_timeout_ms = 500;
  // An answer that carries this header with another value belongs to another
  // request and is dropped. Empty name: every answer counts.
  header echo;
  // What was sent must not arrive after it was given up: the connection is
  // reset then. Without it what a partition holds up may still arrive, as a
  // write to the store should: made again, it waits for the store to be found
  // again.
  bool reset_on_abandon = false;
};

// Bounds of the pool.
struct pool_limits
{
  // Connections kept for the next request, for each address.
  std::size_t idle_for_address = 16;
  // How long one is kept when the peer does not say, in milliseconds.
  std::uint64_t idle_ms = 3000;
  // All connections, busy ones included.
  std::size_t connections = 1500;
};

class client;

namespace detail {
struct connection;
struct exchange;
} // namespace detail

// A request on its way.
class pending
{
public:
  pending() = default;

  // Ends the request by closing its connection; no event follows.
  void cancel();

  // True when the first byte of the request has left this process.
  bool is_sent() const;

  explicit operator bool() const { return exchange_ != nullptr; }

private:
  friend class client;
  std::shared_ptr<detail::exchange> exchange_;
};

class client
{
public:
  client(asio::io_context& io, pool_limits limits = {});
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Never calls an event before it returns.
  pending send(const std::string& address,
               const request& r,
               exchange_options options,
               exchange_events events);

  // Sends and collects the whole answer, at most `max_bytes` of body.
  using whole_handler = std::function<void(exchange_outcome, response&&)>;
  pending fetch(const std::string& address,
                const request& r,
                exchange_options options,
                whole_handler done,
                std::size_t max_bytes = 16U << 20);

  // Drops the idle connections of an address.
  void forget(const std::string& address);

  // A connection to the address is open and free.
  bool has_idle(const std::string& address) const;

  // Connections opened since the start.
  std::uint64_t opened() const;

private:
  friend struct detail::connection;
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace cactusford::http
