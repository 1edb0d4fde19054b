#include "cactusford/batches/version_pins.h"

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cactusford::batches {

namespace {

// More than any deployment has; a larger message is malformed.
constexpr std::size_t max_engines = 20000;
constexpr std::size_t max_models = 64;

void
check_size(const nlohmann::json& j, std::size_t max_size)
{
  if (!j.is_object() || j.size() > max_size) {
    throw store::field_error{ { "pinned", "not an object of ages by model" } };
  }
}

} // namespace

void
merge(pinned_models& all, const pinned_models& more, std::uint64_t ago_ms)
{
  for (const auto& [model, age_ms] : more) {
    auto& oldest = all[model];
    oldest = std::max(oldest, age_ms + ago_ms);
  }
}

nlohmann::json
encode_pins(const pinned_engines& pins)
{
  auto j = nlohmann::json::object();
  for (const auto& [engine, models] : pins) {
    j[engine] = models;
  }
  return j;
}

pinned_engines
decode_pins(const nlohmann::json& j)
{
  check_size(j, max_engines);
  pinned_engines pins;
  for (const auto& [engine, models] : j.items()) {
    check_size(models, max_models);
    for (const auto& entry : models.items()) {
      pins[engine][entry.key()] =
        store::uint_field(models, entry.key().c_str());
    }
  }
  return pins;
}

} // namespace cactusford::batches
