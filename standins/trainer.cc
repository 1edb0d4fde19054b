#include "standins/trainer.h"

#include "cactusford/process/daemon.h"
#include "cactusford/rollout/client.h"
#include "cactusford/timeline/event.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

namespace cactusford::standins {

namespace {

using nlohmann::json;

void
rest(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

std::string
runs_text(const rollout::sample& s)
{
  std::string text;
  for (const auto& run : s.runs()) {
    text += (text.empty() ? "" : ",") + std::to_string(run.weight_version()) +
            ":" + std::to_string(run.tokens());
  }
  return text;
}

rollout::cursor
load_cursor(const std::string& path)
{
  rollout::cursor c;
  std::ifstream in{ path };
  if (path.empty() || !in) {
    return c;
  }
  const auto j = json::parse(in, nullptr, false);
  if (j.is_object()) {
    c.step = j.value("step", c.step);
    c.weight_version = j.value("weight_version", c.weight_version);
    c.fence = j.value("fence", c.fence);
    for (const int byte : j.value("received", json::array())) {
      c.received += static_cast<char>(byte);
    }
  }
  return c;
}

void
save_cursor(const std::string& path, const rollout::cursor& c)
{
  if (path.empty()) {
    return;
  }
  json bytes = json::array();
  for (const char byte : c.received) {
    bytes.push_back(static_cast<unsigned char>(byte));
  }
  const auto part = path + ".part";
  std::ofstream{ part } << json{ { "step", c.step },
                                 { "weight_version", c.weight_version },
                                 { "fence", c.fence },
                                 { "received", bytes } };
  std::rename(part.c_str(), path.c_str());
}

void
log_sample(const trainer_settings& s,
           const rollout::sample& one,
           const rollout::batch& b,
           const rollout::cursor& at)
{
  timeline::log(timeline::event{ "sample_received" }
                  .with("trainer", s.name)
                  .with("sample", one.sample_id())
                  .with("job", one.slot().job())
                  .with("step", one.slot().step())
                  .with("slot", one.slot_index())
                  .with("oldest", one.oldest_version())
                  .with("version", at.weight_version)
                  .with("bound", b.staleness_bound)
                  .with("runs", runs_text(one)));
}

} // namespace

void
run_trainer(const trainer_settings& s, const std::atomic<bool>& stopped)
{
  rollout::trainer_client::builder builder;
  builder.trainer(s.name).start_at(load_cursor(s.state_file)).wait_ms(500);
  for (const auto& e : s.entries) {
    builder.entry(e);
  }
  auto client = builder.build();
  auto began = process::steady_ms();
  std::uint64_t samples = 0;
  while (!stopped && client.position().step <= s.steps) {
    const auto at = client.position();
    const auto b = client.fetch();
    if (!b) {
      rest(std::max<std::uint32_t>(b.error.retry_after_ms, 50));
      continue;
    }
    for (const auto& one : b.value.samples) {
      log_sample(s, one, b.value, at);
      ++samples;
    }
    if (!b.value.samples.empty()) {
      save_cursor(s.state_file, client.position());
    }
    if (!b.value.step_whole) {
      continue;
    }
    const auto waited = process::steady_ms() - began;
    rest(s.train_ms);
    timeline::log(timeline::event{ "step_completed" }
                    .with("trainer", s.name)
                    .with("step", at.step)
                    .with("size", b.value.step_size)
                    .with("samples", samples)
                    .with("idle_ms", waited)
                    .with("train_ms", s.train_ms));
    samples = 0;
    began = process::steady_ms();
    while (!stopped && client.publish(at.weight_version + 1)) {
      rest(100);
    }
    save_cursor(s.state_file, client.position());
  }
}

} // namespace cactusford::standins
