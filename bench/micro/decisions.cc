// Micro-benchmarks of the decisions that do no I/O, at the current size of the
// system and at its target size.

#include "cactusford/admission/queue.h"
#include "cactusford/calls/record.h"
#include "cactusford/configuration/state.h"
#include "cactusford/configuration/tree.h"
#include "cactusford/rollout/step.h"
#include "cactusford/routing/choose.h"
#include "cactusford/workspaces/directory.h"

#include <benchmark/benchmark.h>

using namespace cactusford;

namespace {

constexpr std::int64_t current_workers = 9;
constexpr std::int64_t target_workers = 11000;
constexpr std::int64_t target_slots = 8192;
constexpr std::int64_t target_processes = 12100;
constexpr std::int64_t current_workspaces = 84;
constexpr std::int64_t many_workspaces = 10000;

routing::pool_state
make_pool_state(std::int64_t workers)
{
  std::vector<routing::target> targets;
  for (std::int64_t i = 0; i < workers; ++i) {
    routing::target t;
    t.instance = "worker-" + std::to_string(i);
    targets.push_back(std::move(t));
  }
  return routing::make_pool(std::move(targets));
}

void
route(benchmark::State& state)
{
  auto pool = make_pool_state(state.range(0));
  std::uint64_t key = 1;
  std::uint64_t now = 1;
  while (state.KeepRunning()) {
    key = key * 6364136223846793005ULL + 1;
    const auto chosen = routing::choose(pool, key, {}, {}, ++now);
    routing::note_sent(pool, *chosen);
    routing::note_returned(pool, *chosen);
    benchmark::DoNotOptimize(chosen);
  }
  state.counters["bytes"] = static_cast<double>(
    pool.targets.size() * (sizeof(routing::target) + 32) +
    pool.by_hash.points.size() * sizeof(routing::ring::point));
}
BENCHMARK(route)->Arg(current_workers)->Arg(1000)->Arg(target_workers);

std::vector<platform::object>
make_instances(std::int64_t count)
{
  std::vector<platform::object> objects;
  for (std::int64_t i = 0; i < count; ++i) {
    const auto number = std::to_string(i);
    objects.push_back({ "instance",
                        "instance-" + number,
                        static_cast<std::uint64_t>(i + 1),
                        false,
                        R"({"role":"sidecar","region":"r","data_centre":"dc)" +
                          std::to_string(i % 9) +
                          R"(","link":"10.0.0.1:7000","serves":"p",)"
                          R"("state":"live"})",
                        "" });
  }
  return objects;
}

// Loads all objects into an empty state, as at startup.
void
load_configuration(benchmark::State& state)
{
  const auto objects = make_instances(state.range(0));
  while (state.KeepRunning()) {
    configuration::state s;
    benchmark::DoNotOptimize(configuration::merge(s, objects));
  }
}
BENCHMARK(load_configuration)
  ->Arg(17)
  ->Arg(1000)
  ->Arg(target_processes)
  ->Unit(benchmark::kMillisecond);

// Merges one change into a complete state.
void
merge_change(benchmark::State& state)
{
  configuration::state s;
  configuration::merge(s, make_instances(state.range(0)));
  std::uint64_t version = s.max_version;
  while (state.KeepRunning()) {
    const platform::object change{ "trainer",          "t", ++version, false,
                                   R"({"model":"m"})", "" };
    benchmark::DoNotOptimize(configuration::merge(s, std::span{ &change, 1 }));
  }
}
BENCHMARK(merge_change)->Arg(17)->Arg(target_processes);

void
find_place(benchmark::State& state)
{
  configuration::state s;
  configuration::merge(s, make_instances(state.range(0)));
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(
      configuration::find_position(*s.view->instances, "instance-5", "dc5"));
  }
}
BENCHMARK(find_place)
  ->Arg(17)
  ->Arg(1000)
  ->Arg(target_processes)
  ->Unit(benchmark::kMicrosecond);

void
queue_and_pop(benchmark::State& state)
{
  admission::queue q;
  std::uint64_t id = 0;
  const auto flows = state.range(0);
  const auto flow = [&] {
    return "trainer-" + std::to_string(id % static_cast<std::uint64_t>(flows));
  };
  for (int i = 0; i < 128; ++i) {
    ++id;
    admission::push(
      q, { id, admission::call_class::rollout, flow(), 0.1, id % 700 });
  }
  while (state.KeepRunning()) {
    ++id;
    admission::push(
      q, { id, admission::call_class::rollout, flow(), 0.1, id % 700 });
    const auto c = admission::pop_rollout(q);
    admission::charge(q, c->flow, 200);
    admission::note_finished(q, c->flow);
  }
}
BENCHMARK(queue_and_pop)->Arg(1)->Arg(7);

void
admit_key(benchmark::State& state)
{
  calls::idempotency_record r;
  r.limits.max_entries = 2'000'000;
  r.limits.max_bytes = 1U << 30;
  const auto answer =
    std::make_shared<const calls::stored_answer>(calls::stored_answer{});
  std::uint64_t id = 0;
  constexpr std::uint64_t now = 10'000'000;
  while (state.KeepRunning()) {
    const auto key = "01a23817-13cf-79fb-b1b5-" + std::to_string(++id);
    calls::admit(r, { key, now, 1 }, now);
    calls::store_answer(r, key, answer);
    if (r.entries.size() > 100000) {
      state.PauseTiming();
      r.entries.clear();
      r.order.clear();
      r.bytes = 0;
      state.ResumeTiming();
    }
  }
}
BENCHMARK(admit_key);

// Handles a fetch for a whole step: marks the samples that the trainer already
// has and finds those that are ready.
void
fetch_step(benchmark::State& state)
{
  const auto groups = static_cast<std::uint32_t>(state.range(0) / 8);
  auto step = rollout::make_step("job", 1, groups, 8);
  std::string held;
  for (std::uint32_t i = 0; i < step.slots.size() / 2; ++i) {
    rollout::set_received(held, i);
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(rollout::mark_received(step, held));
    benchmark::DoNotOptimize(rollout::ready_slots(step, 512));
  }
}
BENCHMARK(fetch_step)
  ->Arg(128)
  ->Arg(target_slots)
  ->Unit(benchmark::kMicrosecond);

// Looks up the API key of a caller, as every call does.
void
find_key(benchmark::State& state)
{
  workspaces::directory::builder b;
  std::vector<std::string> keys;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    b.workspace("workspace-" + std::to_string(i), std::nullopt);
    for (int k = 0; k < 3; ++k) {
      keys.push_back("key-of-twenty-chars-" + std::to_string(3 * i + k));
      b.key(keys.back());
    }
  }
  const auto d = b.build();
  std::size_t index = 0;
  while (state.KeepRunning()) {
    index = (index + 7919) % keys.size();
    benchmark::DoNotOptimize(workspaces::find_workspace(d, keys[index]));
  }
}
BENCHMARK(find_key)->Arg(current_workspaces)->Arg(many_workspaces);

} // namespace

BENCHMARK_MAIN();
