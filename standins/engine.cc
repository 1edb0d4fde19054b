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

// Tokens leave in runs, or a fast engine would send one event for each.
constexpr double turn_us = 10000;
constexpr std::uint64_t tokens_per_char = 4;

std::uint64_t
hash(const std::string& text, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double
uniform(std::uint64_t h)
{
  return (static_cast<double>(h >> 11) + 0.5) / 9007199254740992.0;
}

void
answer(httplib::Response& out, int status, const json& body)
{
  out.status = status;
  out.set_content(body.dump(), "application/json");
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
  thread_ = std::thread{ [this] { turn(); } };
  return server_.start(settings_.address);
}

void
engine::add_routes()
{
  auto& http = server_.http;
  http.Post("/v1/completions",
            [this](const auto& in, auto& out) { complete(in, out); });
  http.Post("/orders/stage",
            [this](const auto& in, auto& out) { order(in, out, false); });
  http.Post("/orders/swap",
            [this](const auto& in, auto& out) { order(in, out, true); });
  http.Get("/versions", [this](const auto& in, auto& out) {
    const std::lock_guard lock{ mutex_ };
    const auto& m = models_[in.get_param_value("model")];
    answer(out, 200, { { "active", m.active }, { "staged", m.staged } });
  });
  http.Get("/load", [this](const auto&, auto& out) {
    const std::lock_guard lock{ mutex_ };
    answer(out,
           200,
           { { "running", running_.size() },
             { "generated", generated_ },
             { "prefix_hits", prefix_hits_ },
             { "prefix_misses", prefix_misses_ } });
  });
  http.Post("/control/faults", [this](const auto& in, auto& out) {
    const auto body = json::parse(in.body, nullptr, false);
    const std::lock_guard lock{ mutex_ };
    fail_swaps_ = body.value("fail_swaps", fail_swaps_);
    lose_swap_answers_ = body.value("lose_swap_answers", lose_swap_answers_);
    hung_ = body.value("hung", hung_);
    timeline::log(timeline::event{ "fault" }
                    .with("target", settings_.name)
                    .with("what", body.dump()));
    changed_.notify_all();
    answer(out, 200, json::object());
  });
}

std::uint32_t
engine::length_of(const std::string& request, std::uint32_t most) const
{
  const auto a = uniform(hash(request, 1));
  const auto b = uniform(hash(request, 2));
  const auto normal =
    std::sqrt(-2 * std::log(a)) * std::cos(2 * std::acos(-1.0) * b);
  auto length =
    settings_.length_mean * std::exp(settings_.length_sigma * normal);
  if (uniform(hash(request, 3)) < settings_.straggler_share) {
    length *= settings_.straggler_factor;
  }
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(length), 1, most);
}

void
engine::remember_prefix(const std::string& prompt, std::uint64_t tokens)
{
  cache_.emplace_front(prompt, tokens);
  cached_ += tokens;
  while (cached_ > settings_.cache_tokens && cache_.size() > 1) {
    cached_ -= cache_.back().second;
    cache_.pop_back();
  }
}

engine::sequence_ptr
engine::admit(const json& body)
{
  auto s = std::make_shared<sequence>();
  s->request = body.value("request_id", std::string{});
  s->attempt = body.value("attempt", 0U);
  s->model = body.value("model", std::string{});
  s->priority = body.value("priority", 0U);
  s->next = body.value("resume_from", 0U);
  const auto prompt = body.value("prompt", std::string{});
  std::array<char, 8> mark{};
  std::snprintf(mark.data(),
                mark.size(),
                "%04x",
                static_cast<unsigned>(hash(prompt, 0) & 0xffff));
  s->mark = mark.data();
  const std::lock_guard lock{ mutex_ };
  s->total = length_of(s->request, body.value("max_tokens", 16U));
  s->arrival = arrivals_++;
  const auto prompt_tokens = prompt.size() / tokens_per_char + 64;
  s->kv = prompt_tokens + s->next;
  auto to_prefill = s->kv;
  const auto known =
    std::find_if(cache_.begin(), cache_.end(), [&](const auto& c) {
      return c.first == prompt;
    });
  if (known != cache_.end()) {
    ++prefix_hits_;
    to_prefill -= prompt_tokens;
    cache_.splice(cache_.begin(), cache_, known);
  } else {
    ++prefix_misses_;
    remember_prefix(prompt, prompt_tokens);
  }
  s->prefill_us =
    static_cast<double>(to_prefill) * settings_.prefill_us_per_token;
  running_.push_back(s);
  changed_.notify_all();
  return s;
}

void
engine::complete(const httplib::Request& in, httplib::Response& out)
{
  const auto body = json::parse(in.body, nullptr, false);
  if (!body.is_object()) {
    answer(out, 400, { { "error", "not JSON" } });
    return;
  }
  std::this_thread::sleep_for(microseconds{ settings_.latency_us });
  const auto s = admit(body);
  out.set_chunked_content_provider(
    "text/event-stream",
    [this, s](std::size_t, httplib::DataSink& sink) {
      return write_out(s, sink);
    },
    [this, s](bool) {
      const std::lock_guard lock{ mutex_ };
      s->cancelled = !s->done;
      timeline::log(timeline::event{ "engine_ended" }
                      .with("engine", settings_.name)
                      .with("request", s->request)
                      .with("to", s->next));
    });
}

