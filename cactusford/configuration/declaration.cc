#include "cactusford/configuration/declaration.h"

#include "cactusford/settings/settings.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace cactusford::configuration {

namespace {

using nlohmann::json;

constexpr std::size_t max_spec_bytes = 256U << 10;

const std::map<std::string, json, std::less<>>&
schemas()
{
  static const std::map<std::string, json, std::less<>> all{
    { "pool", json::parse(R"({"type": "object",
      "additionalProperties": false, "required": ["model"],
      "properties": {
        "model": {"type": "string", "minLength": 1},
        "max_swapping_share": {"type": "number", "minimum": 0.01,
                               "maximum": 1}}})") },
    { "service", json::parse(R"({"type": "object",
      "additionalProperties": false,
      "properties": {
        "deadline_ms": {"type": "integer", "minimum": 1,
                        "maximum": 3600000}}})") },
    { "trainer", json::parse(R"({"type": "object",
      "additionalProperties": false, "required": ["model"],
      "properties": {
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "model": {"type": "string", "minLength": 1},
        "staleness_bound": {"type": "integer", "minimum": 0, "maximum": 64},
        "run_ahead": {"type": "number", "minimum": 0, "maximum": 64}}})") },
    { "rollout_job", json::parse(R"({"type": "object",
      "additionalProperties": false, "required": ["trainer", "pool"],
      "properties": {
        "trainer": {"type": "string", "minLength": 1},
        "pool": {"type": "string", "minLength": 1},
        "scorer": {"type": "string"},
        "steps": {"type": "integer", "minimum": 1, "maximum": 1000000000},
        "groups": {"type": "integer", "minimum": 1, "maximum": 65536},
        "group_size": {"type": "integer", "minimum": 1, "maximum": 1024},
        "max_tokens": {"type": "integer", "minimum": 1, "maximum": 1048576},
        "prompt_tokens": {"type": "integer", "minimum": 1,
                          "maximum": 1048576}}})") },
    { "weights", json::parse(R"({"type": "object",
      "additionalProperties": false, "required": ["model", "version"],
      "properties": {
        "model": {"type": "string", "minLength": 1},
        "version": {"type": "integer", "minimum": 1}}})") },
    { "drain", json::parse(R"({"type": "object",
      "additionalProperties": false,
      "properties": {
        "reason": {"type": "string", "maxLength": 256}}})") },
  };
  return all;
}

bool
is_name(const std::string& name)
{
  constexpr std::size_t max_name = 63;
  return !name.empty() && name.size() <= max_name &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-';
         });
}

// Parses a stored spec. Other writers may have stored it unchecked, so it is
// checked like a declaration. Throws `store::field_error`.
json
parse_spec(std::string_view kind, const std::string& spec)
{
  const auto schema = schemas().find(kind);
  const bool is_declared = schema != schemas().end();
  if (is_declared && spec.size() > max_spec_bytes) {
    throw store::field_error{ { "spec", "too large" } };
  }
  auto j = store::parse_message(spec);
  if (!j.is_object()) {
    throw store::field_error{ { "spec", "not a JSON object" } };
  }
  if (is_declared) {
    if (const auto error = settings::validate(schema->second, j)) {
      throw store::field_error{ { "spec", error.detail } };
    }
  }
  return j;
}

std::vector<std::string>
strings_of(const json& j, const char* key)
{
  std::vector<std::string> all;
  if (!store::has_field(j, key)) {
    return all;
  }
  for (const auto& text : store::array_field(j, key)) {
    if (!text.is_string()) {
      throw store::field_error{ { key, "not an array of strings" } };
    }
    all.push_back(text.get<std::string>());
  }
  return all;
}

const json&
list_of(const json& j, const char* key)
{
  static const auto none = json::array();
  return store::has_field(j, key) ? store::array_field(j, key) : none;
}

} // namespace

const std::vector<std::string>&
declared_kinds()
{
  static const std::vector<std::string> kinds{ "pool",        "service",
                                               "weights",     "trainer",
                                               "rollout_job", "drain" };
  return kinds;
}

bool
is_relayed_kind(std::string_view kind)
{
  return kind != "lease" && kind != "ledger";
}

