#include "cactusford/engine/client.h"

#include "cactusford/link/link.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace cactusford::engine {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{ 500 };
constexpr milliseconds token_timeout{ 30000 };
constexpr milliseconds order_timeout{ 30000 };
constexpr std::size_t max_line = 1U << 20;
constexpr int ok = 200;
constexpr int conflict = 409;
constexpr int too_many = 429;
constexpr int unavailable = 503;

bool
is_not_sent(const httplib::Result& r)
{
  return r.error() == httplib::Error::Connection ||
         r.error() == httplib::Error::ConnectionTimeout ||
         r.error() == httplib::Error::BindIPAddress;
}

// Splits the event stream into data lines and parses them as JSON.
class event_reader
{
public:
  // Returns false if a line is too long or not JSON.
  template<typename F>
  bool feed(const char* data, std::size_t size, F on_event)
  {
    text_.append(data, size);
    std::size_t at = 0;
    for (auto end = text_.find('\n', at); end != std::string::npos;
         end = text_.find('\n', at)) {
      const std::string_view line{ text_.data() + at, end - at };
      at = end + 1;
      if (!line.starts_with("data: ")) {
        continue;
      }
      const auto j = json::parse(line.substr(6), nullptr, false);
      if (j.is_discarded()) {
        return false;
      }
      on_event(j);
    }
    text_.erase(0, at);
    return text_.size() <= max_line;
  }

private:
  std::string text_;
};

} // namespace

struct client::state
{
  std::string ip;
  int port = 0;

  httplib::Client connect(milliseconds timeout) const
  {
    httplib::Client c{ ip, port };
    c.set_connection_timeout(connect_timeout);
    c.set_read_timeout(timeout);
    c.set_write_timeout(timeout);
    c.set_tcp_nodelay(true);
    return c;
  }
};

client::client(const std::string& address)
  : state_{ std::make_unique<state>() }
{
  const auto a = link::address_from(address);
  state_->ip = a.ip;
  state_->port = a.port;
}

client::~client() = default;

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
      end.finish_reason = j.value("finish_reason", std::string{});
      return;
    }
    on_tokens({ j.value("count", 0U),
                j.value("text", std::string{}),
                j.value("weight_version", std::uint64_t{ 0 }) });
  };
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = body.dump();
  request.set_header("Content-Type", "application/json");
  request.response_handler = [&](const httplib::Response& r) {
    status = r.status;
    return true;
  };
  request.content_receiver =
    [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
      if (cancelled) {
        return false;
      }
      malformed = status == ok && !reader.feed(data, size, on_event);
      return !malformed;
    };
  auto c = state_->connect(token_timeout);
  const auto response = c.send(request);
  if (cancelled) {
    end.error = { error_kind::cancelled, "the caller gave up" };
  } else if (!response && is_not_sent(response)) {
    end.error = { error_kind::no_backend, "the engine does not answer", 500 };
  } else if (response && (status == too_many || status == unavailable)) {
    end.error = { error_kind::overloaded, "the engine refused it", 200 };
  } else if (response && status != ok) {
    end.error = { error_kind::backend_failed,
                  "engine status " + std::to_string(status) };
  } else if (!response || malformed || end.finish_reason.empty()) {
    end.error = { error_kind::stream_cut, "the engine's stream was cut" };
  }
  return end;
}

result<service_answer>
client::call(const service_request& r, std::uint32_t deadline_ms)
{
  auto c = state_->connect(milliseconds{ deadline_ms });
  httplib::Request request;
  request.method = r.method;
  request.path = r.path;
  request.body = r.body;
  request.set_header("X-Request-Id", r.request_id);
  if (!r.content_type.empty()) {
    request.set_header("Content-Type", r.content_type);
  }
  const auto response = c.send(request);
  if (!response && is_not_sent(response)) {
    return { {},
             { error_kind::no_backend, "the service does not answer", 500 } };
  }
  if (!response) {
    return { {},
             { error_kind::outcome_unknown, "the service's answer is lost" } };
  }
  return { { static_cast<std::uint32_t>(response->status),
             response->get_header_value("Content-Type"),
             response->body },
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
  const auto response =
    state_->connect(order_timeout).Post(path, body.dump(), "application/json");
  if (!response) {
    return { error_kind::outcome_unknown, "the answer to the order is lost" };
  }
  if (response->status == conflict) {
    return { error_kind::fenced, "the engine has seen a newer order" };
  }
  if (response->status != ok) {
    return { error_kind::backend_failed,
             "engine status " + std::to_string(response->status) };
  }
  return {};
}

result<versions>
client::read_versions(const std::string& model)
{
  const auto path = "/versions?model=" + model;
  const auto response = state_->connect(milliseconds{ 2000 }).Get(path);
  if (!response || response->status != ok) {
    return { {}, { error_kind::backend_failed, "versions cannot be read" } };
  }
  const auto j = json::parse(response->body, nullptr, false);
  if (j.is_discarded()) {
    return { {}, { error_kind::backend_failed, "versions are not JSON" } };
  }
  return { { j.value("active", std::uint64_t{ 0 }),
             j.value("staged", std::uint64_t{ 0 }) },
           {} };
}

} // namespace cactusford::engine
