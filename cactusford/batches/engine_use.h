// Tracks how many runs other instances have on each engine, from their own
// reports. Does no I/O.
//
// Owners of several trainers start their steps at the same moment, on the same
// engines. Each owner knows an engine's load only from the responses to its own
// runs, which is out of date after a second, and an engine that has sent no
// response counts as empty. Without these reports, one engine in three had more
// runs than slots while others had free slots. Owners therefore report their
// running items to each other several times a second, and how many items they
// have in all, from which each owner derives how the slots are divided (see
// `engine_shares.h`).
#pragma once

#include "cactusford/batches/version_pins.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusford::batches {

// Upper limit for the weight of an owner, which bounds the products in the
// division of slots.
constexpr std::uint32_t max_owner_weight = 1'000'000;

// Number of runs by engine id.
using engine_runs = std::map<std::string, std::uint32_t>;

// What an owner needs of an engine service.
struct service_demand
{
  // Items that are running or waiting for an engine.
  std::uint32_t items = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const service_demand&,
                         const service_demand&) = default;
};

using demand_by_service = std::map<std::string, service_demand>;

struct engine_usage_report
{
  std::string instance;
  engine_runs runs;
  // Absent in the reports of earlier builds.
  std::optional<demand_by_service> demand = std::nullopt;
  // Also sent to the relays, unlike the rest.
  pinned_engines pinned = {};

  friend bool operator==(const engine_usage_report&,
                         const engine_usage_report&) = default;
};

nlohmann::json
encode(const engine_usage_report& report);

store::decoded<engine_usage_report>
decode_engine_usage_report(const nlohmann::json& j);

// The demands for one service that an owner had in the last 8 s.
struct demand_history
{
  // Times and numbers of items, in falling numbers: only those that may become
  // the largest of the remaining period.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> peaks;
  std::uint32_t items = 0;
  std::uint32_t weight = 1;
  // When the demand last rose as it does with a new batch.
  std::uint64_t rose_at_ms = 0;

  friend bool operator==(const demand_history&,
                         const demand_history&) = default;
};

void
record_demand(demand_history& h, std::uint32_t items, std::uint64_t now_ms);

// Returns the largest recorded demand of the last 8 s, or nothing if none was
// recorded in that time.
std::optional<std::uint32_t>
peak_demand(const demand_history& h, std::uint64_t now_ms);

// The latest reports of the other instances.
struct peer_engine_usage
{
  struct received_report
  {
    engine_runs runs;
    demand_by_service demand;
    pinned_engines pinned;
    std::uint64_t at_ms = 0;

    friend bool operator==(const received_report&,
                           const received_report&) = default;
  };
  std::map<std::string, received_report> by_instance;
  // By instance and service. Outlives the reports.
  std::map<std::string, std::map<std::string, demand_history>> demands;

  friend bool operator==(const peer_engine_usage&,
                         const peer_engine_usage&) = default;
};

// Returns what the recent reports of other instances say of one engine.
pinned_models
reported_pins(const peer_engine_usage& usage,
              const std::string& engine,
              std::uint64_t now_ms);

void
record_report(peer_engine_usage& usage,
              engine_usage_report report,
              std::uint64_t now_ms);

// Returns the latest report of the instance, or null if it has expired.
const peer_engine_usage::received_report*
find_report(const peer_engine_usage& usage,
            const std::string& instance,
            std::uint64_t now_ms);

const demand_history*
find_demand(const peer_engine_usage& usage,
            const std::string& instance,
            const std::string& service);

// Returns true if the instance reported a demand in the last 8 s.
bool
had_demand(const peer_engine_usage& usage,
           const std::string& instance,
           std::uint64_t now_ms);

// Returns the number of runs by engine, summed over all recent reports.
engine_runs
total_runs(const peer_engine_usage& usage, std::uint64_t now_ms);

} // namespace cactusford::batches
