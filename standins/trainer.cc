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
sleep_for_ms(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

std::string
format_runs(const rollout::sample& s)
{
  std::string text;
  for (const auto& run : s.runs()) {
    text += (text.empty() ? "" : ",") + std::to_string(run.weight_version()) +
            ":" + std::to_string(run.tokens());
  }
  return text;
}

// Restores the position of the trainer from its event log. A sample counts as
// applied once its line is written; the sample of a line that a crash truncated
// is fetched again.
rollout::cursor
load_cursor(const trainer_settings& s)
{
  rollout::cursor cursor;
  std::ifstream in{ s.log };
  std::string line;
  while (std::getline(in, line)) {
    const auto event = timeline::parse(line);
    if (!event || event->value("trainer") != s.name) {
      continue;
    }
    if (event->name == "trainer_published") {
      cursor.step = event->number("step") + 1;
      cursor.weight_version = event->number("version");
      cursor.received.clear();
    } else if (event->name == "sample_received" &&
               event->number("step") == cursor.step) {
      rollout::set_received(cursor.received,
                            static_cast<std::uint32_t>(event->number("slot")));
      cursor.fence = std::max(cursor.fence, event->number("fence"));
    }
  }
  return cursor;
}

void
log_sample(const trainer_settings& s,
           const rollout::sample& sample,
           const rollout::batch& batch,
           const rollout::cursor& position)
{
  timeline::log(timeline::event{ "sample_received" }
                  .with("trainer", s.name)
                  .with("sample", sample.sample_id())
                  .with("job", sample.slot().job())
                  .with("step", sample.slot().step())
                  .with("slot", sample.slot_index())
                  .with("oldest", sample.oldest_version())
                  .with("version", position.weight_version)
                  .with("bound", batch.staleness_bound)
                  .with("fence", position.fence)
                  .with("runs", format_runs(sample)));
}

} // namespace

void
run_trainer(const trainer_settings& s, const std::atomic<bool>& stopped)
{
  rollout::trainer_client::builder builder;
  builder.trainer(s.name).start_at(load_cursor(s)).wait_ms(500);
  for (const auto& address : s.entries) {
    builder.entry(address);
  }
  auto client = builder.build();
  auto wait_started_ms = process::steady_ms();
  std::uint64_t samples = 0;
  while (!stopped && client.position().step <= s.steps) {
    const auto position = client.position();
    const auto batch = client.fetch();
    if (!batch) {
      sleep_for_ms(std::max<std::uint32_t>(batch.error.retry_after_ms, 50));
      continue;
    }
    for (const auto& sample : batch.value.samples) {
      log_sample(s, sample, batch.value, client.position());
      ++samples;
    }
    if (!batch.value.step_complete) {
      continue;
    }
    const auto waited_ms = process::steady_ms() - wait_started_ms;
    sleep_for_ms(s.train_ms);
    timeline::log(timeline::event{ "step_completed" }
                    .with("trainer", s.name)
                    .with("step", position.step)
                    .with("size", batch.value.step_size)
                    .with("samples", samples)
                    .with("idle_ms", waited_ms)
                    .with("train_ms", s.train_ms));
    samples = 0;
    wait_started_ms = process::steady_ms();
    while (!stopped && client.publish(position.weight_version + 1)) {
      sleep_for_ms(100);
    }
    if (!stopped) {
      timeline::log(timeline::event{ "trainer_published" }
                      .with("trainer", s.name)
                      .with("step", position.step)
                      .with("version", position.weight_version + 1));
    }
  }
}

} // namespace cactusford::standins
