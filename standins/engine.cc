#include "standins/engine.h"

#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace cactusford::standins {

namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Tokens are sent once per scheduler period, because a fast engine would
// otherwise send one event per token.
constexpr double scheduler_period_us = 10000;
constexpr std::uint64_t chars_per_token = 4;

std::uint64_t
hash(const std::string& text, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Maps a hash to a uniformly distributed number between 0 and 1.
double
uniform(std::uint64_t h)
{
  return (static_cast<double>(h >> 11) + 0.5) / 9007199254740992.0;
}

void
respond_json(httplib::Response& response, int status, const json& body)
{
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

} // namespace

engine::engine(engine_settings s)
  : settings_{ std::move(s) }
  , server_{ settings_.threads }
{
}

engine::~engine()
{
  {
    const std::lock_guard lock{ mutex_ };
    stopped_ = true;
    hung_ = false;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  server_.stop();
}

int
engine::start()
{
  add_routes();
  thread_ = std::thread{ [this] { run_scheduler(); } };
  return server_.start(settings_.address);
}

void
engine::add_routes()
{
  auto& http = server_.http;
  http.Post("/v1/completions", [this](const auto& request, auto& response) {
    handle_completion(request, response);
  });
  http.Post("/orders/stage", [this](const auto& request, auto& response) {
    handle_order(request, response, false);
  });
  http.Post("/orders/swap", [this](const auto& request, auto& response) {
    handle_order(request, response, true);
  });
  http.Get("/versions", [this](const auto& request, auto& response) {
    const std::lock_guard lock{ mutex_ };
    const auto& m = models_[request.get_param_value("model")];
    respond_json(
      response, 200, { { "active", m.active }, { "staged", m.staged } });
  });
  http.Get("/load", [this](const auto&, auto& response) {
    const std::lock_guard lock{ mutex_ };
    respond_json(response,
                 200,
                 { { "running", running_.size() },
                   { "generated", generated_tokens_ },
                   { "prefix_hits", prefix_hits_ },
                   { "prefix_misses", prefix_misses_ } });
  });
  http.Post("/control/faults", [this](const auto& request, auto& response) {
    const auto body = json::parse(request.body, nullptr, false);
    const std::lock_guard lock{ mutex_ };
    fail_swaps_ = body.value("fail_swaps", fail_swaps_);
    lose_swap_answers_ = body.value("lose_swap_answers", lose_swap_answers_);
    hung_ = body.value("hung", hung_);
    timeline::log(timeline::event{ "fault" }
                    .with("target", settings_.name)
                    .with("what", body.dump()));
    changed_.notify_all();
    respond_json(response, 200, json::object());
  });
}

std::uint32_t
engine::response_length(const std::string& request_id,
                        std::uint32_t max_tokens) const
{
  const auto u1 = uniform(hash(request_id, 1));
  const auto u2 = uniform(hash(request_id, 2));
  // Box-Muller transform.
  const auto normal =
    std::sqrt(-2 * std::log(u1)) * std::cos(2 * std::acos(-1.0) * u2);
  auto length =
    settings_.length_mean * std::exp(settings_.length_sigma * normal);
  if (uniform(hash(request_id, 3)) < settings_.straggler_share) {
    length *= settings_.straggler_factor;
  }
  return std::clamp<std::uint32_t>(
    static_cast<std::uint32_t>(length), 1, max_tokens);
}

void
engine::cache_prefix(const std::string& prompt, std::uint64_t tokens)
{
  cache_.emplace_front(prompt, tokens);
  cached_tokens_ += tokens;
  while (cached_tokens_ > settings_.cache_tokens && cache_.size() > 1) {
    cached_tokens_ -= cache_.back().second;
    cache_.pop_back();
  }
}

engine::sequence_ptr
engine::admit(const json& body)
{
  auto s = std::make_shared<sequence>();
  s->request_id = body.value("request_id", std::string{});
  s->attempt = body.value("attempt", 0U);
  s->model = body.value("model", std::string{});
  s->priority = body.value("priority", 0U);
  s->next_token = body.value("resume_from", 0U);
  const auto prompt = body.value("prompt", std::string{});
  std::array<char, 8> token_prefix{};
  std::snprintf(token_prefix.data(),
                token_prefix.size(),
                "%04x",
                static_cast<unsigned>(hash(prompt, 0) & 0xffff));
  s->token_prefix = token_prefix.data();
  const std::lock_guard lock{ mutex_ };
  s->total_tokens =
    response_length(s->request_id, body.value("max_tokens", 16U));
  s->arrival = arrivals_++;
  const auto prompt_tokens = prompt.size() / chars_per_token + 64;
  s->kv_used = prompt_tokens + s->next_token;
  auto prefill_tokens = s->kv_used;
  const auto cached =
    std::find_if(cache_.begin(), cache_.end(), [&](const auto& c) {
      return c.first == prompt;
    });
  if (cached != cache_.end()) {
    ++prefix_hits_;
    prefill_tokens -= prompt_tokens;
    cache_.splice(cache_.begin(), cache_, cached);
  } else {
    ++prefix_misses_;
    cache_prefix(prompt, prompt_tokens);
  }
  s->prefill_us =
    static_cast<double>(prefill_tokens) * settings_.prefill_us_per_token;
  running_.push_back(s);
  changed_.notify_all();
  return s;
}

void
engine::handle_completion(const httplib::Request& request,
                          httplib::Response& response)
{
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond_json(response, 400, { { "error", "not JSON" } });
    return;
  }
  std::this_thread::sleep_for(microseconds{ settings_.latency_us });
  const auto s = admit(body);
  response.set_chunked_content_provider(
    "text/event-stream",
    [this, s](std::size_t, httplib::DataSink& sink) {
      return send_chunks(s, sink);
    },
    [this, s](bool) {
      const std::lock_guard lock{ mutex_ };
      s->cancelled = !s->done;
      timeline::log(timeline::event{ "engine_request_ended" }
                      .with("engine", settings_.name)
                      .with("request", s->request_id)
                      .with("to", s->next_token));
    });
}

bool
engine::send_chunks(const sequence_ptr& s, httplib::DataSink& sink)
{
  std::deque<chunk> chunks;
  bool done = false;
  {
    std::unique_lock lock{ mutex_ };
    changed_.wait(
      lock, [&] { return !s->pending_chunks.empty() || s->done || stopped_; });
    chunks.swap(s->pending_chunks);
    done = s->done;
    if (stopped_ && !done) {
      return false;
    }
  }
  std::string text;
  for (const auto& c : chunks) {
    json j{ { "count", c.count }, { "text", c.text } };
    if (settings_.reports_versions) {
      j["weight_version"] = c.version;
    }
    text += "data: " + j.dump() + "\n\n";
  }
  if (done) {
    text += "data: {\"finish_reason\":\"stop\"}\n\n";
  }
  if (!sink.write(text.data(), text.size())) {
    return false;
  }
  if (done) {
    sink.done();
  }
  return true;
}

// Selects sequences by priority, lowest number first, and by arrival, up to the
// limits of batch size and KV memory. The others stay queued in their order.
std::vector<engine::sequence_ptr>
engine::select_batch()
{
  std::erase_if(running_,
                [](const auto& s) { return s->done || s->cancelled; });
  std::vector<sequence_ptr> queue{ running_.begin(), running_.end() };
  std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) {
    return std::pair{ a->priority, a->arrival } <
           std::pair{ b->priority, b->arrival };
  });
  std::uint64_t kv = 0;
  std::vector<sequence_ptr> batch;
  for (auto& s : queue) {
    kv += s->kv_used;
    if (batch.size() == settings_.max_batch || kv > settings_.kv_tokens) {
      break;
    }
    batch.push_back(std::move(s));
  }
  return batch;
}

