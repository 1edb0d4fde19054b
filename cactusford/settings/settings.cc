#include "cactusford/settings/settings.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cactusford::settings {

namespace {

using nlohmann::json;

constexpr std::string_view address_pattern =
  R"(^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$)";

constexpr std::string_view common_properties = R"(
  "instance": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
  "region": {"type": "string", "minLength": 1},
  "data_centre": {"type": "string", "minLength": 1},
  "link": {"type": "string", "pattern": "ADDRESS"},
  "admin": {"type": "string", "pattern": "ADDRESS"},
  "platform": {"type": "string", "pattern": "ADDRESS"},
  "log": {"type": "string"},
  "ports_file": {"type": "string"},
  "peers": {"type": "array", "maxItems": 64,
            "items": {"type": "string", "pattern": "ADDRESS"}},
  "lease_ms": {"type": "integer", "minimum": 200, "maximum": 600000},
  "max_clock_skew_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
  "drain_limit_ms": {"type": "integer", "minimum": 0, "maximum": 86400000}
)";

constexpr std::string_view entry_properties = R"(
  "http": {"type": "string", "pattern": "ADDRESS"},
  "rpc": {"type": "string", "pattern": "ADDRESS"},
  "max_callers": {"type": "integer", "minimum": 1, "maximum": 65536},
  "max_body_bytes": {"type": "integer", "minimum": 1, "maximum": 8388608},
  "memory_mb": {"type": "integer", "minimum": 0, "maximum": 16777216},
  "request_memory_mb": {"type": "integer", "minimum": 0,
                        "maximum": 16777216},
  "max_connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
  "min_body_rate": {"type": "integer", "minimum": 1, "maximum": 1000000000},
  "default_deadline_ms": {"type": "integer", "minimum": 1,
                          "maximum": 3600000},
  "retry_budget_percent": {"type": "integer", "minimum": 0, "maximum": 100},
  "policy": {"type": "string", "enum": ["cactusford", "baseline"]},
  "disabled": {"type": "array", "items": {"type": "string", "enum":
    ["prefix", "resume", "run_ahead"]}}
)";

constexpr std::string_view sidecar_properties = R"(
  "backend": {"type": "string", "pattern": "ADDRESS"},
  "kind": {"type": "string", "enum": ["engine", "service"]},
  "serves": {"type": "string", "minLength": 1},
  "max_running": {"type": "integer", "minimum": 1, "maximum": 4096},
  "max_queued": {"type": "integer", "minimum": 1, "maximum": 65536},
  "record_limit": {"type": "integer", "minimum": 1, "maximum": 10000000},
  "record_bytes": {"type": "integer", "minimum": 1024,
                   "maximum": 1073741824},
  "record_window_ms": {"type": "integer", "minimum": 1000,
                       "maximum": 86400000}
)";

std::string
with_address_pattern(std::string text)
{
  constexpr std::string_view placeholder = "ADDRESS";
  for (auto at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at)) {
    text.replace(at, placeholder.size(), address_pattern);
    at += address_pattern.size();
  }
  return text;
}

json
schema_of(std::string_view own_properties, std::string_view required)
{
  std::string text = R"({"type": "object", "additionalProperties": false,
    "required": [)";
  text += required;
  text += R"(], "properties": {)";
  text += common_properties;
  text += ",";
  text += own_properties;
  text += "}}";
  return json::parse(with_address_pattern(std::move(text)));
}

result<json>
parse_checked(std::string_view text, const json& schema)
{
  auto document = json::parse(text, nullptr, false, true);
  if (document.is_discarded()) {
    return { {}, { error_kind::settings_invalid, "the file is not JSON" } };
  }
  if (auto error = validate(schema, document)) {
    return { {}, error };
  }
  return { std::move(document), {} };
}

template<typename T>
void
read_key(const json& document, const char* key, T& value)
{
  const auto found = document.find(key);
  if (found != document.end()) {
    found->get_to(value);
  }
}

