// Messages between instances when one makes calls to the store for another.
// Pure functions.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/message.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace cactusford::store {

// HTTP path of the relay, on the port that instances use among themselves.
constexpr std::string_view relay_path = "/store";

// A call that may share its response with equivalent calls. The caller waits
// `timeout_ms` for the answer; the store may hold the request for `held_ms`.
struct joinable_call
{
  http::request request;
  std::uint64_t timeout_ms = 0;
  std::uint64_t held_ms = 0;
  // For a watch: what it watches, and from which revision. Watches of a kind
  // from different revisions are equivalent while nothing of it changes.
  std::string kind;
  std::uint64_t since = 0;

  friend bool operator==(const joinable_call&, const joinable_call&) = default;
};

// A call that one instance asks another to make.
struct relayed_call
{
  joinable_call inner;
  // May be joined with identical calls of other instances.
  bool shared = false;
  // The caller unpacks packed answers (`packing.h`).
  bool accepts_packed = false;
  // Number of relays passed so far, including the one that reads this.
  std::uint64_t hops = 1;
  // Piggybacked message; null if there is none.
  nlohmann::json message;

  friend bool operator==(const relayed_call&, const relayed_call&) = default;
};

http::request
encode(const relayed_call& c);

decoded<relayed_call>
relayed_call_from(std::string_view body);

// What a relay adds to the store's answer.
struct relay_metadata
{
  // When the relay received the call, and the time as of which the answer is
  // known to be valid, both on the relay's `boot_ms` clock.
  std::uint64_t asked_ms = 0;
  std::uint64_t confirmed_ms = 0;
  // Piggybacked message; null if there is none.
  nlohmann::json message;
};

// Builds the relay's response to a call that ended with `end`.
http::response
relayed_response(http::exchange_outcome end,
                 const http::response& r,
                 const relay_metadata& metadata);

// The response of a relay that is running but cannot reach the store.
http::response
store_unreachable_response();

bool
reports_store_unreachable(const http::response& r);

// Returns the message piggybacked on a relay's response; null if there is none.
nlohmann::json
piggybacked_message(const http::response& r);

// Returns the time as of which a relay's answer is known to be valid, on the
// clock of the instance that asked. The relay reports it relative to when it
// received the call, which was later than when the call was sent: a slow
// connection makes an answer look older, never newer.
std::uint64_t
relay_confirmed_ms(const http::response& r,
                   std::uint64_t asked_ms,
                   std::uint64_t now_ms);

// The same for an answer of the store itself. A watch that ends without changes
// has been held for its full wait time.
std::uint64_t
store_confirmed_ms(std::uint64_t asked_ms,
                   std::uint64_t held_ms,
                   bool has_changes,
                   std::uint64_t now_ms);

} // namespace cactusford::store
