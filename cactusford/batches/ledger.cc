#include "cactusford/batches/ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace cactusford::batches {

namespace {

// Approximate size on the wire of a result without its text.
constexpr std::size_t result_overhead = 200;

std::size_t
size_of(const item_result& r)
{
  return r.text.size() + result_overhead;
}

} // namespace

bool
add_result(ledger& l, item_result r, std::uint64_t now_ms)
{
  if (!l.ids.insert(r.id).second) {
    return false;
  }
  if (l.pending.size() == l.writing) {
    l.pending_since_ms = now_ms;
  }
  l.pending.push_back(std::move(r));
  return true;
}

bool
is_listed(const ledger& l, const std::string& item)
{
  return std::any_of(l.listed.begin(), l.listed.end(), [&](const auto& r) {
    return r.id == item;
  });
}

bool
has_result(const ledger& l, const std::string& item)
{
  return l.ids.contains(item);
}

std::vector<item_result>
begin_chunk(ledger& l, std::size_t max_bytes)
{
  std::vector<item_result> chunk;
  std::size_t bytes = 0;
  for (const auto& r : l.pending) {
    bytes += size_of(r);
    if (!chunk.empty() && bytes > max_bytes) {
      break;
    }
    chunk.push_back(r);
  }
  l.writing = chunk.size();
  return chunk;
}

void
adopt_chunk(ledger& l, std::vector<item_result> results)
{
  l.writing = 0;
  l.outcome_unknown = false;
  ++l.chunks;
  for (auto& r : results) {
    std::erase_if(l.pending,
                  [&](const auto& pending) { return pending.id == r.id; });
    if (!is_listed(l, r.id)) {
      l.ids.insert(r.id);
      l.listed.push_back(std::move(r));
    }
  }
}

void
abandon_chunk(ledger& l)
{
  l.writing = 0;
}

void
mark_chunk_unknown(ledger& l)
{
  l.writing = 0;
  l.outcome_unknown = true;
}

bool
is_settled(const ledger& l)
{
  return l.writing == 0 && !l.outcome_unknown;
}

result_page
page_of(const ledger& l,
        std::uint64_t total,
        std::uint64_t after,
        std::size_t max_bytes)
{
  result_page page;
  page.total = total;
  page.next = after;
  std::size_t bytes = 0;
  for (auto at = after; at < l.listed.size(); ++at) {
    bytes += size_of(l.listed[at]);
    if (!page.results.empty() && bytes > max_bytes) {
      break;
    }
    page.results.push_back(l.listed[at]);
    ++page.next;
  }
  return page;
}

std::string
chunk_name(const std::string& batch, std::uint64_t chunk)
{
  std::array<char, 16> number{};
  std::snprintf(number.data(),
                number.size(),
                ".%06llu",
                static_cast<unsigned long long>(chunk));
  return batch + number.data();
}

nlohmann::json
encode_chunk(const stored_chunk& c)
{
  auto list = nlohmann::json::array();
  for (const auto& r : c.results) {
    list.push_back({ { "item", r.id },
                     { "done", r.done },
                     { "text", r.text },
                     { "weights", r.versions },
                     { "score", r.score } });
  }
  return { { "epoch", c.epoch }, { "list", std::move(list) } };
}

store::decoded<stored_chunk>
decode_chunk(const nlohmann::json& spec)
{
  return store::try_decode([&] {
    stored_chunk c;
    c.epoch = store::uint_field(spec, "epoch");
    for (const auto& j : store::array_field(spec, "list")) {
      item_result r;
      r.id = store::string_field(j, "item");
      r.done = store::bool_field(j, "done");
      r.text = store::string_field(j, "text");
      r.versions = store::uint_array_field(j, "weights");
      r.score = store::string_field(j, "score");
      c.results.push_back(std::move(r));
    }
    return c;
  });
}

nlohmann::json
encode_spec(const stored_batch& b)
{
  return { { "caller_host", b.host },
           { "target", b.target },
           { "workspace", b.workspace },
           { "accepted_ms", b.accepted_wall_ms },
           { "accepted_in", b.accepted_in },
           { "items", b.items },
           { "parts", b.parts },
           { "first_owner", b.owner },
           { "first_address", b.owner_address },
           { "first_capacity", b.owner_capacity },
           { "first_data_centre", b.owner_data_centre } };
}

nlohmann::json
encode_status(const stored_batch& b)
{
  return { { "owner", b.owner },
           { "owner_address", b.owner_address },
           { "owner_capacity", b.owner_capacity },
           { "owner_data_centre", b.owner_data_centre },
           { "ended", b.ended } };
}

store::decoded<stored_batch>
decode_batch(const std::string& name,
             std::uint64_t revision,
             const nlohmann::json& spec,
             const nlohmann::json& status)
{
  return store::try_decode([&] {
    stored_batch b;
    b.id = name;
    b.revision = revision;
    b.host = store::string_field(spec, "caller_host");
    b.target = store::string_field(spec, "target");
    b.workspace = store::string_field_or(spec, "workspace", "");
    b.accepted_wall_ms = store::uint_field(spec, "accepted_ms");
    b.accepted_in = store::string_field_or(spec, "accepted_in", "");
    b.items = store::uint_field(spec, "items");
    b.parts = store::uint_field(spec, "parts");
    b.owner = store::string_field(spec, "first_owner");
    b.owner_address = store::string_field(spec, "first_address");
    b.owner_capacity = store::number_field(spec, "first_capacity");
    b.owner = store::string_field_or(status, "owner", b.owner);
    b.owner_address =
      store::string_field_or(status, "owner_address", b.owner_address);
    b.owner_capacity =
      store::number_field_or(status, "owner_capacity", b.owner_capacity);
    // A status without a data centre was written by an entry that doesn't know
    // it, for another owner than the first.
    b.owner_data_centre =
      status.is_object() && status.contains("owner")
        ? store::string_field_or(status, "owner_data_centre", "")
        : store::string_field_or(spec, "first_data_centre", "");
    b.ended = store::bool_field_or(status, "ended", false);
    return b;
  });
}

} // namespace cactusford::batches