// Runs decoding steps until the time budget is used up and returns the
// remainder. A negative remainder, left by a step that takes longer than a
// scheduler period, reduces the budget of the next call.
double
engine::decode(const std::vector<sequence_ptr>& batch, double budget_us)
{
  const auto step_us =
    settings_.step_base_us +
    settings_.step_per_sequence_us * static_cast<double>(batch.size());
  std::map<sequence*, std::uint32_t> generated;
  while (budget_us > 0) {
    bool has_progress = false;
    budget_us -= step_us;
    for (const auto& s : batch) {
      if (s->prefill_us > 0) {
        // Prefill delays the whole batch.
        budget_us -= s->prefill_us;
        s->prefill_us = 0;
      }
      if (s->next_token + generated[s.get()] < s->total_tokens) {
        ++generated[s.get()];
        has_progress = true;
      }
    }
    if (!has_progress) {
      break;
    }
  }
  for (const auto& s : batch) {
    const auto count = generated[s.get()];
    const auto version = models_[s->model].active;
    if (count == 0 && s->next_token < s->total_tokens) {
      continue;
    }
    if (version != s->version && count > 0) {
      s->version = version;
      timeline::log(timeline::event{ "engine_run" }
                      .with("engine", settings_.name)
                      .with("request", s->request_id)
                      .with("attempt", s->attempt)
                      .with("from", s->next_token)
                      .with("weight_version", version));
    }
    chunk c{ count, {}, version };
    for (std::uint32_t i = 0; i < count; ++i) {
      c.text += " " + s->token_prefix + "." + std::to_string(s->next_token++);
    }
    s->kv_used += count;
    generated_tokens_ += count;
    s->done = s->next_token >= s->total_tokens;
    if (count > 0) {
      s->pending_chunks.push_back(std::move(c));
    }
  }
  return budget_us;
}

