#include "cactusford/entry/http.h"

#include "cactusford/http/server.h"
#include "cactusford/store/fields.h"
#include "cactusford/timeline/event.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace cactusford::entry {

namespace {

using nlohmann::json;

constexpr std::size_t affinity_bytes = 512;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t max_tokens_limit = 1U << 20;
constexpr std::uint32_t overload_retry_ms = 1000;
constexpr std::size_t max_id_bytes = 128;

// A caller that is slower with a head, and one that keeps a connection without
// using it, lose the connection.
constexpr std::uint64_t head_ms = 10000;
constexpr std::uint64_t idle_ms = 5000;

constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view services_path = "/service/";

json
error_body(const failure& f)
{
  const auto* outcome = is_not_run(f.kind)                      ? "not_run"
                        : f.kind == error_kind::outcome_unknown ? "unknown"
                                                                : "not_whole";
  return { { "error",
             { { "kind", name_of(f.kind) },
               { "message", message_of(f) },
               { "outcome", outcome },
               { "retry_after_ms", f.retry_after_ms } } } };
}

http::response
json_response(int status, const json& body)
{
  return { status,
           { { "Content-Type", "application/json" } },
           body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" };
}

http::response
failure_response(const failure& f)
{
  auto r = json_response(http_status_of(f.kind), error_body(f));
  if (f.retry_after_ms > 0) {
    r.fields.push_back(
      { "Retry-After", std::to_string((f.retry_after_ms + 999) / 1000) });
  }
  return r;
}

// Adds the typed error to a refusal of the HTTP server, which knows only its
// status.
void
complete_refusal(http::response& r)
{
  const auto kind = r.status == 413 || r.status == 431 ? error_kind::too_large
                    : r.status == 503                  ? error_kind::overloaded
                                      : error_kind::bad_request;
  r.fields.push_back({ "Content-Type", "application/json" });
  r.body = error_body(
             { kind, "this port serves /v1/completions and /service/NAME/..." })
             .dump() +
           "\n";
}

void
log_request_end(const std::string& id, const failure& f, std::uint64_t tokens)
{
  timeline::log(timeline::event{ "request_ended" }
                  .with("request", id)
                  .with("error", name_of(f.kind))
                  .with("tokens", tokens));
}

std::uint64_t
number_from_header(const http::request& in,
                   std::string_view name,
                   std::uint64_t fallback)
{
  return http::find_number(in.fields, name).value_or(fallback);
}

std::string
header_of(const http::request& in, std::string_view name)
{
  return std::string{ http::find(in.fields, name).value_or("") };
}

// Returns the name of the service and the path behind it, or nothing if the
// path is not that of a service.
std::optional<std::pair<std::string, std::string>>
service_from(std::string_view path)
{
  if (!path.starts_with(services_path)) {
    return std::nullopt;
  }
  path.remove_prefix(services_path.size());
  const auto end = path.find('/');
  const auto name = path.substr(0, end);
  const bool is_name =
    !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-';
    });
  if (end == std::string_view::npos || !is_name) {
    return std::nullopt;
  }
  return std::pair{ std::string{ name }, std::string{ path.substr(end) } };
}

struct parsed_completion
{
  calls::call_request request;
  bool stream = false;
  std::string model;
};

result<parsed_completion>
parse_completion(const std::string& body)
{
  const auto invalid = [](const char* message) {
    return result<parsed_completion>{ {},
                                      { error_kind::bad_request, message } };
  };
  const auto j = store::parse_message(body);
  if (!j.is_object()) {
    return invalid("the body is not a JSON object");
  }
  const auto model = j.find("model");
  if (model == j.end() || !model->is_string()) {
    return invalid("field model: a string is needed");
  }
  const auto prompt = j.find("prompt");
  if (prompt == j.end() || !prompt->is_string()) {
    return invalid("field prompt: a string is needed");
  }
  const auto tokens = j.value("max_tokens", json(default_max_tokens));
  if (!tokens.is_number_unsigned() || tokens.get<std::uint64_t>() < 1 ||
      tokens.get<std::uint64_t>() > max_tokens_limit) {
    return invalid("field max_tokens: a number from 1 to 1048576 is needed");
  }
  const auto stream = j.value("stream", json(false));
  if (!stream.is_boolean()) {
    return invalid("field stream: true or false is needed");
  }
  parsed_completion p;
  p.model = *model;
  p.stream = stream;
  auto& work = *p.request.mutable_completion();
  work.set_model(p.model);
  work.set_prompt(prompt->get<std::string>());
  work.set_max_tokens(tokens.get<std::uint32_t>());
  return { std::move(p), {} };
}

