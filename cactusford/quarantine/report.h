// Reports as objects of the store. Each is written once, under a name of its
// own: instances that report at the same time never meet in a conditional
// write, and a write that is carried out late changes nothing else.
#pragma once

#include "cactusford/quarantine/evidence.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

namespace cactusford::quarantine {

constexpr std::string_view report_kind = "ended-backends";

// What one report may hold: a larger one is another writer's mistake.
constexpr std::size_t most_lives = 64;
constexpr std::size_t most_works = 64;

nlohmann::json
encode(const report& r);

store::decoded<report>
report_from(const nlohmann::json& spec);

// Unique among all instances and times; sorts by instance.
std::string
name_of_report(const std::string& instance, std::uint64_t at_ms);

// The same at all instances that would try this request in this span of time:
// the store lets one of them create it.
std::string
name_of_trial(const fingerprint& f, std::uint64_t slot);

bool
is_reported_by(const std::string& name, const std::string& instance);

} // namespace cactusford::quarantine