void
engine::run_scheduler()
{
  double budget_us = 0;
  auto next = std::chrono::steady_clock::now();
  std::unique_lock lock{ mutex_ };
  while (!stopped_) {
    if (running_.empty()) {
      changed_.wait(lock, [this] { return stopped_ || !running_.empty(); });
      next = std::chrono::steady_clock::now();
      budget_us = 0;
    }
    const bool paused = hung_ || process::steady_ms() < paused_until_ms_;
    const auto batch = paused ? std::vector<sequence_ptr>{} : select_batch();
    if (!batch.empty()) {
      budget_us = decode(batch, budget_us + scheduler_period_us);
      changed_.notify_all();
    }
    next += microseconds{ static_cast<int>(scheduler_period_us) };
    changed_.wait_until(lock, next, [this] { return stopped_; });
  }
}

void
engine::handle_order(const httplib::Request& request,
                     httplib::Response& response,
                     bool swap)
{
  const auto body = json::parse(request.body, nullptr, false);
  const auto model = body.value("model", std::string{});
  const auto version = body.value("version", std::uint64_t{ 0 });
  const auto fence = body.value("fence", std::uint64_t{ 0 });
  std::unique_lock lock{ mutex_ };
  auto& m = models_[model];
  if (settings_.obeys_fencing && fence < m.fence) {
    respond_json(response, 409, { { "error", "fenced" } });
    return;
  }
  m.fence = std::max(m.fence, fence);
  if (!swap) {
    lock.unlock();
    std::this_thread::sleep_for(milliseconds{ settings_.stage_ms });
    lock.lock();
    m.staged = version;
    respond_json(response, 200, json::object());
    return;
  }
  if (fail_swaps_ > 0) {
    --fail_swaps_;
    respond_json(response, 500, { { "error", "swap failed" } });
    return;
  }
  if (m.staged != version) {
    respond_json(response, 412, { { "error", "not staged" } });
    return;
  }
  paused_until_ms_ = process::steady_ms() + settings_.swap_ms;
  lock.unlock();
  std::this_thread::sleep_for(milliseconds{ settings_.swap_ms });
  lock.lock();
  m.active = version;
  m.staged = 0;
  timeline::log(timeline::event{ "engine_swapped" }
                  .with("engine", settings_.name)
                  .with("model", model)
                  .with("weight_version", version));
  if (lose_swap_answers_ > 0) {
    --lose_swap_answers_;
    response.status = 504;
    return;
  }
  respond_json(response, 200, json::object());
}

} // namespace cactusford::standins
