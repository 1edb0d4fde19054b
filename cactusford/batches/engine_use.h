// Tracks how many runs other instances have on each engine, from their own
// reports. Does no I/O.
//
// Owners of several trainers start their steps at the same moment, on the same
// engines. Each owner knows an engine's load only from the responses to its own
// runs, which is out of date after a second, and an engine that has sent no
// response counts as empty. Without these reports, one engine in three had more
// runs than slots while others had free slots. Owners therefore report their
// running items to each other several times a second.
#pragma once

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cactusford::batches {

// Number of runs by engine id.
using engine_runs = std::map<std::string, std::uint32_t>;

struct engine_usage_report
{
  std::string instance;
  engine_runs runs;

  friend bool operator==(const engine_usage_report&,
                         const engine_usage_report&) = default;
};

nlohmann::json
encode(const engine_usage_report& report);

store::decoded<engine_usage_report>
decode_engine_usage_report(const nlohmann::json& j);

// The latest reports of the other instances.
struct peer_engine_usage
{
  struct received_report
  {
    engine_runs runs;
    std::uint64_t at_ms = 0;

    friend bool operator==(const received_report&,
                           const received_report&) = default;
  };
  std::map<std::string, received_report> by_instance;

  friend bool operator==(const peer_engine_usage&,
                         const peer_engine_usage&) = default;
};

void
record_report(peer_engine_usage& usage,
              engine_usage_report report,
              std::uint64_t now_ms);

// Returns the number of runs by engine, summed over all recent reports.
engine_runs
total_runs(const peer_engine_usage& usage, std::uint64_t now_ms);

} // namespace cactusford::batches
