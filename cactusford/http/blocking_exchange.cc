#include "cactusford/http/blocking_exchange.h"

#include "cactusford/http/clock.h"
#include "cactusford/timeline/event.h"

#include <chrono>
#include <memory>
#include <optional>
#include <system_error>

namespace cactusford::http {

namespace {

constexpr std::chrono::milliseconds check_interval{ 20 };

// Returns null if the process has no descriptors left for an event loop.
std::unique_ptr<asio::io_context>
make_event_loop(const std::string& address)
{
  try {
    auto io = std::make_unique<asio::io_context>(1);
    // Asio opens the descriptors with the first object that waits.
    const http::timer first{ *io };
    return io;
  } catch (const std::system_error& e) {
    timeline::log(timeline::event{ "exchange_not_started" }
                    .with("address", address)
                    .with("why", e.what()));
    return nullptr;
  }
}

} // namespace

exchange_outcome
run_exchange(const std::string& address,
             request r,
             blocking_options options,
             blocking_callbacks callbacks)
{
  set(r.fields, "Host", address);
  set(r.fields, "Connection", "close");
  const auto io = make_event_loop(address);
  if (!io) {
    return exchange_outcome::not_sent;
  }
  client c{ *io };
  std::optional<exchange_outcome> outcome;
  exchange_callbacks events;
  auto last_ms = now_ms();
  events.on_head = [&](const head& h) {
    last_ms = now_ms();
    callbacks.on_head(h);
  };
  events.on_body = [&](std::string_view data) {
    last_ms = now_ms();
    callbacks.on_body(data);
  };
  events.on_end = [&](exchange_outcome e) { outcome = e; };
  auto pending =
    c.send(address, r, std::move(options.exchange), std::move(events));
  const auto is_abandoned = [&] {
    const bool is_silent = options.max_silence_ms > 0 &&
                           now_ms() >= last_ms + options.max_silence_ms;
    return is_silent || (callbacks.is_abandoned && callbacks.is_abandoned());
  };
  while (!outcome && !is_abandoned()) {
    io->run_one_for(check_interval);
  }
  if (!outcome) {
    pending.cancel();
    return exchange_outcome::timed_out;
  }
  return *outcome;
}

blocking_response
fetch_and_wait(const std::string& address, request r, blocking_options options)
{
  blocking_response result;
  blocking_callbacks callbacks;
  callbacks.on_head = [&](const head& h) {
    result.value.status = h.status;
    result.value.fields = h.fields;
  };
  callbacks.on_body = [&](std::string_view data) { result.value.body += data; };
  result.outcome = run_exchange(
    address, std::move(r), std::move(options), std::move(callbacks));
  return result;
}

} // namespace cactusford::http