process_settings
read_process(const json& d)
{
  process_settings s;
  read_key(d, "instance", s.instance);
  read_key(d, "region", s.region);
  read_key(d, "data_centre", s.data_centre);
  read_key(d, "link", s.link);
  read_key(d, "admin", s.admin);
  read_key(d, "platform", s.platform);
  read_key(d, "log", s.log);
  read_key(d, "ports_file", s.ports_file);
  read_key(d, "peers", s.peers);
  read_key(d, "lease_ms", s.lease_ms);
  read_key(d, "max_clock_skew_ms", s.max_clock_skew_ms);
  read_key(d, "drain_limit_ms", s.drain_limit_ms);
  return s;
}

std::string
describe(const valijson::ValidationResults& results)
{
  // The validator reports errors from the root inwards. The deepest error
  // contains the key, and the first one at that depth the reason.
  valijson::ValidationResults copy = results;
  valijson::ValidationResults::Error found;
  valijson::ValidationResults::Error next;
  while (copy.popError(next)) {
    if (next.context.size() > found.context.size() ||
        found.description.empty()) {
      found = next;
    }
  }
  std::string key;
  for (const auto& part : found.context) {
    key += part == "<root>" ? std::string{} : part;
  }
  return "key " + (key.empty() ? "at the top" : key) + ": " + found.description;
}

} // namespace

bool
is_enabled(const entry_settings& s, std::string_view mechanism)
{
  const auto& disabled = s.disabled;
  return s.policy != "baseline" &&
         std::find(disabled.begin(), disabled.end(), mechanism) ==
           disabled.end();
}

failure
validate(const json& schema, const json& document)
{
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter{ schema },
                        compiled);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target{ document };
  if (validator.validate(compiled, target, &results)) {
    return {};
  }
  return { error_kind::settings_invalid, describe(results) };
}

result<std::string>
read_file(const std::string& path)
{
  std::ifstream in{ path, std::ios::binary };
  if (!in) {
    return { {}, { error_kind::settings_invalid, "cannot read " + path } };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return { text.str(), {} };
}

result<entry_settings>
entry_settings_from(std::string_view json_text)
{
  static const json schema = schema_of(
    entry_properties,
    R"("instance", "data_centre", "link", "admin", "platform", "http", "rpc")");
  const auto document = parse_checked(json_text, schema);
  if (!document) {
    return { {}, document.error };
  }
  const auto& d = document.value;
  entry_settings s;
  s.process = read_process(d);
  read_key(d, "http", s.http);
  read_key(d, "rpc", s.rpc);
  read_key(d, "max_callers", s.max_callers);
  read_key(d, "max_body_bytes", s.max_body_bytes);
  read_key(d, "memory_mb", s.memory_mb);
  read_key(d, "request_memory_mb", s.request_memory_mb);
  read_key(d, "max_connections", s.max_connections);
  read_key(d, "min_body_rate", s.min_body_rate);
  read_key(d, "default_deadline_ms", s.default_deadline_ms);
  read_key(d, "retry_budget_percent", s.retry_budget_percent);
  read_key(d, "policy", s.policy);
  read_key(d, "disabled", s.disabled);
  return { s, {} };
}

result<sidecar_settings>
sidecar_settings_from(std::string_view json_text)
{
  static const json schema = schema_of(
    sidecar_properties,
    R"("instance", "data_centre", "link", "admin", "platform", "backend",
       "kind", "serves")");
  const auto document = parse_checked(json_text, schema);
  if (!document) {
    return { {}, document.error };
  }
  const auto& d = document.value;
  sidecar_settings s;
  s.process = read_process(d);
  read_key(d, "backend", s.backend);
  s.kind =
    d.at("kind") == "engine" ? backend_kind::engine : backend_kind::service;
  read_key(d, "serves", s.serves);
  read_key(d, "max_running", s.max_running);
  read_key(d, "max_queued", s.max_queued);
  read_key(d, "record_limit", s.record_limit);
  read_key(d, "record_bytes", s.record_bytes);
  read_key(d, "record_window_ms", s.record_window_ms);
  return { s, {} };
}

} // namespace cactusford::settings
