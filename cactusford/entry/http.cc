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
constexpr std::uint32_t max_max_tokens = 1U << 20;
constexpr std::uint32_t refuse_retry_ms = 1000;

// What the io thread hands to the thread of a caller's connection.
struct piece
{
  enum class kind
  {
    tokens,
    answer,
    done,
  };
  kind what = kind::done;
  calls::token_run tokens;
  calls::answer answer;
  call_result result;
};

// Bounded by the answer itself: the sidecar sends no more than max_tokens.
class mailbox
{
public:
  void put(piece p)
  {
    {
      const std::lock_guard lock{ mutex_ };
      pieces_.push_back(std::move(p));
    }
    filled_.notify_one();
  }

  piece take()
  {
    std::unique_lock lock{ mutex_ };
    filled_.wait(lock, [this] { return !pieces_.empty(); });
    auto p = std::move(pieces_.front());
    pieces_.pop_front();
    return p;
  }

private:
  std::mutex mutex_;
  std::condition_variable filled_;
  std::deque<piece> pieces_;
};

json
error_body(const failure& f)
{
  const auto* run = is_not_run(f.kind)                      ? "not_run"
                    : f.kind == error_kind::outcome_unknown ? "unknown"
                                                            : "not_whole";
  return { { "error",
             { { "kind", name_of(f.kind) },
               { "message", message_of(f) },
               { "outcome", run },
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
log_end(const std::string& id, const failure& f, std::uint64_t tokens)
{
  timeline::log(timeline::event{ "request_ended" }
                  .with("request", id)
                  .with("error", name_of(f.kind))
                  .with("tokens", tokens));
}

std::uint64_t
number_header(const httplib::Request& in, const char* name, std::uint64_t other)
{
  const auto text = in.get_header_value(name);
  std::uint64_t value = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  return text.empty() || r.ec != std::errc{} ? other : value;
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
  const auto bad = [](const char* what) {
    return result<parsed_completion>{ {}, { error_kind::bad_request, what } };
  };
  const auto j = json::parse(body, nullptr, false);
  if (!j.is_object()) {
    return bad("the body is not a JSON object");
  }
  const auto model = j.find("model");
  if (model == j.end() || !model->is_string()) {
    return bad("field model: a string is needed");
  }
  const auto prompt = j.find("prompt");
  if (prompt == j.end() || !prompt->is_string()) {
    return bad("field prompt: a string is needed");
  }
  const auto tokens = j.value("max_tokens", json(default_max_tokens));
  if (!tokens.is_number_unsigned() || tokens.get<std::uint64_t>() < 1 ||
      tokens.get<std::uint64_t>() > max_max_tokens) {
    return bad("field max_tokens: a number from 1 to 1048576 is needed");
  }
  const auto stream = j.value("stream", json(false));
  if (!stream.is_boolean()) {
    return bad("field stream: true or false is needed");
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
  caller& calls;
  httplib::Server server;
  std::thread thread;
  std::atomic<std::size_t> open{ 0 };
  std::atomic<bool> leaving{ false };

  impl(process::daemon& d, settings::entry_settings s, caller& c)
    : daemon{ d }
    , settings{ std::move(s) }
    , calls{ c }
  {
  }

  // Counts a request for as long as its answer is on the way.
  struct counted
  {
    explicit counted(std::atomic<std::size_t>& c)
      : count{ c }
    {
      ++count;
    }
    ~counted() { --count; }
    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;
    std::atomic<std::size_t>& count;
  };

  // The pool whose declaration names the model, or is named like it.
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

  std::uint64_t start(call_spec spec, const std::shared_ptr<mailbox>& box)
  {
    spec.on_tokens = [box](const calls::token_run& t) {
      box->put({ piece::kind::tokens, t, {}, {} });
    };
    spec.on_answer = [box](const calls::answer& a) {
      box->put({ piece::kind::answer, {}, a, {} });
    };
    spec.on_done = [box](const call_result& r) {
      box->put({ piece::kind::done, {}, {}, r });
    };
    std::promise<std::uint64_t> handle;
    asio::post(daemon.io,
               [&] { handle.set_value(calls.start(std::move(spec))); });
    return handle.get_future().get();
  }

  // Refusals that need no backend server. True when answered.
  bool refused(const httplib::Request& in,
               httplib::Response& out,
               const std::string& id)
  {
    failure why;
    if (leaving) {
      why = { error_kind::leaving, settings.process.instance, 50 };
    } else if (open > settings.max_callers) {
      why = { error_kind::overloaded,
              "max_callers is " + std::to_string(settings.max_callers),
              refuse_retry_ms };
    } else if (in.body.size() > settings.max_body_bytes) {
      why = { error_kind::too_large,
              "max_body_bytes is " + std::to_string(settings.max_body_bytes) };
    }
    if (why) {
      finish_refused(out, id, why);
    }
    return static_cast<bool>(why);
  }

  void finish_refused(httplib::Response& out,
                      const std::string& id,
                      const failure& why)
  {
    daemon.metrics.add("refusals_total",
                       { { "kind", std::string{ name_of(why.kind) } } });
    log_end(id, why, 0);
    answer_failure(out, why);
  }

  std::string begin(const httplib::Request& in, const char* cls)
  {
    auto id = in.get_header_value("X-Request-Id");
    if (id.empty() || id.size() > 128) {
      id = process::new_id();
    }
    timeline::log(timeline::event{ "request_accepted" }
                    .with("request", id)
                    .with("class", cls)
                    .with("key", in.get_header_value("Idempotency-Key")));
    daemon.metrics.add("requests_total", { { "class", cls } });
    return id;
  }

  void completion(const httplib::Request& in, httplib::Response& out)
  {
    auto held = std::make_shared<counted>(open);
    const auto id = begin(in, "live");
    out.set_header("X-Request-Id", id);
    if (refused(in, out, id)) {
      return;
    }
    auto parsed = parse_completion(in.body);
    if (!parsed) {
      finish_refused(out, id, parsed.error);
      return;
    }
    const auto pool = pool_of(parsed.value.model);
    if (pool.empty()) {
      finish_refused(
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
      number_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    const auto box = std::make_shared<mailbox>();
    const auto handle = start(std::move(spec), box);
    if (parsed.value.stream) {
      stream_out(out, id, parsed.value.model, box, handle, held);
    } else {
      whole_out(out, id, parsed.value.model, *box);
    }
  }

  void whole_out(httplib::Response& out,
                 const std::string& id,
                 const std::string& model,
                 mailbox& box)
  {
    std::string text;
    std::uint64_t version = 0;
    for (;;) {
      const auto p = box.take();
      if (p.what == piece::kind::tokens) {
        text += p.tokens.text();
        version = p.tokens.weight_version();
        continue;
      }
      log_end(id, p.result.error, p.result.tokens);
      if (p.result.error) {
        answer_failure(out, p.result.error);
        return;
      }
      auto body = chunk_body(id, model, text, version, "stop");
      body["usage"] = { { "completion_tokens", p.result.tokens } };
      out.set_content(body.dump() + "\n", "application/json");
      return;
    }
  }

  // The first piece decides the status: a request that never began gets a
  // plain error answer, not a stream with an error in it.
  void stream_out(httplib::Response& out,
                  const std::string& id,
                  const std::string& model,
                  const std::shared_ptr<mailbox>& box,
                  std::uint64_t handle,
                  const std::shared_ptr<counted>& held)
  {
    auto first = std::make_shared<piece>(box->take());
    if (first->what == piece::kind::done && first->result.error) {
      log_end(id, first->result.error, 0);
      answer_failure(out, first->result.error);
      return;
    }
    const auto ended = std::make_shared<bool>(false);
    out.set_chunked_content_provider(
      "text/event-stream",
      [=](std::size_t, httplib::DataSink& sink) {
        return write_piece(sink, id, model, *box, *first, ended);
      },
      [=, this](bool) {
        if (!*ended) {
          // The caller went away: the backend server stops too.
          log_end(id, { error_kind::cancelled, {} }, 0);
          asio::post(daemon.io, [=, this] { calls.cancel(handle); });
        }
        (void)held;
      });
  }

  static bool write_piece(httplib::DataSink& sink,
                          const std::string& id,
                          const std::string& model,
                          mailbox& box,
                          piece p,
                          const std::shared_ptr<bool>& ended)
  {
    std::uint64_t version = 0;
    for (;;) {
      if (p.what == piece::kind::tokens) {
        version = p.tokens.weight_version();
        const auto body =
          chunk_body(id, model, p.tokens.text(), version, nullptr);
        if (!write(sink, "data: " + body.dump() + "\n\n")) {
          return false;
        }
        p = box.take();
        continue;
      }
      *ended = true;
      log_end(id, p.result.error, p.result.tokens);
      const auto last = p.result.error
                          ? error_body(p.result.error)
                          : chunk_body(id, model, "", version, "stop");
      write(sink, "data: " + last.dump() + "\n\n");
      if (!p.result.error) {
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

  // "/service/NAME/..." with an Idempotency-Key for calls that must not run
  // twice.
  void service(const httplib::Request& in, httplib::Response& out)
  {
    const counted held{ open };
    const auto key = in.get_header_value("Idempotency-Key");
    const auto id = begin(in, key.empty() ? "check" : "booking");
    out.set_header("X-Request-Id", id);
    if (refused(in, out, id)) {
      return;
    }
    const std::string name = in.matches[1];
    if (!has_service(name)) {
      finish_refused(out, id, { error_kind::not_found, "service " + name });
      return;
    }
    const auto issued = number_header(
      in, "Idempotency-Key-Issued-Ms", process::issue_time_of(key));
    if (!key.empty() && (issued == 0 || key.size() > 128)) {
      finish_refused(
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
      number_header(in, "X-Deadline-Ms", settings.default_deadline_ms));
    const auto box = std::make_shared<mailbox>();
    start(std::move(spec), box);
    answer_out(out, id, *box);
  }

  void answer_out(httplib::Response& out, const std::string& id, mailbox& box)
  {
    calls::answer answer;
    for (;;) {
      const auto p = box.take();
      if (p.what == piece::kind::answer) {
        answer = p.answer;
        continue;
      }
      log_end(id, p.result.error, 0);
      if (p.result.error) {
        answer_failure(out, p.result.error);
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
    // A thread a connection: the pool is a little larger than max_callers, so
    // that a caller over the bound gets an answer and not silence.
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
                         caller& calls)
  : impl_{ std::make_unique<impl>(d, s, calls) }
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
  return impl_->open;
}

} // namespace cactusford::entry
