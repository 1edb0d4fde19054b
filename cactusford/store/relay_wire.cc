#include "cactusford/store/relay_wire.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace cactusford::store {

namespace {

constexpr std::string_view store_unreachable_header = "Store-Away";

constexpr std::string_view message_header = "Piggyback";

// The time as of which a relay's answer is valid, in milliseconds after the
// relay received the call; negative if the answer was made earlier.
constexpr std::string_view confirmed_header = "Confirmed-After-Ms";

// Far longer than any wait; a larger number is malformed.
constexpr std::int64_t max_offset_ms = 3600000;

constexpr int unavailable = 503;
constexpr int no_answer = 504;

http::header
confirmed_after_header(const relay_metadata& metadata)
{
  const auto after = static_cast<std::int64_t>(metadata.confirmed_ms) -
                     static_cast<std::int64_t>(metadata.asked_ms);
  return { std::string{ confirmed_header }, std::to_string(after) };
}

} // namespace

http::request
encode(const relayed_call& c)
{
  const auto& inner = c.inner.request;
  const nlohmann::json body{ { "method", inner.method },
                             { "target", inner.target },
                             { "body", inner.body },
                             { "timeout_ms", c.inner.timeout_ms },
                             { "held_ms", c.inner.held_ms },
                             { "kind", c.inner.kind },
                             { "since", c.inner.since },
                             { "shared", c.shared },
                             { "accepts_packed", c.accepts_packed },
                             { "hops", c.hops },
                             { "sent_along", c.message } };
  http::request r;
  r.method = "POST";
  r.target = std::string{ relay_path };
  r.body = body.dump();
  return r;
}

decoded<relayed_call>
relayed_call_from(std::string_view body)
{
  const auto j = parse_message(body);
  return try_decode([&] {
    relayed_call c;
    c.inner.request.method = string_field(j, "method");
    c.inner.request.target = string_field(j, "target");
    c.inner.request.body = string_field(j, "body");
    c.inner.timeout_ms = uint_field(j, "timeout_ms");
    c.inner.held_ms = uint_field_or(j, "held_ms", 0);
    c.inner.kind = string_field_or(j, "kind", "");
    c.inner.since = uint_field_or(j, "since", 0);
    c.shared = bool_field(j, "shared");
    c.accepts_packed = bool_field_or(j, "accepts_packed", false);
    c.hops = uint_field(j, "hops");
    c.message = j.value("sent_along", nlohmann::json{});
    return c;
  });
}

http::response
store_unreachable_response()
{
  return { unavailable,
           { { std::string{ store_unreachable_header }, "1" } },
           "" };
}

http::response
relayed_response(http::exchange_outcome end,
                 const http::response& r,
                 const relay_metadata& metadata)
{
  if (end != http::exchange_outcome::complete) {
    // 503: the call was not executed. 504: it may have been executed.
    auto a = store_unreachable_response();
    a.status =
      end == http::exchange_outcome::not_sent ? unavailable : no_answer;
    return a;
  }
  http::headers fields{ confirmed_after_header(metadata) };
  if (!metadata.message.is_null()) {
    fields.push_back(
      { std::string{ message_header }, metadata.message.dump() });
  }
  if (const auto away = http::find(r.fields, store_unreachable_header)) {
    fields.push_back(
      { std::string{ store_unreachable_header }, std::string{ *away } });
  }
  return { r.status, std::move(fields), r.body };
}

bool
reports_store_unreachable(const http::response& r)
{
  return http::find(r.fields, store_unreachable_header).has_value();
}

nlohmann::json
piggybacked_message(const http::response& r)
{
  const auto text = http::find(r.fields, message_header);
  return text ? parse_message(*text) : nlohmann::json{};
}

std::uint64_t
relay_confirmed_ms(const http::response& r,
                   std::uint64_t asked_ms,
                   std::uint64_t now_ms)
{
  const auto text = http::find(r.fields, confirmed_header).value_or("0");
  std::int64_t after = 0;
  std::from_chars(text.data(), text.data() + text.size(), after);
  after = std::clamp(after, -max_offset_ms, max_offset_ms);
  const auto at = static_cast<std::int64_t>(asked_ms) + after;
  const auto now = static_cast<std::int64_t>(now_ms);
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(at, 0, now));
}

std::uint64_t
store_confirmed_ms(std::uint64_t asked_ms,
                   std::uint64_t held_ms,
                   bool has_changes,
                   std::uint64_t now_ms)
{
  return has_changes ? asked_ms : std::min(asked_ms + held_ms, now_ms);
}

} // namespace cactusford::store
