#include "cactusford/entry/http.h"

#include "cactusford/timeline/event.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

namespace cactusford::entry {

namespace {

using nlohmann::json;

constexpr std::size_t affinity_bytes = 512;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t max_tokens_limit = 1U << 20;
constexpr std::uint32_t overload_retry_ms = 1000;

// An event of a call, passed from the io thread to the thread of the caller's
// connection.
struct call_event
{
  enum class kind
  {
    tokens,
    answer,
    done,
  };
  kind type = kind::done;
  calls::token_run tokens;
  calls::answer answer;
  call_result result;
};

// The queue needs no limit of its own: the sidecar sends no more than
// max_tokens tokens.
class event_queue
{
public:
  void push(call_event event)
  {
    {
      const std::lock_guard lock{ mutex_ };
      events_.push_back(std::move(event));
    }
    not_empty_.notify_one();
  }

  call_event pop()
  {
    std::unique_lock lock{ mutex_ };
    not_empty_.wait(lock, [this] { return !events_.empty(); });
    auto event = std::move(events_.front());
    events_.pop_front();
    return event;
  }

private:
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<call_event> events_;
};

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

void
answer_failure(httplib::Response& out, const failure& f)
{
  out.status = http_status_of(f.kind);
  if (f.retry_after_ms > 0) {
    out.set_header("Retry-After",
                   std::to_string((f.retry_after_ms + 999) / 1000));
  }
  out.set_content(error_body(f).dump() + "\n", "application/json");
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
number_from_header(const httplib::Request& in,
                   const char* name,
                   std::uint64_t fallback)
{
  const auto text = in.get_header_value(name);
  std::uint64_t value = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  return text.empty() || r.ec != std::errc{} ? fallback : value;
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
  const auto j = json::parse(body, nullptr, false);
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

struct http_server::impl
{
  process::daemon& daemon;
  settings::entry_settings settings;
  call_dispatcher& dispatcher;
  httplib::Server server;
  std::thread thread;
  std::atomic<std::size_t> open_count{ 0 };
  std::atomic<bool> leaving{ false };

  impl(process::daemon& d, settings::entry_settings s, call_dispatcher& c)
    : daemon{ d }
    , settings{ std::move(s) }
    , dispatcher{ c }
  {
  }

  // Counts a request as open until its answer has been sent.
  struct open_request
  {
    explicit open_request(std::atomic<std::size_t>& c)
      : count{ c }
    {
      ++count;
    }
    ~open_request() { --count; }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;
    std::atomic<std::size_t>& count;
  };

  // Returns the pool that has this name or whose declaration names the model.
  std::string pool_of(const std::string& model)
  {
    std::promise<std::string> found;
    asio::post(daemon.io, [&] {
      std::string name;
      const auto view = daemon.configuration.current();
      for (const auto& [pool, p] : *view->pools) {
        if (pool == model || p.value.model == model) {
          name = pool;
          break;
        }
      }
      found.set_value(name);
    });
    return found.get_future().get();
  }

  bool has_service(const std::string& name)
  {
    std::promise<bool> found;
    asio::post(daemon.io, [&] {
      const auto view = daemon.configuration.current();
      found.set_value(view->services->contains(name));
    });
    return found.get_future().get();
  }

  std::uint64_t start(call_spec spec,
                      const std::shared_ptr<event_queue>& events)
  {
    spec.on_tokens = [events](const calls::token_run& t) {
      events->push({ call_event::kind::tokens, t, {}, {} });
    };
    spec.on_answer = [events](const calls::answer& a) {
      events->push({ call_event::kind::answer, {}, a, {} });
    };
    spec.on_done = [events](const call_result& r) {
      events->push({ call_event::kind::done, {}, {}, r });
    };
    std::promise<std::uint64_t> handle;
    asio::post(daemon.io,
               [&] { handle.set_value(dispatcher.start(std::move(spec))); });
    return handle.get_future().get();
  }

  // Refuses requests that can be rejected without a backend server. Returns
  // true when the refusal has been sent.
  bool refuse_early(const httplib::Request& in,
                    httplib::Response& out,
                    const std::string& id)
  {
    failure error;
    if (leaving) {
      error = { error_kind::leaving, settings.process.instance, 50 };
    } else if (open_count > settings.max_callers) {
      error = { error_kind::overloaded,
                "max_callers is " + std::to_string(settings.max_callers),
                overload_retry_ms };
    } else if (in.body.size() > settings.max_body_bytes) {
      error = { error_kind::too_large,
                "max_body_bytes is " +
                  std::to_string(settings.max_body_bytes) };
    }
    if (error) {
      send_refusal(out, id, error);
    }
    return static_cast<bool>(error);
  }

  void send_refusal(httplib::Response& out,
                    const std::string& id,
                    const failure& error)
  {
    daemon.metrics.add("refusals_total",
                       { { "kind", std::string{ name_of(error.kind) } } });
    log_request_end(id, error, 0);
    answer_failure(out, error);
  }

  std::string accept_request(const httplib::Request& in, const char* class_name)
  {
    auto id = in.get_header_value("X-Request-Id");
    if (id.empty() || id.size() > 128) {
      id = process::generate_id();
    }
    timeline::log(timeline::event{ "request_accepted" }
                    .with("request", id)
                    .with("class", class_name)
                    .with("key", in.get_header_value("Idempotency-Key")));
    daemon.metrics.add("requests_total", { { "class", class_name } });
    return id;
  }

  void completion(const httplib::Request& in, httplib::Response& out)
  {
    auto open_guard = std::make_shared<open_request>(open_count);
    const auto id = accept_request(in, "live");
    out.set_header("X-Request-Id", id);
    if (refuse_early(in, out, id)) {
      return;
    }
    auto parsed = parse_completion(in.body);
    if (!parsed) {
      send_refusal(out, id, parsed.error);
      return;
    }
    const auto pool = pool_of(parsed.value.model);
    if (pool.empty()) {
      send_refusal(
        out,
        id,
        { error_kind::not_found, "no pool serves " + parsed.value.model });
      return;
    }
    call_spec spec;
    spec.request = std::move(parsed.value.request);
    spec.request.set_request_id(id);
    spec.request.set_pool(pool);
    spec.request.set_call_class(calls::live);
    spec.affinity = routing::hash_of(
      std::string_view{ spec.request.completion().prompt() }.substr(
        0, affinity_bytes));
    spec.deadline_ms = static_cast<std::uint32_t>(
      number_from_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    const auto events = std::make_shared<event_queue>();
    const auto handle = start(std::move(spec), events);
    if (parsed.value.stream) {
      stream_completion(
        out, id, parsed.value.model, events, handle, open_guard);
    } else {
      send_completion(out, id, parsed.value.model, *events);
    }
  }

  void send_completion(httplib::Response& out,
                       const std::string& id,
                       const std::string& model,
                       event_queue& events)
  {
    std::string text;
    std::uint64_t version = 0;
    for (;;) {
      const auto event = events.pop();
      if (event.type == call_event::kind::tokens) {
        text += event.tokens.text();
        version = event.tokens.weight_version();
        continue;
      }
      log_request_end(id, event.result.error, event.result.tokens);
      if (event.result.error) {
        answer_failure(out, event.result.error);
        return;
      }
      auto body = chunk_body(id, model, text, version, "stop");
      body["usage"] = { { "completion_tokens", event.result.tokens } };
      out.set_content(body.dump() + "\n", "application/json");
      return;
    }
  }

  // The first event decides the status: a request that never began gets a plain
  // error answer rather than a stream with an error in it.
  void stream_completion(httplib::Response& out,
                         const std::string& id,
                         const std::string& model,
                         const std::shared_ptr<event_queue>& events,
                         std::uint64_t handle,
                         const std::shared_ptr<open_request>& open_guard)
  {
    auto first_event = std::make_shared<call_event>(events->pop());
    if (first_event->type == call_event::kind::done &&
        first_event->result.error) {
      log_request_end(id, first_event->result.error, 0);
      answer_failure(out, first_event->result.error);
      return;
    }
    const auto ended = std::make_shared<bool>(false);
    out.set_chunked_content_provider(
      "text/event-stream",
      [=](std::size_t, httplib::DataSink& sink) {
        return write_events(sink, id, model, *events, *first_event, ended);
      },
      [=, this](bool) {
        if (!*ended) {
          // The caller disconnected: stop the backend server's work too.
          log_request_end(id, { error_kind::cancelled, {} }, 0);
          asio::post(daemon.io, [=, this] { dispatcher.cancel(handle); });
        }
        (void)open_guard;
      });
  }

  static bool write_events(httplib::DataSink& sink,
                           const std::string& id,
                           const std::string& model,
                           event_queue& events,
                           call_event event,
                           const std::shared_ptr<bool>& ended)
  {
    std::uint64_t version = 0;
    for (;;) {
      if (event.type == call_event::kind::tokens) {
        version = event.tokens.weight_version();
        const auto body =
          chunk_body(id, model, event.tokens.text(), version, nullptr);
        if (!write(sink, "data: " + body.dump() + "\n\n")) {
          return false;
        }
        event = events.pop();
        continue;
      }
      *ended = true;
      log_request_end(id, event.result.error, event.result.tokens);
      const auto last = event.result.error
                          ? error_body(event.result.error)
                          : chunk_body(id, model, "", version, "stop");
      write(sink, "data: " + last.dump() + "\n\n");
      if (!event.result.error) {
        write(sink, "data: [DONE]\n\n");
      }
      sink.done();
      return true;
    }
  }

  static bool write(httplib::DataSink& sink, const std::string& text)
  {
    return sink.write(text.data(), text.size());
  }

  // Serves "/service/NAME/...". Calls that must not run twice carry an
  // Idempotency-Key.
  void service(const httplib::Request& in, httplib::Response& out)
  {
    const open_request open_guard{ open_count };
    const auto key = in.get_header_value("Idempotency-Key");
    const auto id = accept_request(in, key.empty() ? "check" : "booking");
    out.set_header("X-Request-Id", id);
    if (refuse_early(in, out, id)) {
      return;
    }
    const std::string name = in.matches[1];
    if (!has_service(name)) {
      send_refusal(out, id, { error_kind::not_found, "service " + name });
      return;
    }
    const auto issued = number_from_header(
      in, "Idempotency-Key-Issued-Ms", process::uuid_time_ms(key));
    if (!key.empty() && (issued == 0 || key.size() > 128)) {
      send_refusal(
        out,
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
    work.set_path("/" + std::string{ in.matches[2] });
    work.set_content_type(in.get_header_value("Content-Type"));
    work.set_body(in.body);
    spec.affinity = routing::hash_of(id);
    spec.deadline_ms = static_cast<std::uint32_t>(
      number_from_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    const auto events = std::make_shared<event_queue>();
    start(std::move(spec), events);
    send_service_answer(out, id, *events);
  }

  void send_service_answer(httplib::Response& out,
                           const std::string& id,
                           event_queue& events)
  {
    calls::answer answer;
    for (;;) {
      const auto event = events.pop();
      if (event.type == call_event::kind::answer) {
        answer = event.answer;
        continue;
      }
      log_request_end(id, event.result.error, 0);
      if (event.result.error) {
        answer_failure(out, event.result.error);
        return;
      }
      out.status = static_cast<int>(answer.status());
      if (answer.repeated()) {
        out.set_header("Idempotent-Replayed", "true");
      }
      out.set_content(answer.body(), answer.content_type());
      return;
    }
  }

  failure start_server()
  {
    // Each connection uses one thread. The pool is slightly larger than
    // max_callers, so that callers over the limit get an answer instead of
    // silence.
    const auto threads = settings.max_callers + 16;
    server.new_task_queue = [threads] {
      return new httplib::ThreadPool(threads);
    };
    server.set_keep_alive_max_count(100000);
    server.set_keep_alive_timeout(5);
    server.set_tcp_nodelay(true);
    server.set_read_timeout(std::chrono::seconds{ 10 });
    server.set_payload_max_length(settings.max_body_bytes + 1024);
    server.Post("/v1/completions",
                [this](const auto& in, auto& out) { completion(in, out); });
    const auto* pattern = R"(/service/([a-z0-9-]+)/(.*))";
    const auto handler = [this](const auto& in, auto& out) {
      service(in, out);
    };
    server.Get(pattern, handler);
    server.Post(pattern, handler);
    server.Put(pattern, handler);
    server.Delete(pattern, handler);
    server.set_error_handler([](const auto&, httplib::Response& out) {
      if (out.body.empty()) {
        const auto kind = out.status == 413   ? error_kind::too_large
                          : out.status == 404 ? error_kind::not_found
                                              : error_kind::bad_request;
        const auto status = out.status;
        answer_failure(out,
                       { kind,
                         "this port serves /v1/completions and "
                         "/service/NAME/..." });
        out.status = status;
      }
    });
    const auto local = link::address_from(settings.http);
    const int port =
      local.port == 0
        ? server.bind_to_any_port(local.ip)
        : (server.bind_to_port(local.ip, local.port) ? local.port : -1);
    if (port < 0) {
      return { error_kind::settings_invalid,
               "key http: " + settings.http +
                 " cannot be bound; choose a free port" };
    }
    daemon.add_port("http", static_cast<std::uint16_t>(port));
    thread = std::thread{ [this] { server.listen_after_bind(); } };
    return {};
  }
};

http_server::http_server(process::daemon& d,
                         const settings::entry_settings& s,
                         call_dispatcher& dispatcher)
  : impl_{ std::make_unique<impl>(d, s, dispatcher) }
{
}

http_server::~http_server()
{
  impl_->server.stop();
  if (impl_->thread.joinable()) {
    impl_->thread.join();
  }
}

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
  return impl_->open_count;
}

} // namespace cactusford::entry