bool
engine::write_out(const sequence_ptr& s, httplib::DataSink& sink)
{
  std::deque<chunk> ready;
  bool done = false;
  {
    std::unique_lock lock{ mutex_ };
    changed_.wait(lock,
                  [&] { return !s->ready.empty() || s->done || stopped_; });
    ready.swap(s->ready);
    done = s->done;
    if (stopped_ && !done) {
      return false;
    }
  }
  std::string text;
  for (const auto& c : ready) {
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

// Lower priority numbers first, then by arrival, up to the batch size and the
// KV memory. Sequences that do not fit are held back and keep their place.
std::vector<engine::sequence_ptr>
engine::pick_batch()
{
  std::erase_if(running_,
                [](const auto& s) { return s->done || s->cancelled; });
  std::vector<sequence_ptr> order{ running_.begin(), running_.end() };
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return std::pair{ a->priority, a->arrival } <
           std::pair{ b->priority, b->arrival };
  });
  std::uint64_t kv = 0;
  std::vector<sequence_ptr> batch;
  for (auto& s : order) {
    kv += s->kv;
    if (batch.size() == settings_.max_batch || kv > settings_.kv_tokens) {
      break;
    }
    batch.push_back(std::move(s));
  }
  return batch;
}

// Spends the credit on decoding steps. What is left, or overspent by a step
// that is longer than a turn, carries over.
double
engine::decode(const std::vector<sequence_ptr>& batch, double credit_us)
{
  const auto step_us =
    settings_.step_base_us +
    settings_.step_per_sequence_us * static_cast<double>(batch.size());
  std::map<sequence*, std::uint32_t> made;
  while (credit_us > 0) {
    bool any = false;
    credit_us -= step_us;
    for (const auto& s : batch) {
      if (s->prefill_us > 0) {
        // Prefill takes its time from the whole batch.
        credit_us -= s->prefill_us;
        s->prefill_us = 0;
      }
      if (s->next + made[s.get()] < s->total) {
        ++made[s.get()];
        any = true;
      }
    }
    if (!any) {
      break;
    }
  }
  for (const auto& s : batch) {
    const auto count = made[s.get()];
    const auto version = models_[s->model].active;
    if (count == 0 && s->next < s->total) {
      continue;
    }
    if (version != s->version && count > 0) {
      s->version = version;
      timeline::log(timeline::event{ "engine_run" }
                      .with("engine", settings_.name)
                      .with("request", s->request)
                      .with("attempt", s->attempt)
                      .with("from", s->next)
                      .with("weight_version", version));
    }
    chunk c{ count, {}, version };
    for (std::uint32_t i = 0; i < count; ++i) {
      c.text += " " + s->mark + "." + std::to_string(s->next++);
    }
    s->kv += count;
    generated_ += count;
    s->done = s->next >= s->total;
    if (count > 0) {
      s->ready.push_back(std::move(c));
    }
  }
  return credit_us;
}

void
engine::turn()
{
  double credit_us = 0;
  auto next = std::chrono::steady_clock::now();
  std::unique_lock lock{ mutex_ };
  while (!stopped_) {
    if (running_.empty()) {
      changed_.wait(lock, [this] { return stopped_ || !running_.empty(); });
      next = std::chrono::steady_clock::now();
      credit_us = 0;
    }
    const bool paused = hung_ || process::steady_ms() < paused_until_ms_;
    const auto batch = paused ? std::vector<sequence_ptr>{} : pick_batch();
    if (!batch.empty()) {
      credit_us = decode(batch, credit_us + turn_us);
      changed_.notify_all();
    }
    next += microseconds{ static_cast<int>(turn_us) };
    changed_.wait_until(lock, next, [this] { return stopped_; });
  }
}

void
engine::order(const httplib::Request& in, httplib::Response& out, bool swap)
{
  const auto body = json::parse(in.body, nullptr, false);
  const auto model = body.value("model", std::string{});
  const auto version = body.value("version", std::uint64_t{ 0 });
  const auto fence = body.value("fence", std::uint64_t{ 0 });
  std::unique_lock lock{ mutex_ };
  auto& m = models_[model];
  if (settings_.obeys_fencing && fence < m.fence) {
    answer(out, 409, { { "error", "fenced" } });
    return;
  }
  m.fence = std::max(m.fence, fence);
  if (!swap) {
    lock.unlock();
    std::this_thread::sleep_for(milliseconds{ settings_.stage_ms });
    lock.lock();
    m.staged = version;
    answer(out, 200, json::object());
    return;
  }
  if (fail_swaps_ > 0) {
    --fail_swaps_;
    answer(out, 500, { { "error", "swap failed" } });
    return;
  }
  if (m.staged != version) {
    answer(out, 412, { { "error", "not staged" } });
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
    out.status = 504;
    return;
  }
  answer(out, 200, json::object());
}

} // namespace cactusford::standins
