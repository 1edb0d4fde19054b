#include "cactusford/batches/engine_use.h"

#include <limits>

namespace cactusford::batches {

namespace {

// Owners tell several times a second; one that is silent for longer has ended,
// or is cut off from us.
constexpr std::uint64_t word_age_limit_ms = 800;

// A larger message is another writer's mistake.
constexpr std::size_t most_engines = 20000;

} // namespace

nlohmann::json
encode(const told_use& t)
{
  auto runs = nlohmann::json::object();
  for (const auto& [engine, count] : t.runs) {
    runs[engine] = count;
  }
  return { { "instance", t.instance }, { "runs", std::move(runs) } };
}

store::decoded<told_use>
told_use_from(const nlohmann::json& j)
{
  return store::try_decode([&] {
    told_use t;
    t.instance = store::string_field(j, "instance");
    const auto& runs = store::field(j, "runs");
    if (!runs.is_object() || runs.size() > most_engines) {
      throw store::field_error{ { "runs", "no runs by engine" } };
    }
    for (const auto& [engine, count] : runs.items()) {
      const auto n = store::uint_field(runs, engine.c_str());
      if (n > std::numeric_limits<std::uint32_t>::max()) {
        throw store::field_error{ { engine, "too large" } };
      }
      t.runs[engine] = static_cast<std::uint32_t>(n);
    }
    return t;
  });
}

void
note(use_of_others& u, told_use t, std::uint64_t now_ms)
{
  u.by_instance[t.instance] = { std::move(t.runs), now_ms };
  std::erase_if(u.by_instance, [now_ms](const auto& e) {
    return now_ms - e.second.at_ms > word_age_limit_ms;
  });
}

engine_runs
sum(const use_of_others& u, std::uint64_t now_ms)
{
  engine_runs all;
  for (const auto& [instance, h] : u.by_instance) {
    if (now_ms - h.at_ms > word_age_limit_ms) {
      continue;
    }
    for (const auto& [engine, count] : h.runs) {
      all[engine] += count;
    }
  }
  return all;
}

} // namespace cactusford::batches
