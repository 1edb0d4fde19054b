#include "cactusford/batches/engine_use.h"

#include <limits>

namespace cactusford::batches {

namespace {

// Owners report several times a second. If no report has arrived for longer
// than this, the owner has stopped or is unreachable.
constexpr std::uint64_t report_max_age_ms = 800;

// Upper limit for the number of engines in a report. A larger message is
// malformed.
constexpr std::size_t max_engines = 20000;

} // namespace

nlohmann::json
encode(const engine_usage_report& report)
{
  auto runs = nlohmann::json::object();
  for (const auto& [engine, count] : report.runs) {
    runs[engine] = count;
  }
  return { { "instance", report.instance }, { "runs", std::move(runs) } };
}

store::decoded<engine_usage_report>
decode_engine_usage_report(const nlohmann::json& j)
{
  return store::try_decode([&] {
    engine_usage_report report;
    report.instance = store::string_field(j, "instance");
    const auto& runs = store::field(j, "runs");
    if (!runs.is_object() || runs.size() > max_engines) {
      throw store::field_error{ { "runs", "not an object of runs by engine" } };
    }
    for (const auto& [engine, count] : runs.items()) {
      const auto n = store::uint_field(runs, engine.c_str());
      if (n > std::numeric_limits<std::uint32_t>::max()) {
        throw store::field_error{ { engine, "too large" } };
      }
      report.runs[engine] = static_cast<std::uint32_t>(n);
    }
    return report;
  });
}

void
record_report(peer_engine_usage& usage,
              engine_usage_report report,
              std::uint64_t now_ms)
{
  usage.by_instance[report.instance] = { std::move(report.runs), now_ms };
  std::erase_if(usage.by_instance, [now_ms](const auto& e) {
    return now_ms - e.second.at_ms > report_max_age_ms;
  });
}

engine_runs
total_runs(const peer_engine_usage& usage, std::uint64_t now_ms)
{
  engine_runs all;
  for (const auto& [instance, received] : usage.by_instance) {
    if (now_ms - received.at_ms > report_max_age_ms) {
      continue;
    }
    for (const auto& [engine, count] : received.runs) {
      all[engine] += count;
    }
  }
  return all;
}

} // namespace cactusford::batches