json
chunk_body(const std::string& id,
           const std::string& model,
           const std::string& text,
           std::uint64_t version,
           const json& finish_reason)
{
  return { { "id", id },
           { "object", "text_completion" },
           { "model", model },
           { "choices",
             json::array({ { { "index", 0 },
                             { "text", text },
                             { "weight_version", version },
                             { "finish_reason", finish_reason } } }) } };
}

} // namespace

// Runs on the io thread.
struct http_server::impl
{
  process::daemon& daemon;
  settings::entry_settings settings;
  call_dispatcher& dispatcher;
  std::shared_ptr<http::request_memory> memory =
    std::make_shared<http::request_memory>();
  http::server server;
  bool leaving = false;

  impl(process::daemon& d, settings::entry_settings s, call_dispatcher& c)
    : daemon{ d }
    , settings{ std::move(s) }
    , dispatcher{ c }
    , server{ d.io,
              limits(),
              [this](http::call call) { serve(std::move(call)); },
              std::shared_ptr<http::buffer_budget>{ memory,
                                                    &memory->budget.answers },
              options() }
  {
    memory->budget.limits =
      http::memory_limits_for(settings.memory_mb, settings.request_memory_mb);
    memory->budget.answers.limit_bytes =
      http::buffer_limit_for(settings.memory_mb);
    daemon.on_scrape = [this] { export_metrics(); };
  }

  void export_metrics() const
  {
    const auto number = [](std::uint64_t value) {
      return static_cast<double>(value);
    };
    const auto& b = memory->budget;
    daemon.metrics.set("buffered_bytes", number(b.answers.bytes));
    daemon.metrics.set("request_bytes", number(b.request_bytes));
    daemon.metrics.set("request_bytes_peak", number(b.peak_request_bytes));
    daemon.metrics.set("requests_refused_memory", number(memory->refused));
    daemon.metrics.set("requests_given_up", number(memory->evicted));
    daemon.metrics.set("caller_connections", number(server.open_connections()));
    daemon.metrics.set("connections_replaced",
                       number(server.replaced_connections()));
    daemon.metrics.set("connections_refused",
                       number(server.refused_connections()));
  }

  http::server_limits limits() const
  {
    http::server_limits l;
    l.body_bytes = settings.max_body_bytes;
    l.head_ms = head_ms;
    l.idle_ms = idle_ms;
    return l;
  }

  http::server_options options() const
  {
    http::server_options o;
    o.memory = memory;
    o.connections = settings.max_connections;
    o.min_body_rate = settings.min_body_rate;
    o.complete_refusal = complete_refusal;
    return o;
  }

  void serve(http::call c)
  {
    const auto& in = c.request();
    const auto path = http::path_of(in.target);
    if (path == completions_path && in.method == "POST") {
      completion(c);
      return;
    }
    const bool is_service_method = in.method == "GET" || in.method == "POST" ||
                                   in.method == "PUT" || in.method == "DELETE";
    auto named = is_service_method ? service_from(path) : std::nullopt;
    if (named) {
      service(c, named->first, std::move(named->second));
      return;
    }
    c.respond(failure_response(
      { error_kind::not_found,
        "this port serves /v1/completions and /service/NAME/..." }));
  }

  // Returns the pool that has this name or whose declaration names the model.
  std::string pool_of(const std::string& model) const
  {
    const auto view = daemon.configuration.current();
    for (const auto& [pool, p] : *view->pools) {
      if (pool == model || p.value.model == model) {
        return pool;
      }
    }
    return {};
  }

