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

// What one HTTP exchange came to.
struct outcome
{
  // answered, not_run, unknown, not_whole, cancelled or unreachable.
  std::string what = "unreachable";
  bool whole = false;
  double first_ms = 0;
  std::uint32_t retry_ms = 0;
  std::string kind;
};

outcome
outcome_of_error(const std::string& body)
{
  outcome o;
  const auto j = json::parse(body, nullptr, false);
  if (j.is_object() && j.contains("error")) {
    o.what = j["error"].value("outcome", std::string{ "unknown" });
    o.kind = j["error"].value("kind", std::string{});
    o.retry_ms = j["error"].value("retry_after_ms", 0U);
  }
  return o;
}

// The stand-in engine writes " MARK.0 MARK.1 ..." with a mark of the prompt,
// so that a gap, a repeat and another caller's text all show.
bool
is_whole_text(const std::string& text, const std::string& prompt)
{
  std::array<char, 8> mark{};
  std::snprintf(
    mark.data(),
    mark.size(),
    "%04x",
    static_cast<unsigned>(
      XXH3_64bits_withSeed(prompt.data(), prompt.size(), 0) & 0xffff));
  std::istringstream in{ text };
  std::string word;
  std::uint64_t next = 0;
  while (in >> word) {
    if (word != std::string{ mark.data() } + "." + std::to_string(next++)) {
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
  std::string raw;
  int status = 0;
  outcome o;
  const auto began = clock_type::now();
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
      if (o.first_ms == 0) {
        o.first_ms = ms_since(began);
      }
      raw.append(data, n);
      return true;
    };
  const auto answer = c.send(r);
  if (status != 0 && status != 200) {
    return outcome_of_error(raw);
  }
  if (!answer && status == 0) {
    return o;
  }
  std::string text;
  bool done = false;
  std::istringstream lines{ raw };
  std::string line;
  while (std::getline(lines, line)) {
    if (line == "data: [DONE]") {
      done = true;
    } else if (line.starts_with("data: ")) {
      const auto j = json::parse(line.substr(6), nullptr, false);
      if (j.is_object() && j.contains("error")) {
        auto failed = outcome_of_error(line.substr(6));
        failed.first_ms = o.first_ms;
        return failed;
      }
      if (j.is_object() && j.contains("choices")) {
        text += j["choices"][0].value("text", std::string{});
      }
    }
  }
  // A stream without its end is no answer: the caller sees that it is cut.
  o.what = done ? "answered" : "not_whole";
  o.whole = done && is_whole_text(text, prompt);
  return o;
}

} // namespace

struct load::shared
{
  std::atomic<bool> stopped{ false };
  std::mutex mutex;
  load_counts counts;
};

double
percentile(std::vector<double> values, double p)
{
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(p * last))];
}

load::load(load_options o)
  : options_{ std::move(o) }
  , shared_{ std::make_shared<shared>() }
{
}

load::~load()
{
  stop();
}

void
load::start()
{
  std::uint64_t number = 0;
  for (std::uint32_t i = 0; i < options_.live_callers; ++i) {
    threads_.emplace_back([this, n = number++] { live_caller(n); });
  }
  for (std::uint32_t i = 0; i < options_.check_callers; ++i) {
    threads_.emplace_back([this, n = number++] { service_caller(n, false); });
  }
  for (std::uint32_t i = 0; i < options_.booking_callers; ++i) {
    threads_.emplace_back([this, n = number++] { service_caller(n, true); });
  }
}

void
load::stop()
{
  shared_->stopped = true;
  for (auto& t : threads_) {
    t.join();
  }
  threads_.clear();
}

load_counts
load::counts()
{
  const std::lock_guard lock{ shared_->mutex };
  return shared_->counts;
}

namespace {

// One caller: keeps its connection to an entry until that fails.
class caller_link
{
public:
  explicit caller_link(std::uint64_t turn)
    : turn_{ turn }
  {
  }

  httplib::Client* to_entry(const std::vector<std::string>& entries,
                            std::uint32_t timeout_ms)
  {
    if (client_ == nullptr && !entries.empty()) {
      const auto a = link::address_from(entries[turn_ % entries.size()]);
      client_ = std::make_unique<httplib::Client>(a.ip, a.port);
      client_->set_keep_alive(true);
      client_->set_tcp_nodelay(true);
      client_->set_connection_timeout(std::chrono::milliseconds{ 500 });
      client_->set_read_timeout(std::chrono::milliseconds{ timeout_ms });
    }
    return client_.get();
  }

