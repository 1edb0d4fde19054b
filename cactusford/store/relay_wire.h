// What instances say to each other when one makes calls to the store for
// another. Pure.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/message.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace cactusford::store {

// Path of the relay on the port that instances use among themselves.
constexpr std::string_view relay_path = "/store";

// A call that may be joined with equal ones, and how long it is waited for and
// held by the store.
struct held_call
{
  http::request request;
  std::uint64_t timeout_ms = 0;
  std::uint64_t held_ms = 0;

  friend bool operator==(const held_call&, const held_call&) = default;
};

// A call that one instance asks another to make.
struct relayed_call
{
  held_call inner;
  // It may be joined with those of other instances.
  bool shared = false;
  // Relays that it has passed, the one that reads it included.
  std::uint64_t hops = 1;
  // A message that rides along; null: none.
  nlohmann::json message;

  friend bool operator==(const relayed_call&, const relayed_call&) = default;
};

http::request
encode(const relayed_call& c);

decoded<relayed_call>
relayed_call_from(std::string_view body);

// What a relay adds to the store's answer.
struct relay_notes
{
  // When it was asked, and when the store stood as the answer says, on the
  // relay's `boot_ms`.
  std::uint64_t asked_ms = 0;
  std::uint64_t confirmed_ms = 0;
  // A message that rides along; null: none.
  nlohmann::json message;
};

// What a relay answers to a call that ended so.
http::response
relayed_answer(http::end_state end,
               const http::response& r,
               const relay_notes& notes);

// A relay that lives and does not reach the store.
http::response
away_answer();

bool
says_away(const http::response& r);

// The message that came with a relay's answer; null: none.
nlohmann::json
message_of(const http::response& r);

// When the store stood as a relay's answer says, on the clock of the one that
// asked. Relative to when the relay was asked, which was later than our asking:
// a slow way makes an answer look older, never newer.
std::uint64_t
confirmed_by_relay(const http::response& r,
                   std::uint64_t asked_ms,
                   std::uint64_t now_ms);

// The same for an answer of the store itself. A watch that ends without changes
// was held to its end.
std::uint64_t
confirmed_by_store(std::uint64_t asked_ms,
                   std::uint64_t held_ms,
                   bool has_news,
                   std::uint64_t now_ms);

} // namespace cactusford::store