  // Returns why a request is refused that no backend server needs to see, or no
  // error.
  failure refusal_of() const
  {
    if (leaving) {
      return { error_kind::leaving, settings.process.instance, 50 };
    }
    if (server.active_requests() > settings.max_callers) {
      return { error_kind::overloaded,
               "max_callers is " + std::to_string(settings.max_callers),
               overload_retry_ms };
    }
    if (!http::may_take_call(memory->budget.answers)) {
      return { error_kind::overloaded,
               "answers wait for callers who read slowly",
               overload_retry_ms };
    }
    return {};
  }

  static void respond(const http::call& c,
                      const std::string& id,
                      http::response&& r)
  {
    r.fields.push_back({ "X-Request-Id", id });
    c.respond(std::move(r));
  }

  void refuse(const http::call& c, const std::string& id, const failure& error)
  {
    daemon.metrics.add("refusals_total",
                       { { "kind", std::string{ name_of(error.kind) } } });
    log_request_end(id, error, 0);
    respond(c, id, failure_response(error));
  }

  std::string accept_request(const http::request& in, const char* class_name)
  {
    auto id = header_of(in, "X-Request-Id");
    if (id.empty() || id.size() > max_id_bytes) {
      id = process::generate_id();
    }
    timeline::log(timeline::event{ "request_accepted" }
                    .with("request", id)
                    .with("class", class_name)
                    .with("key", header_of(in, "Idempotency-Key")));
    daemon.metrics.add("requests_total", { { "class", class_name } });
    return id;
  }

