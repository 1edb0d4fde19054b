#include "cactusford/engine/client.h"

#include "cactusford/http/blocking_exchange.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cactusford::engine {

namespace {

using http::exchange_outcome;
using nlohmann::json;

// Longest silence of an engine that generates, and the longest generation,
// beyond what any caller waits for.
constexpr std::uint64_t token_timeout_ms = 30000;
constexpr std::uint64_t generation_timeout_ms = 1000000;
constexpr std::uint64_t order_timeout_ms = 30000;
constexpr std::uint64_t read_timeout_ms = 2000;
constexpr std::size_t max_line = 1U << 20;
// Longest answer to an order or to a question for versions.
constexpr std::size_t max_control_bytes = 64U << 10;
constexpr int ok = 200;
constexpr int conflict = 409;
constexpr int too_many = 429;
constexpr int unavailable = 503;

// Splits the event stream into data lines and parses them as JSON.
class event_reader
{
public:
  // Returns false if a line is too long, not JSON, or refused by `on_event`.
  template<typename F>
  bool feed(std::string_view data, F on_event)
  {
    text_ += data;
    std::size_t at = 0;
    for (auto end = text_.find('\n', at); end != std::string::npos;
         end = text_.find('\n', at)) {
      const std::string_view line{ text_.data() + at, end - at };
      at = end + 1;
      if (!line.starts_with("data: ")) {
        continue;
      }
      const auto j = store::parse_message(line.substr(6));
      if (!j.is_object() || !on_event(j)) {
        return false;
      }
    }
    text_.erase(0, at);
    return text_.size() <= max_line;
  }

private:
  std::string text_;
};

http::request
post_json(const std::string& target, const json& body)
{
  return {
    "POST", target, { { "Content-Type", "application/json" } }, body.dump()
  };
}

} // namespace

client::client(std::string address)
  : address_{ std::move(address) }
{
}

generation_result
client::generate(const generation_request& g,
                 const std::atomic<bool>& cancelled,
                 const std::function<void(const token_chunk&)>& on_tokens)
{
  const json body{ { "request_id", g.request_id },
                   { "attempt", g.attempt },
                   { "model", g.model },
                   { "prompt", g.prompt },
                   { "max_tokens", g.max_tokens },
                   { "resume_from", g.resume_from },
                   { "resume_text", g.resume_text },
                   { "priority", g.priority },
                   { "stream", true } };
  generation_result end;
  event_reader reader;
  int status = 0;
  bool malformed = false;
  const auto on_event = [&](const json& j) {
    if (j.contains("finish_reason")) {
      const auto reason = store::try_decode(
        [&] { return store::string_field(j, "finish_reason"); });
      end.finish_reason = reason.value_or("");
      return reason.has_value();
    }
    const auto decoded = store::try_decode([&] {
      return token_chunk{ static_cast<std::uint32_t>(
                            store::uint_field_or(j, "count", 0)),
                          store::string_field_or(j, "text", ""),
                          store::uint_field_or(j, "weight_version", 0) };
    });
    if (decoded) {
      on_tokens(*decoded);
    }
    return decoded.has_value();
  };
  http::blocking_callbacks callbacks;
  callbacks.on_head = [&](const http::head& h) { status = h.status; };
  callbacks.on_body = [&](std::string_view data) {
    malformed = malformed || (status == ok && !reader.feed(data, on_event));
  };
  callbacks.is_abandoned = [&] { return cancelled || malformed; };
  http::blocking_options options;
  options.exchange.timeout_ms = generation_timeout_ms;
  options.max_silence_ms = token_timeout_ms;
  const auto outcome = http::run_exchange(address_,
                                          post_json("/v1/completions", body),
                                          std::move(options),
                                          std::move(callbacks));
  const bool is_complete = outcome == exchange_outcome::complete;
  if (cancelled) {
    end.error = { error_kind::cancelled, "the caller gave up" };
  } else if (outcome == exchange_outcome::not_sent) {
    end.error = { error_kind::no_backend, "the engine does not answer", 500 };
  } else if (is_complete && (status == too_many || status == unavailable)) {
    end.error = { error_kind::overloaded, "the engine refused it", 200 };
  } else if (is_complete && status != ok) {
    end.error = { error_kind::backend_failed,
                  "engine status " + std::to_string(status) };
  } else if (!is_complete || malformed || end.finish_reason.empty()) {
    end.error = { error_kind::stream_cut,
                  "the engine's stream ended as " +
                    std::string{ name_of(outcome) } };
  }
  return end;
}

result<service_answer>
client::call(const service_request& r, std::uint32_t deadline_ms)
{
  http::request request{
    r.method, r.path, { { "X-Request-Id", r.request_id } }, r.body
  };
  if (!r.content_type.empty()) {
    http::set(request.fields, "Content-Type", r.content_type);
  }
  http::blocking_options options;
  options.exchange.timeout_ms = deadline_ms;
  options.exchange.max_body_bytes = max_answer_bytes;
  auto answer =
    http::fetch_and_wait(address_, std::move(request), std::move(options));
  if (answer.outcome == exchange_outcome::not_sent) {
    return { {},
             { error_kind::no_backend, "the service does not answer", 500 } };
  }
  if (answer.outcome != exchange_outcome::complete) {
    return { {},
             { error_kind::outcome_unknown,
               "the service's answer is " +
                 std::string{ name_of(answer.outcome) } } };
  }
  const auto type = http::find(answer.value.fields, "Content-Type");
  return { { static_cast<std::uint32_t>(answer.value.status),
             std::string{ type.value_or("") },
             std::move(answer.value.body) },
           {} };
}

failure
client::submit_order(const order& o)
{
  const json body{ { "model", o.model },
                   { "version", o.version },
                   { "fence", o.fence } };
  const auto* path =
    o.kind == order_kind::stage ? "/orders/stage" : "/orders/swap";
  http::blocking_options options;
  options.exchange.timeout_ms = order_timeout_ms;
  options.exchange.max_body_bytes = max_control_bytes;
  const auto answer =
    http::fetch_and_wait(address_, post_json(path, body), std::move(options));
  if (answer.outcome != exchange_outcome::complete) {
    return { error_kind::outcome_unknown,
             "the answer to the order is " +
               std::string{ name_of(answer.outcome) } };
  }
  if (answer.value.status == conflict) {
    return { error_kind::fenced, "the engine has seen a newer order" };
  }
  if (answer.value.status != ok) {
    return { error_kind::backend_failed,
             "engine status " + std::to_string(answer.value.status) };
  }
  return {};
}

result<versions>
client::read_versions(const std::string& model)
{
  http::blocking_options options;
  options.exchange.timeout_ms = read_timeout_ms;
  options.exchange.max_body_bytes = max_control_bytes;
  const auto answer =
    http::fetch_and_wait(address_,
                         { "GET", "/versions?model=" + model, {}, "" },
                         std::move(options));
  if (answer.outcome != exchange_outcome::complete ||
      answer.value.status != ok) {
    return { {}, { error_kind::backend_failed, "versions cannot be read" } };
  }
  const auto j = store::parse_message(answer.value.body);
  const auto decoded = store::try_decode([&] {
    return versions{ store::uint_field_or(j, "active", 0),
                     store::uint_field_or(j, "staged", 0) };
  });
  if (!j.is_object() || !decoded) {
    return { {}, { error_kind::backend_failed, "versions cannot be read" } };
  }
  return { *decoded, {} };
}

} // namespace cactusford::engine
