#include "bench/load.h"

#include "cactusford/link/link.h"
#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <random>

namespace cactusford::bench {

namespace {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

double
ms_since(clock_type::time_point t)
{
  return std::chrono::duration<double, std::milli>(clock_type::now() - t)
    .count();
}

// The outcome of one HTTP exchange, as a caller sees it.
struct outcome
{
  // One of answered, not_run, unknown, not_whole, cancelled and unreachable.
  std::string result = "unreachable";
  // The content is what the request asked for, without gaps or repeats.
  bool is_complete = false;
  double first_token_ms = 0;
  std::uint32_t retry_after_ms = 0;
  // Error kind, or empty.
  std::string error;
};

outcome
parse_error(const std::string& body)
{
  outcome o;
  const auto j = json::parse(body, nullptr, false);
  if (j.is_object() && j.contains("error")) {
    o.result = j["error"].value("outcome", std::string{ "unknown" });
    o.error = j["error"].value("kind", std::string{});
    o.retry_after_ms = j["error"].value("retry_after_ms", 0U);
  }
  return o;
}

// The stand-in engine streams " HASH.0 HASH.1 ..." with a hash of the prompt,
// so that missing tokens, repeated tokens and the text of another caller all
// show.
bool
is_complete_text(const std::string& text, const std::string& prompt)
{
  std::array<char, 8> prefix{};
  std::snprintf(
    prefix.data(),
    prefix.size(),
    "%04x",
    static_cast<unsigned>(
      XXH3_64bits_withSeed(prompt.data(), prompt.size(), 0) & 0xffff));
  std::istringstream in{ text };
  std::string word;
  std::uint64_t next = 0;
  while (in >> word) {
    if (word != std::string{ prefix.data() } + "." + std::to_string(next++)) {
      return false;
    }
  }
  return next > 0;
}

outcome
stream_completion(httplib::Client& c,
                  const httplib::Headers& headers,
                  const json& body,
                  const std::string& prompt)
{
  std::string stream;
  int status = 0;
  outcome o;
  const auto start = clock_type::now();
  httplib::Request r;
  r.method = "POST";
  r.path = "/v1/completions";
  r.headers = headers;
  r.body = body.dump();
  r.set_header("Content-Type", "application/json");
  r.response_handler = [&](const httplib::Response& answer) {
    status = answer.status;
    return true;
  };
  r.content_receiver =
    [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t) {
      if (o.first_token_ms == 0) {
        o.first_token_ms = ms_since(start);
      }
      stream.append(data, n);
      return true;
    };
  const auto answer = c.send(r);
  if (status != 0 && status != 200) {
    return parse_error(stream);
  }
  if (!answer && status == 0) {
    return o;
  }
  std::string text;
  bool has_end = false;
  std::istringstream lines{ stream };
  std::string line;
  while (std::getline(lines, line)) {
    if (line == "data: [DONE]") {
      has_end = true;
    } else if (line.starts_with("data: ")) {
      const auto j = json::parse(line.substr(6), nullptr, false);
      if (j.is_object() && j.contains("error")) {
        auto error = parse_error(line.substr(6));
        error.first_token_ms = o.first_token_ms;
        return error;
      }
      if (j.is_object() && j.contains("choices")) {
        text += j["choices"][0].value("text", std::string{});
      }
    }
  }
  // A stream without its end mark is not an answer: the caller can tell that
  // the connection was lost.
  o.result = has_end ? "answered" : "not_whole";
  o.is_complete = has_end && is_complete_text(text, prompt);
  return o;
}

} // namespace

struct load_generator::shared_state
{
  std::atomic<bool> stopped{ false };
  std::mutex mutex;
  load_counts counts;
};

double
percentile(std::vector<double> values, double fraction)
{
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(fraction * last))];
}

load_generator::load_generator(load_options o)
  : options_{ std::move(o) }
  , state_{ std::make_shared<shared_state>() }
{
}

load_generator::~load_generator()
{
  stop();
}

void
load_generator::start()
{
  std::uint64_t next_index = 0;
  for (std::uint32_t i = 0; i < options_.live_callers; ++i) {
    threads_.emplace_back([this, n = next_index++] { run_live_caller(n); });
  }
  for (std::uint32_t i = 0; i < options_.check_callers; ++i) {
    threads_.emplace_back(
      [this, n = next_index++] { run_service_caller(n, false); });
  }
  for (std::uint32_t i = 0; i < options_.booking_callers; ++i) {
    threads_.emplace_back(
      [this, n = next_index++] { run_service_caller(n, true); });
  }
}

void
load_generator::stop()
{
  state_->stopped = true;
  for (auto& t : threads_) {
    t.join();
  }
  threads_.clear();
}

load_counts
load_generator::counts()
{
  const std::lock_guard lock{ state_->mutex };
  return state_->counts;
}

namespace {

// The connection of one caller, kept to the same entry until a request fails.
class entry_connection
{
public:
  explicit entry_connection(std::uint64_t entry_index)
    : entry_index_{ entry_index }
  {
  }