  void completion(const http::call& c)
  {
    const auto& in = c.request();
    const auto id = accept_request(in, "live");
    if (const auto error = refusal_of()) {
      refuse(c, id, error);
      return;
    }
    auto parsed = parse_completion(in.body);
    if (!parsed) {
      refuse(c, id, parsed.error);
      return;
    }
    const auto pool = pool_of(parsed.value.model);
    if (pool.empty()) {
      refuse(c,
             id,
             { error_kind::not_found, "no pool serves " + parsed.value.model });
      return;
    }
    call_spec spec;
    spec.deadline_ms = static_cast<std::uint32_t>(
      number_from_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    const auto body = c.take_body();
    spec.request = std::move(parsed.value.request);
    spec.request.set_request_id(id);
    spec.request.set_pool(pool);
    spec.request.set_call_class(calls::live);
    spec.affinity = routing::hash_of(
      std::string_view{ spec.request.completion().prompt() }.substr(
        0, affinity_bytes));
    if (parsed.value.stream) {
      stream_completion(c, id, parsed.value.model, std::move(spec));
    } else {
      send_completion(c, id, parsed.value.model, std::move(spec));
    }
  }

  // Stops the backend server's work too when the caller disconnects.
  void cancel_on_disconnect(const http::call& c,
                            const std::string& id,
                            std::uint64_t handle)
  {
    c.on_disconnect([this, id, handle] {
      log_request_end(id, { error_kind::cancelled, {} }, 0);
      dispatcher.cancel(handle);
    });
  }

  void send_completion(const http::call& c,
                       const std::string& id,
                       const std::string& model,
                       call_spec&& spec)
  {
    struct answer
    {
      std::string text;
      std::uint64_t version = 0;
    };
    const auto a = std::make_shared<answer>();
    spec.on_tokens = [a](const calls::token_run& t) {
      a->text += t.text();
      a->version = t.weight_version();
    };
    spec.on_done = [c, id, model, a](const call_result& r) {
      log_request_end(id, r.error, r.tokens);
      if (r.error) {
        respond(c, id, failure_response(r.error));
        return;
      }
      auto body = chunk_body(id, model, a->text, a->version, "stop");
      body["usage"] = { { "completion_tokens", r.tokens } };
      respond(c, id, json_response(200, body));
    };
    cancel_on_disconnect(c, id, dispatcher.start(std::move(spec)));
  }

  // The first event decides the status: a request that never began gets a plain
  // error answer rather than a stream with an error in it.
  void stream_completion(const http::call& c,
                         const std::string& id,
                         const std::string& model,
                         call_spec&& spec)
  {
    struct progress
    {
      bool begun = false;
      std::uint64_t version = 0;
    };
    const auto p = std::make_shared<progress>();
    const auto begin = [c, id, p] {
      if (!p->begun) {
        p->begun = true;
        c.begin(
          200,
          { { "Content-Type", "text/event-stream" }, { "X-Request-Id", id } });
      }
    };
    spec.on_tokens = [c, id, model, p, begin](const calls::token_run& t) {
      begin();
      p->version = t.weight_version();
      write(c, chunk_body(id, model, t.text(), p->version, nullptr));
    };
    spec.on_done = [c, id, model, p, begin](const call_result& r) {
      log_request_end(id, r.error, r.tokens);
      if (!p->begun && r.error) {
        respond(c, id, failure_response(r.error));
        return;
      }
      begin();
      write(c,
            r.error ? error_body(r.error)
                    : chunk_body(id, model, "", p->version, "stop"));
      if (!r.error) {
        c.write("data: [DONE]\n\n");
      }
      c.finish();
    };
    cancel_on_disconnect(c, id, dispatcher.start(std::move(spec)));
  }

  static void write(const http::call& c, const json& event)
  {
    c.write(
      "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) +
      "\n\n");
  }

  // Serves "/service/NAME/...". Calls that must not run twice carry an
  // Idempotency-Key.
  void service(const http::call& c, const std::string& name, std::string path)
  {
    const auto& in = c.request();
    const auto key = header_of(in, "Idempotency-Key");
    const auto id = accept_request(in, key.empty() ? "check" : "booking");
    if (const auto error = refusal_of()) {
      refuse(c, id, error);
      return;
    }
    if (!daemon.configuration.current()->services->contains(name)) {
      refuse(c, id, { error_kind::not_found, "service " + name });
      return;
    }
    const auto issued = number_from_header(
      in, "Idempotency-Key-Issued-Ms", process::uuid_time_ms(key));
    if (!key.empty() && (issued == 0 || key.size() > max_id_bytes)) {
      refuse(c,
             id,
             { error_kind::bad_request,
               "Idempotency-Key needs its issue time: a UUID of version 7, or "
               "Idempotency-Key-Issued-Ms" });
      return;
    }
    call_spec spec;
    spec.request.set_request_id(id);
    spec.request.set_pool(name);
    spec.request.set_call_class(key.empty() ? calls::check : calls::booking);
    spec.request.set_idempotency_key(key);
    spec.request.set_key_issued_ms(issued);
    auto& work = *spec.request.mutable_service();
    work.set_method(in.method);
    work.set_path(std::move(path));
    work.set_content_type(header_of(in, "Content-Type"));
    spec.affinity = routing::hash_of(id);
    spec.deadline_ms = static_cast<std::uint32_t>(
      number_from_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    auto body = c.take_body();
    work.set_body(std::move(body.text));
    const auto answer = std::make_shared<calls::answer>();
    spec.on_answer = [answer](const calls::answer& a) { *answer = a; };
    spec.on_done =
      [c, id, answer, held = std::move(body.memory)](const call_result& r) {
        log_request_end(id, r.error, 0);
        respond(
          c, id, r.error ? failure_response(r.error) : response_from(*answer));
      };
    dispatcher.start(std::move(spec));
  }

  static http::response response_from(calls::answer& a)
  {
    http::response r;
    r.status = static_cast<int>(a.status());
    if (a.repeated()) {
      r.fields.push_back({ "Idempotent-Replayed", "true" });
    }
    r.fields.push_back({ "Content-Type", a.content_type() });
    r.body = std::move(*a.mutable_body());
    return r;
  }

  failure start_server()
  {
    return daemon.listen("http", settings.http, [this](std::uint16_t& port) {
      const auto ec = server.listen(settings.http);
      port = server.port();
      return ec;
    });
  }
};

http_server::http_server(process::daemon& d,
                         const settings::entry_settings& s,
                         call_dispatcher& dispatcher)
  : impl_{ std::make_unique<impl>(d, s, dispatcher) }
{
}

http_server::~http_server() = default;

failure
http_server::start()
{
  return impl_->start_server();
}

void
http_server::leave()
{
  impl_->leaving = true;
}

std::size_t
http_server::open_requests() const
{
  const auto& s = impl_->server;
  return s.active_requests() + (s.unsent_bytes() > 0 ? 1 : 0);
}

} // namespace cactusford::entry
