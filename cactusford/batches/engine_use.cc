#include "cactusford/batches/engine_use.h"

#include <algorithm>
#include <limits>

namespace cactusford::batches {

namespace {

// Owners report several times a second. If no report has arrived for longer
// than this, the owner has stopped or is unreachable.
constexpr std::uint64_t report_max_age_ms = 800;

// Upper limit for the number of engines in a report. A larger message is
// malformed.
constexpr std::size_t max_engines = 20000;
constexpr std::size_t max_services = 1000;

// Larger figures would overflow the division of slots.
constexpr std::uint64_t max_items = 10'000'000;

// Two steps of a trainer.
constexpr std::uint64_t demand_history_ms = 8000;

// Runs that are paused for a moment change the demand by a few items; a step
// has a hundred.
constexpr std::uint32_t min_rise = 8;

std::uint32_t
bounded_field(const nlohmann::json& j,
              const char* key,
              std::uint64_t lowest,
              std::uint64_t highest)
{
  const auto n = store::uint_field(j, key);
  if (n < lowest || n > highest) {
    throw store::field_error{ { key, "out of range" } };
  }
  return static_cast<std::uint32_t>(n);
}

demand_by_service
decode_demand(const nlohmann::json& j)
{
  if (!j.is_object() || j.size() > max_services) {
    throw store::field_error{ { "demand",
                                "not an object of demands by service" } };
  }
  demand_by_service demand;
  for (const auto& [service, d] : j.items()) {
    demand[service] = { bounded_field(d, "items", 0, max_items),
                        bounded_field(d, "weight", 1, max_owner_weight) };
  }
  return demand;
}

} // namespace

nlohmann::json
encode(const engine_usage_report& report)
{
  auto runs = nlohmann::json::object();
  for (const auto& [engine, count] : report.runs) {
    runs[engine] = count;
  }
  nlohmann::json j{ { "instance", report.instance },
                    { "runs", std::move(runs) } };
  if (!report.pinned.empty()) {
    j["pinned"] = encode_pins(report.pinned);
  }
  if (report.demand) {
    auto& demand = j["demand"] = nlohmann::json::object();
    for (const auto& [service, d] : *report.demand) {
      demand[service] = { { "items", d.items }, { "weight", d.weight } };
    }
  }
  return j;
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
    if (store::has_field(j, "pinned")) {
      report.pinned = decode_pins(store::field(j, "pinned"));
    }
    if (store::has_field(j, "demand")) {
      report.demand = decode_demand(store::field(j, "demand"));
    }
    return report;
  });
}

void
record_demand(demand_history& h, std::uint32_t items, std::uint64_t now_ms)
{
  if (items >= h.items + min_rise) {
    h.rose_at_ms = now_ms;
  }
  h.items = items;
  std::erase_if(h.peaks, [&](const auto& p) {
    return p.second <= items || now_ms - p.first > demand_history_ms;
  });
  h.peaks.emplace_back(now_ms, items);
}

std::optional<std::uint32_t>
peak_demand(const demand_history& h, std::uint64_t now_ms)
{
  for (const auto& [at_ms, items] : h.peaks) {
    if (now_ms - at_ms <= demand_history_ms) {
      return items;
    }
  }
  return std::nullopt;
}

void
record_report(peer_engine_usage& usage,
              engine_usage_report report,
              std::uint64_t now_ms)
{
  auto demand = std::move(report.demand).value_or(demand_by_service{});
  auto& histories = usage.demands[report.instance];
  for (const auto& [service, d] : demand) {
    auto& history = histories[service];
    record_demand(history, d.items, now_ms);
    history.weight = d.weight;
  }
  // A service that is no longer listed has no demand.
  for (auto& [service, h] : histories) {
    if (!demand.contains(service)) {
      record_demand(h, 0, now_ms);
    }
  }
  usage.by_instance[report.instance] = {
    std::move(report.runs), std::move(demand), std::move(report.pinned), now_ms
  };
  std::erase_if(usage.by_instance, [now_ms](const auto& e) {
    return now_ms - e.second.at_ms > report_max_age_ms;
  });
  for (auto& [instance, by_service] : usage.demands) {
    std::erase_if(by_service, [now_ms](const auto& h) {
      return peak_demand(h.second, now_ms).value_or(0) == 0;
    });
  }
  std::erase_if(usage.demands, [](const auto& e) { return e.second.empty(); });
}

pinned_models
reported_pins(const peer_engine_usage& usage,
              const std::string& engine,
              std::uint64_t now_ms)
{
  pinned_models all;
  for (const auto& [instance, received] : usage.by_instance) {
    const auto age_ms = now_ms - received.at_ms;
    const auto found = received.pinned.find(engine);
    if (found != received.pinned.end() && age_ms <= report_max_age_ms) {
      merge(all, found->second, age_ms);
    }
  }
  return all;
}

const peer_engine_usage::received_report*
find_report(const peer_engine_usage& usage,
            const std::string& instance,
            std::uint64_t now_ms)
{
  const auto found = usage.by_instance.find(instance);
  const bool is_known = found != usage.by_instance.end() &&
                        now_ms - found->second.at_ms <= report_max_age_ms;
  return is_known ? &found->second : nullptr;
}

const demand_history*
find_demand(const peer_engine_usage& usage,
            const std::string& instance,
            const std::string& service)
{
  const auto owner = usage.demands.find(instance);
  if (owner == usage.demands.end()) {
    return nullptr;
  }
  const auto found = owner->second.find(service);
  return found == owner->second.end() ? nullptr : &found->second;
}

bool
had_demand(const peer_engine_usage& usage,
           const std::string& instance,
           std::uint64_t now_ms)
{
  const auto owner = usage.demands.find(instance);
  return owner != usage.demands.end() &&
         std::any_of(
           owner->second.begin(), owner->second.end(), [now_ms](const auto& e) {
             return peak_demand(e.second, now_ms).value_or(0) > 0;
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
