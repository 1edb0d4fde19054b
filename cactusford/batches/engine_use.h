// Runs that other instances have at the engines, by their own word. Pure.
//
// Pattern: owners of four trainers begin their steps at the same moment, on
// engines that each of them knows only from the answers to its own runs. What
// it hears is old after a second, and an engine that says nothing counts as
// empty: one engine in three had more runs than places, while others had places
// free. So owners tell each other what they have running, some times a second.
#pragma once

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cactusford::batches {

// Runs by engine.
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

// What is known of the others.
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

// All that was told lately, by engine.
engine_runs
sum(const use_of_others& u, std::uint64_t now_ms);

} // namespace cactusford::batches
