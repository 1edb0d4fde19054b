#include "cactusford/batches/progress.h"

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <utility>

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
  const auto list =
    store::try_decode([&] { return store::array_field(spec, "list"); });
  if (!list) {
    return p;
  }
  for (const auto& j : *list) {
    const auto read = store::try_decode([&] {
      item_text t;
      t.last_event = store::uint_field(j, "last_event");
      t.events = store::uint_field(j, "count");
      t.text = store::string_field(j, "text");
      t.versions = store::uint_array_field(j, "weights");
      t.version = store::uint_field(j, "weight");
      return std::pair{ store::string_field(j, "item"), std::move(t) };
    });
    // Skipping a damaged entry is safe: restarting its item only costs time.
    if (read) {
      p.insert(*read);
    }
  }
  return p;
}

} // namespace cactusford::batches