  void next()
  {
    client_ = nullptr;
    ++turn_;
  }

private:
  std::uint64_t turn_;
  std::unique_ptr<httplib::Client> client_;
};

void
rest(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

constexpr std::uint32_t client_margin_ms = 2000;

void
log_answer(const char* cls,
           const std::string& request,
           const std::string& key,
           const outcome& o,
           double ms)
{
  auto e = timeline::event{ "answer_received" }
             .with("class", cls)
             .with("request", request)
             .with("outcome", o.what)
             .with("whole", o.whole ? 1U : 0U)
             .with("ms", static_cast<std::uint64_t>(ms));
  if (!key.empty()) {
    e.with("key", key);
  }
  if (!o.kind.empty()) {
    e.with("error", o.kind);
  }
  timeline::log(e);
}

} // namespace

void
load::live_caller(std::uint64_t number)
{
  std::mt19937_64 random{ options_.seed * 1000 + number };
  caller_link to{ number };
  while (!shared_->stopped) {
    const auto prompt = "lookup " + std::to_string(random() % 1000);
    const json body{ { "model", options_.model },
                     { "prompt", prompt },
                     { "max_tokens", options_.max_tokens },
                     { "stream", true } };
    for (std::uint32_t i = 0; i <= options_.repeats; ++i) {
      auto* c = to.to_entry(options_.entries(),
                            options_.deadline_ms + client_margin_ms);
      if (c == nullptr) {
        rest(100);
        break;
      }
      const auto id = process::generate_id();
      const httplib::Headers headers{
        { "X-Request-Id", id },
        { "X-Deadline-Ms", std::to_string(options_.deadline_ms) }
      };
      const auto began = clock_type::now();
      const auto o = stream_completion(*c, headers, body, prompt);
      const auto ms = ms_since(began);
      log_answer("live", id, {}, o, ms);
      {
        const std::lock_guard lock{ shared_->mutex };
        auto& counts = shared_->counts;
        if (o.what == "answered") {
          ++counts.live;
          counts.live_ms.push_back(ms);
          counts.first_token_ms.push_back(o.first_ms);
        } else {
          ++(o.what == "not_run" ? counts.refused : counts.unknown);
        }
      }
      if (o.what == "answered") {
        break;
      }
      to.next();
      rest(std::max<std::uint32_t>(o.retry_ms, 20));
    }
    rest(options_.pause_ms);
  }
}

void
load::service_caller(std::uint64_t number, bool booking)
{
  caller_link to{ number };
  std::uint64_t turn = 0;
  while (!shared_->stopped) {
    const auto key = booking ? process::generate_id() : std::string{};
    const auto text = "seat " + std::to_string(number) + "/" +
                      std::to_string(turn++) + "/" + process::generate_id();
    for (std::uint32_t i = 0; i <= options_.repeats; ++i) {
      auto* c = to.to_entry(options_.entries(),
                            options_.deadline_ms + client_margin_ms);
      if (c == nullptr) {
        rest(100);
        break;
      }
      const auto id = process::generate_id();
      httplib::Headers headers{ { "X-Request-Id", id },
                                { "X-Deadline-Ms",
                                  std::to_string(options_.deadline_ms) } };
      if (booking) {
        headers.emplace("Idempotency-Key", key);
      }
      const auto path =
        "/service/" + options_.service + (booking ? "/book" : "/check");
      const auto began = clock_type::now();
      const auto r = c->Post(path, headers, text, "text/plain");
      const auto ms = ms_since(began);
      outcome o;
      if (r && r->status == 200) {
        const auto j = json::parse(r->body, nullptr, false);
        o.what = "answered";
        o.whole = j.is_object() && j.value("echo", std::string{}) == text;
      } else if (r) {
        o = outcome_of_error(r->body);
      }
      log_answer(booking ? "booking" : "check", id, key, o, ms);
      {
        const std::lock_guard lock{ shared_->mutex };
        auto& counts = shared_->counts;
        if (o.what == "answered") {
          ++counts.service;
          counts.service_ms.push_back(ms);
        } else {
          ++(o.what == "not_run" ? counts.refused : counts.unknown);
        }
      }
      // "unknown" from the service is its last word; an entry that died in
      // between is asked again elsewhere, under the same key.
      if (o.what == "answered" || o.kind == "outcome_unknown") {
        break;
      }
      to.next();
      rest(std::max<std::uint32_t>(o.retry_ms, 20));
    }
    rest(options_.pause_ms);
  }
}

} // namespace cactusford::bench
