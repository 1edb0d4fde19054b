#include "standins/trainer.h"

#include "cactusford/process/daemon.h"
#include "cactusford/rollout/client.h"
#include "cactusford/rollout/step.h"
#include "cactusford/timeline/event.h"

#include <chrono>
#include <fstream>
#include <thread>

namespace cactusford::standins {

namespace {

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

// Its event log is what it holds: a sample counts as applied once its line is
// written. A line that a crash has cut was not applied and is fetched again.
rollout::cursor
load_cursor(const trainer_settings& s)
{
  rollout::cursor c;
  std::ifstream in{ s.log };
  std::string line;
  while (std::getline(in, line)) {
    const auto r = timeline::parse(line);
    if (!r || r->value("trainer") != s.name) {
      continue;
    }
    if (r->name == "trainer_published") {
      c.step = r->number("step") + 1;
      c.weight_version = r->number("version");
      c.received.clear();
    } else if (r->name == "sample_received" && r->number("step") == c.step) {
      rollout::set_received(c.received,
                            static_cast<std::uint32_t>(r->number("slot")));
      c.fence = std::max(c.fence, r->number("fence"));
    }
  }
  return c;
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
                  .with("fence", at.fence)
                  .with("runs", runs_text(one)));
}

} // namespace

void
run_trainer(const trainer_settings& s, const std::atomic<bool>& stopped)
{
  rollout::trainer_client::builder builder;
  builder.trainer(s.name).start_at(load_cursor(s)).wait_ms(500);
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
      log_sample(s, one, b.value, client.position());
      ++samples;
    }
    if (!b.value.step_complete) {
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
    if (!stopped) {
      timeline::log(timeline::event{ "trainer_published" }
                      .with("trainer", s.name)
                      .with("step", at.step)
                      .with("version", at.weight_version + 1));
    }
  }
}

} // namespace cactusford::standins
