#include "cactusford/edge/settings.h"

#include "cactusford/data_centres/homes.h"
#include "cactusford/settings/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace cactusford::edge {

namespace {

using nlohmann::json;

constexpr std::string_view schema_text = R"({
  "type": "object", "additionalProperties": false,
  "required": ["instance", "data_centre", "store"],
  "properties": {
  "instance": {"type": "string", "minLength": 1, "maxLength": 128},
  "data_centre": {"type": "string", "minLength": 1},
  "callers": {"type": "string"},
  "ready": {"type": "string"},
  "peer": {"type": "string"},
  "metrics": {"type": "string"},
  "store": {"type": "string",
            "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$"},
  "peers": {"type": "array", "maxItems": 64,
            "items": {"type": "string"}},
  "engine": {"type": "string"},
  "usage_reports": {"type": "string"},
  "usage_window_s": {"type": "number", "minimum": 0.1, "maximum": 86400},
  "in_force_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
  "capacity": {"type": "number", "minimum": 0.001, "maximum": 1024},
  "keep_batches_s": {"type": "number", "minimum": 1, "maximum": 86400},
  "log_lines_per_second": {"type": "integer", "minimum": 1,
                           "maximum": 100000},
  "grace_s": {"type": "number", "minimum": 1, "maximum": 600},
  "memory_mb": {"type": "integer", "minimum": 0, "maximum": 16777216},
  "request_memory_mb": {"type": "integer", "minimum": 0,
                        "maximum": 16777216},
  "max_connections": {"type": "integer", "minimum": 0, "maximum": 1000000},
  "min_body_rate": {"type": "integer", "minimum": 1, "maximum": 1000000000},
  "disabled": {"type": "array", "uniqueItems": true,
               "items": {"enum": ["engine_shares", "run_health",
                                  "server_speeds", "call_queue", "warm_up",
                                  "reachability", "distances",
                                  "placement_by_data_centre"]}},
  "regions": {"type": "object", "additionalProperties": {"type": "string"}},
  "tolerated_data_centres": {"type": "integer", "minimum": 0, "maximum": 1000},
  "drain_within_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
  "warm_up_excess": {"type": "number", "minimum": 1, "maximum": 100},
  "warm_up_slack": {"type": "integer", "minimum": 0, "maximum": 100000}
  }})";

template<typename T>
void
read_key(const json& document, const char* key, T& value)
{
  const auto found = document.find(key);
  if (found != document.end()) {
    found->get_to(value);
  }
}

// Reads a duration that the file gives in seconds and converts it to
// milliseconds.
void
read_seconds(const json& document, const char* key, std::uint64_t& ms)
{
  constexpr double ms_per_second = 1000;
  const auto found = document.find(key);
  if (found != document.end()) {
    ms = static_cast<std::uint64_t>(found->get<double>() * ms_per_second);
  }
}

// Rounds fractions down where the schema has an integer. A platform may write a
// number of milliseconds as 2000.0.
void
round_integers(const json& schema, json& document)
{
  if (!document.is_object()) {
    return;
  }
  constexpr double max_exact = 1e15;
  for (const auto& [key, rule] : schema.at("properties").items()) {
    const auto found = document.find(key);
    const bool is_fraction = rule.value("type", "") == "integer" &&
                             found != document.end() &&
                             found->is_number_float();
    if (is_fraction && std::abs(found->get<double>()) < max_exact) {
      *found = static_cast<std::int64_t>(std::floor(found->get<double>()));
    }
  }
}

mechanism_switches
switches_from(const std::vector<std::string>& disabled)
{
  const auto is_on = [&](std::string_view name) {
    return std::find(disabled.begin(), disabled.end(), name) == disabled.end();
  };
  return { is_on("engine_shares"), is_on("run_health"),
           is_on("server_speeds"), is_on("call_queue"),
           is_on("warm_up"),       is_on("reachability"),
           is_on("distances"),     is_on("placement_by_data_centre") };
}

} // namespace

bool
distinguishes_data_centres(const hosted_settings& s)
{
  return s.tolerated_data_centres > 0 ||
         data_centres::has_several_regions(s.regions);
}

result<hosted_settings>
hosted_settings_from(std::string_view json_text)
{
  auto document = json::parse(json_text, nullptr, false, true);
  if (document.is_discarded()) {
    return { {}, { error_kind::settings_invalid, "the file is not JSON" } };
  }
  const auto schema = json::parse(schema_text);
  round_integers(schema, document);
  if (auto error = settings::validate(schema, document)) {
    return { {}, error };
  }
  hosted_settings s;
  read_key(document, "instance", s.instance);
  read_key(document, "data_centre", s.data_centre);
  read_key(document, "callers", s.callers);
  read_key(document, "ready", s.ready);
  read_key(document, "peer", s.peer);
  read_key(document, "metrics", s.metrics);
  read_key(document, "store", s.store);
  read_key(document, "peers", s.peers);
  read_key(document, "engine", s.engine);
  read_key(document, "usage_reports", s.usage_reports);
  read_seconds(document, "usage_window_s", s.usage_window_ms);
  read_key(document, "in_force_ms", s.in_force_ms);
  read_key(document, "capacity", s.capacity);
  read_seconds(document, "keep_batches_s", s.keep_batches_ms);
  read_key(document, "log_lines_per_second", s.log_lines_per_second);
  read_seconds(document, "grace_s", s.grace_ms);
  read_key(document, "memory_mb", s.memory_mb);
  read_key(document, "request_memory_mb", s.request_memory_mb);
  read_key(document, "max_connections", s.max_connections);
  read_key(document, "min_body_rate", s.min_body_rate);
  read_key(document, "regions", s.regions);
  read_key(document, "tolerated_data_centres", s.tolerated_data_centres);
  read_key(document, "drain_within_ms", s.drain_within_ms);
  read_key(document, "warm_up_excess", s.warm_up_excess);
  read_key(document, "warm_up_slack", s.warm_up_slack);
  std::vector<std::string> disabled;
  read_key(document, "disabled", disabled);
  s.mechanisms = switches_from(disabled);
  const auto own_peer = std::find(s.peers.begin(), s.peers.end(), s.peer);
  if (own_peer != s.peers.end()) {
    s.peer_rank = static_cast<std::size_t>(own_peer - s.peers.begin());
    s.peers.erase(own_peer);
  }
  return { s, {} };
}

} // namespace cactusford::edge