  httplib::Client* client(const std::vector<std::string>& entries,
                          std::uint32_t timeout_ms)
  {
    if (client_ == nullptr && !entries.empty()) {
      const auto a = link::address_from(entries[entry_index_ % entries.size()]);
      client_ = std::make_unique<httplib::Client>(a.ip, a.port);
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
      client_->set_connection_timeout(std::chrono::milliseconds{ 500 });
      client_->set_read_timeout(std::chrono::milliseconds{ timeout_ms });
    }
    return client_.get();
  }

  void switch_entry()
  {
    client_ = nullptr;
    ++entry_index_;
  }

private:
  std::uint64_t entry_index_;
  std::unique_ptr<httplib::Client> client_;
};

void
sleep_for_ms(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

constexpr std::uint32_t client_timeout_margin_ms = 2000;

void
log_response(const char* call_class,
             const std::string& request,
             const std::string& key,
             const outcome& o,
             double ms)
{
  auto e = timeline::event{ "answer_received" }
             .with("class", call_class)
             .with("request", request)
             .with("outcome", o.result)
             .with("whole", o.is_complete ? 1U : 0U)
             .with("ms", static_cast<std::uint64_t>(ms));
  if (!key.empty()) {
    e.with("key", key);
  }
  if (!o.error.empty()) {
    e.with("error", o.error);
  }
  timeline::log(e);
}

} // namespace

void
load_generator::run_live_caller(std::uint64_t caller_index)
{
  std::mt19937_64 random{ options_.seed * 1000 + caller_index };
  entry_connection connection{ caller_index };
  while (!state_->stopped) {
    const auto prompt = "lookup " + std::to_string(random() % 1000);
    const json body{ { "model", options_.model },
                     { "prompt", prompt },
                     { "max_tokens", options_.max_tokens },
                     { "stream", true } };
    for (std::uint32_t i = 0; i <= options_.max_retries; ++i) {
      auto* c = connection.client(
        options_.entries(), options_.deadline_ms + client_timeout_margin_ms);
      if (c == nullptr) {
        sleep_for_ms(100);
        break;
      }
      const auto id = process::generate_id();
      const httplib::Headers headers{
        { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(options_.deadline_ms) }
      };
      const auto start = clock_type::now();
      const auto o = stream_completion(*c, headers, body, prompt);
      const auto ms = ms_since(start);
      log_response("live", id, {}, o, ms);
      {
        const std::lock_guard lock{ state_->mutex };
        auto& counts = state_->counts;
        if (o.result == "answered") {
          ++counts.live;
          counts.live_ms.push_back(ms);
          counts.first_token_ms.push_back(o.first_token_ms);
        } else {
          ++(o.result == "not_run" ? counts.refused : counts.unknown);
        }
      }
      if (o.result == "answered") {
        break;
      }
      connection.switch_entry();
      sleep_for_ms(std::max<std::uint32_t>(o.retry_after_ms, 20));
    }
    sleep_for_ms(options_.interval_ms);
  }
}

void
load_generator::run_service_caller(std::uint64_t caller_index, bool is_booking)
{
  entry_connection connection{ caller_index };
  std::uint64_t request_index = 0;
  while (!state_->stopped) {
    const auto key = is_booking ? process::generate_id() : std::string{};
    const auto text = "seat " + std::to_string(caller_index) + "/" +
                      std::to_string(request_index++) + "/" +
                      process::generate_id();
    for (std::uint32_t i = 0; i <= options_.max_retries; ++i) {
      auto* c = connection.client(
        options_.entries(), options_.deadline_ms + client_timeout_margin_ms);
      if (c == nullptr) {
        sleep_for_ms(100);
        break;
      }
      const auto id = process::generate_id();
      httplib::Headers headers{ { "X-Request-Id", id },
                                { "X-Deadline-Ms",
                                  std::to_string(options_.deadline_ms) } };
      if (is_booking) {
        headers.emplace("Idempotency-Key", key);
      }
      const auto path =
        "/service/" + options_.service + (is_booking ? "/book" : "/check");
      const auto start = clock_type::now();
      const auto r = c->Post(path, headers, text, "text/plain");
      const auto ms = ms_since(start);
      outcome o;
      if (r && r->status == 200) {
        const auto j = json::parse(r->body, nullptr, false);
        o.result = "answered";
        o.is_complete = j.is_object() && j.value("echo", std::string{}) == text;
      } else if (r) {
        o = parse_error(r->body);
      }
      log_response(is_booking ? "booking" : "check", id, key, o, ms);
      {
        const std::lock_guard lock{ state_->mutex };
        auto& counts = state_->counts;
        if (o.result == "answered") {
          ++counts.service;
          counts.service_ms.push_back(ms);
        } else {
          ++(o.result == "not_run" ? counts.refused : counts.unknown);
        }
      }
      // An unknown outcome reported by the service is final. If the entry
      // crashed instead, the request is retried elsewhere under the same key.
      if (o.result == "answered" || o.error == "outcome_unknown") {
        break;
      }
      connection.switch_entry();
      sleep_for_ms(std::max<std::uint32_t>(o.retry_after_ms, 20));
    }
    sleep_for_ms(options_.interval_ms);
  }
}

} // namespace cactusford::bench
