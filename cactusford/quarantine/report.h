// Crash reports as store objects. Each report is written once under a unique
// name, so that concurrent reports from several instances never conflict and a
// delayed write cannot overwrite another object.
#pragma once

#include "cactusford/quarantine/evidence.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

namespace cactusford::quarantine {

constexpr std::string_view report_kind = "ended-backends";

// Maximum sizes of a report. A larger one is the mistake of another writer and
// is rejected.
constexpr std::size_t max_crashes = 64;
constexpr std::size_t max_fingerprints = 64;

nlohmann::json
encode(const report& r);

store::decoded<report>
report_from(const nlohmann::json& spec);

// A name that is unique for the instance and time; names sort by instance.
std::string
report_name(const std::string& instance, std::uint64_t at_ms);

// All instances that want to try this request on the same evidence get the same
// name, so that the store lets only one of them create the object.
std::string
trial_name(const fingerprint& f, const decision& d);

bool
is_reported_by(const std::string& name, const std::string& instance);

} // namespace cactusford::quarantine