failure
check_declaration(const std::string& kind,
                  const std::string& name,
                  const std::string& spec)
{
  const auto schema = schemas().find(kind);
  if (schema == schemas().end()) {
    return { error_kind::bad_request,
             "kind '" + kind +
               "' is not one of pool, service, weights, trainer, "
               "rollout_job, drain" };
  }
  if (!is_name(name)) {
    return { error_kind::bad_request,
             "name '" + name + "' needs 1 to 63 of a-z, 0-9 and -" };
  }
  if (spec.size() > max_spec_bytes) {
    return { error_kind::too_large,
             "spec is over " + std::to_string(max_spec_bytes) + " bytes" };
  }
  const auto document = store::parse_message(spec);
  if (document.is_discarded()) {
    return { error_kind::bad_request, "spec is not JSON" };
  }
  if (auto error = settings::validate(schema->second, document)) {
    return { error_kind::bad_request, kind + "/" + name + " " + error.detail };
  }
  return {};
}

store::decoded<pool>
pool_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("pool", spec);
    pool p;
    p.model = j.value("model", p.model);
    p.max_swapping_share = j.value("max_swapping_share", p.max_swapping_share);
    return p;
  });
}

store::decoded<service>
service_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("service", spec);
    service s;
    s.deadline_ms = j.value("deadline_ms", s.deadline_ms);
    return s;
  });
}

store::decoded<trainer>
trainer_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("trainer", spec);
    trainer t;
    t.share = j.value("share", t.share);
    t.model = j.value("model", t.model);
    t.staleness_bound = j.value("staleness_bound", t.staleness_bound);
    t.run_ahead = j.value("run_ahead", t.run_ahead);
    return t;
  });
}

store::decoded<rollout_job>
rollout_job_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("rollout_job", spec);
    rollout_job r;
    r.trainer = j.value("trainer", r.trainer);
    r.pool = j.value("pool", r.pool);
    r.scorer = j.value("scorer", r.scorer);
    r.steps = j.value("steps", r.steps);
    r.groups = j.value("groups", r.groups);
    r.group_size = j.value("group_size", r.group_size);
    r.max_tokens = j.value("max_tokens", r.max_tokens);
    r.prompt_tokens = j.value("prompt_tokens", r.prompt_tokens);
    return r;
  });
}

store::decoded<model_weights>
weights_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("weights", spec);
    model_weights w;
    w.model = j.value("model", w.model);
    w.version = j.value("version", w.version);
    return w;
  });
}

store::decoded<drain>
drain_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("drain", spec);
    drain d;
    d.reason = j.value("reason", d.reason);
    return d;
  });
}

store::decoded<instance>
instance_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("instance", spec);
    instance i;
    i.role = store::string_field_or(j, "role", i.role);
    i.region = store::string_field_or(j, "region", i.region);
    i.data_centre = store::string_field_or(j, "data_centre", i.data_centre);
    i.link = store::string_field_or(j, "link", i.link);
    i.serves = store::string_field_or(j, "serves", i.serves);
    i.state = store::string_field_or(j, "state", "live") == "leaving"
                ? instance_state::leaving
                : instance_state::live;
    return i;
  });
}

store::decoded<home_map>
home_map_from(const std::string& spec)
{
  return store::try_decode([&] {
    const auto j = parse_spec("home_map", spec);
    home_map m;
    for (const auto& item : list_of(j, "members")) {
      m.members.push_back({ store::string_field(item, "instance"),
                            store::uint_field_or(item, "since_ms", 0),
                            store::uint_field_or(item, "incarnation", 0) });
    }
    if (m.members.size() > max_home_members) {
      throw store::field_error{ { "members", "too many entries" } };
    }
    for (const auto& item : list_of(j, "former")) {
      m.former.push_back({ store::string_field(item, "instance"),
                           store::uint_field_or(item, "incarnation", 0),
                           store::uint_field_or(item, "until_ms", 0),
                           strings_of(item, "peers") });
    }
    return m;
  });
}

std::string
to_spec(const model_weights& w)
{
  return json{ { "model", w.model }, { "version", w.version } }.dump();
}

std::string
to_spec(const drain& d)
{
  return d.reason.empty() ? "{}" : json{ { "reason", d.reason } }.dump();
}

std::string
to_spec(const home_map& m)
{
  auto members = json::array();
  for (const auto& member : m.members) {
    members.push_back({ { "instance", member.instance },
                        { "since_ms", member.since_ms },
                        { "incarnation", member.incarnation } });
  }
  auto former = json::array();
  for (const auto& f : m.former) {
    former.push_back({ { "instance", f.instance },
                       { "incarnation", f.incarnation },
                       { "until_ms", f.until_ms },
                       { "peers", f.peers } });
  }
  return json{ { "members", members }, { "former", former } }.dump();
}

} // namespace cactusford::configuration
