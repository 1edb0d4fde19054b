#include "cactusford/batches/progress.h"

#include "cactusford/batches/ledger.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace cactusford::batches {

namespace {

using nlohmann::json;

json
encode_texts(const texts_by_item& texts)
{
  auto list = json::array();
  for (const auto& [item, t] : texts) {
    list.push_back({ { "item", item },
                     { "last_event", t.last_event },
                     { "count", t.events },
                     { "text", t.text },
                     { "weights", t.versions },
                     { "weight", t.version },
                     { "complete", t.complete } });
  }
  return list;
}

json
encode_failures(const failures_by_item& failures)
{
  auto list = json::array();
  for (const auto& [item, f] : failures) {
    list.push_back(
      { { "item", item }, { "runs", f.runs }, { "scores", f.scores } });
  }
  return list;
}

// Throws `store::field_error`.
texts_by_item::value_type
text_from(const json& j)
{
  item_text t;
  t.last_event = store::uint_field(j, "last_event");
  t.events = store::uint_field(j, "count");
  t.text = store::string_field(j, "text");
  t.versions = store::uint_array_field(j, "weights");
  t.version = store::uint_field(j, "weight");
  t.complete = store::bool_field_or(j, "complete", false);
  return { store::string_field(j, "item"), std::move(t) };
}

// Throws `store::field_error`.
failures_by_item::value_type
failures_from(const json& j)
{
  constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
  const auto count = [&](const char* key) {
    return static_cast<std::uint32_t>(
      std::min(store::uint_field(j, key), most));
  };
  return { store::string_field(j, "item"), { count("runs"), count("scores") } };
}

// Skipping a damaged entry is safe: repeating its runs only costs time.
template<typename T>
void
read_list(const json& spec, const char* key, T& into, auto&& read_entry)
{
  const auto list =
    store::try_decode([&] { return store::array_field(spec, key); });
  if (!list) {
    return;
  }
  for (const auto& j : *list) {
    const auto entry = store::try_decode([&] { return read_entry(j); });
    if (entry) {
      into.insert(*entry);
    }
  }
}

} // namespace

bool
is_empty(const progress& p)
{
  return p.texts.empty() && p.failures.empty() && p.finished.empty();
}

json
encode_progress(const progress& p)
{
  return { { "list", encode_texts(p.texts) },
           { "failures", encode_failures(p.failures) },
           { "finished", encode_chunk({ 0, p.finished }) } };
}

progress
decode_progress(const json& spec)
{
  progress p;
  read_list(spec, "list", p.texts, text_from);
  read_list(spec, "failures", p.failures, failures_from);
  auto finished = store::try_decode(
    [&] { return decode_chunk(store::field(spec, "finished")); });
  if (finished && *finished) {
    p.finished = std::move((*finished)->results);
  }
  return p;
}

} // namespace cactusford::batches
