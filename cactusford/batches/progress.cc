#include "cactusford/batches/progress.h"

#include <nlohmann/json.hpp>

namespace cactusford::batches {

nlohmann::json
encode_progress(const progress& p)
{
  auto list = nlohmann::json::array();
  for (const auto& [item, t] : p) {
    list.push_back({ { "item", item },
                     { "last_event", t.last_event },
                     { "count", t.events },
                     { "text", t.text },
                     { "weights", t.versions },
                     { "weight", t.version } });
  }
  return { { "list", std::move(list) } };
}

progress
decode_progress(const nlohmann::json& spec)
{
  progress p;
  if (!spec.is_object()) {
    return p;
  }
  for (const auto& j : spec.value("list", nlohmann::json::array())) {
    try {
      item_text t;
      t.last_event = j.at("last_event").get<std::uint64_t>();
      t.events = j.at("count").get<std::uint64_t>();
      t.text = j.at("text").get<std::string>();
      t.versions = j.at("weights").get<std::vector<std::uint64_t>>();
      t.version = j.at("weight").get<std::uint64_t>();
      p[j.at("item").get<std::string>()] = std::move(t);
    } catch (const nlohmann::json::exception&) {
      // Starting this item anew costs time and breaks nothing.
      continue;
    }
  }
  return p;
}

} // namespace cactusford::batches
