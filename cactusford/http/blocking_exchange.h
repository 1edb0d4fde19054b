// Exchanges that the calling thread waits for, for programs whose worker
// threads may block. Each uses a connection of its own and has the bounds of
// the client on bytes and time.
#pragma once

#include "cactusford/http/client.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cactusford::http {

struct blocking_options
{
  exchange_options exchange;
  // Longest time without a byte of the response. 0: only the exchange as a
  // whole is limited.
  std::uint64_t max_silence_ms = 0;
};

struct blocking_callbacks
{
  std::function<void(const head&)> on_head;
  std::function<void(std::string_view)> on_body;
  // Called between events and at least every 20 ms. The exchange is cancelled
  // and counts as timed out once it returns true. Optional.
  std::function<bool()> is_abandoned;
};

exchange_outcome
run_exchange(const std::string& address,
             request r,
             blocking_options options,
             blocking_callbacks callbacks);

struct blocking_response
{
  exchange_outcome outcome = exchange_outcome::not_sent;
  // Complete only if the outcome is.
  response value;
};

blocking_response
fetch_and_wait(const std::string& address, request r, blocking_options options);

} // namespace cactusford::http
