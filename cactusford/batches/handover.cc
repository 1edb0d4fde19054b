#include "cactusford/batches/handover.h"

#include "cactusford/batches/ledger.h"

#include <nlohmann/json.hpp>

namespace cactusford::batches {

namespace {

using nlohmann::json;

json
encode_item(const item& i)
{
  auto fields = json::array();
  for (const auto& f : i.fields) {
    fields.push_back({ { "name", f.name }, { "value", f.value } });
  }
  json j{
    { "id", i.id },     { "path", i.path },   { "fields", std::move(fields) },
    { "body", i.body }, { "group", i.group }, { "length", i.length_hint }
  };
  if (i.scorer) {
    j["scorer"] = { { "id", i.scorer->id },
                    { "host", i.scorer->host },
                    { "path", i.scorer->path },
                    { "body", i.scorer->body } };
  }
  return j;
}

// Throws `store::field_error`.
item
item_from(const json& j)
{
  item i;
  i.id = store::string_field(j, "id");
  i.path = store::string_field(j, "path");
  for (const auto& f : store::array_field(j, "fields")) {
    i.fields.push_back(
      { store::string_field(f, "name"), store::string_field(f, "value") });
  }
  i.body = store::string_field(j, "body");
  i.group = store::string_field(j, "group");
  i.length_hint = store::uint_field(j, "length");
  if (store::has_field(j, "scorer")) {
    const auto& s = store::field(j, "scorer");
    i.scorer = scorer_call{ store::string_field(s, "id"),
                            store::string_field(s, "host"),
                            store::string_field(s, "path"),
                            store::string_field(s, "body") };
  }
  return i;
}

json
encode_submission(const submission& s)
{
  auto items = json::array();
  for (const auto& i : s.items) {
    items.push_back(encode_item(i));
  }
  return { { "model", s.model },
           { "step", s.step },
           { "min_version", s.min_version },
           { "desired_groups", s.desired_groups },
           { "items", std::move(items) } };
}

submission
submission_from(const json& j)
{
  submission s;
  s.model = store::string_field(j, "model");
  s.step = store::uint_field(j, "step");
  s.min_version = store::uint_field(j, "min_version");
  s.desired_groups = store::uint_field(j, "desired_groups");
  for (const auto& i : store::array_field(j, "items")) {
    s.items.push_back(item_from(i));
  }
  return s;
}

std::vector<std::string>
strings_from(const json& j, const char* key)
{
  std::vector<std::string> all;
  for (const auto& e : store::array_field(j, key)) {
    if (!e.is_string()) {
      throw store::field_error{ { key, "not an array of strings" } };
    }
    all.push_back(e.get<std::string>());
  }
  return all;
}

// Entries of an earlier version read which texts are complete from a list of
// their own.
std::vector<std::string>
complete_texts(const texts_by_item& texts)
{
  std::vector<std::string> complete;
  for (const auto& [id, t] : texts) {
    if (t.complete) {
      complete.push_back(id);
    }
  }
  return complete;
}

} // namespace

json
encode_handover(const handover& h)
{
  const auto& p = h.progress;
  return { { "batch", h.stored.id },
           { "revision", h.stored.revision },
           { "spec", encode_spec(h.stored) },
           { "status", encode_status(h.stored) },
           { "submission", encode_submission(h.submission) },
           { "listed", h.listed },
           { "finished", encode_chunk({ 0, p.finished }) },
           { "texts", encode_progress({ p.texts, p.failures, {} }) },
           { "complete", complete_texts(p.texts) } };
}

store::decoded<handover>
decode_handover(const json& j)
{
  return store::try_decode([&] {
    handover h;
    const auto id = store::string_field(j, "batch");
    auto stored = decode_batch(id,
                               store::uint_field(j, "revision"),
                               store::field(j, "spec"),
                               store::field(j, "status"));
    if (!stored) {
      throw store::field_error{ stored.fault };
    }
    auto finished = decode_chunk(store::field(j, "finished"));
    if (!finished) {
      throw store::field_error{ finished.fault };
    }
    h.stored = std::move(*stored);
    h.submission = submission_from(store::field(j, "submission"));
    h.listed = strings_from(j, "listed");
    h.progress = decode_progress(store::field(j, "texts"));
    h.progress.finished = std::move(finished->results);
    for (const auto& id : strings_from(j, "complete")) {
      const auto text = h.progress.texts.find(id);
      if (text != h.progress.texts.end()) {
        text->second.complete = true;
      }
    }
    return h;
  });
}

} // namespace cactusford::batches
