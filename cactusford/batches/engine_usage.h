// Tracks how many runs other instances have on each engine, from their own
// reports. Pure.
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

struct told_use
{
  std::string instance;
  engine_runs runs;

  friend bool operator==(const told_use&, const told_use&) = default;
};

nlohmann::json
encode(const told_use& t);

store::decoded<told_use>
told_use_from(const nlohmann::json& j);

// The latest reports of the other instances.
struct use_of_others
{
  struct heard
  {
    engine_runs runs;
    std::uint64_t at_ms = 0;

    friend bool operator==(const heard&, const heard&) = default;
  };
  std::map<std::string, heard> by_instance;

  friend bool operator==(const use_of_others&, const use_of_others&) = default;
};

void
note(use_of_others& u, told_use t, std::uint64_t now_ms);

// Returns the number of runs by engine, summed over all recent reports.
engine_runs
sum(const use_of_others& u, std::uint64_t now_ms);

} // namespace cactusford::batches
