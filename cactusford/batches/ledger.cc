#include "cactusford/batches/ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace cactusford::batches {

namespace {

// Besides its text, a result takes about this much on the wire.
constexpr std::size_t result_overhead = 200;

std::size_t
size_of(const item_result& r)
{
  return r.text.size() + result_overhead;
}

template<typename T>
T
value_or(const nlohmann::json& j, const char* key, T otherwise)
{
  const auto found = j.find(key);
  if (found == j.end() || found->is_null()) {
    return otherwise;
  }
  return found->get<T>();
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
  l.unsettled = false;
  ++l.chunks;
  for (auto& r : results) {
    std::erase_if(l.pending, [&](const auto& p) { return p.id == r.id; });
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
doubt_chunk(ledger& l)
{
  l.writing = 0;
  l.unsettled = true;
}

bool
is_settled(const ledger& l)
{
  return l.writing == 0 && !l.unsettled;
}

result_page
page_of(const ledger& l,
        std::uint64_t total,
        std::uint64_t after,
        std::size_t max_bytes)
{
  result_page p;
  p.total = total;
  p.next = after;
  std::size_t bytes = 0;
  for (auto at = after; at < l.listed.size(); ++at) {
    bytes += size_of(l.listed[at]);
    if (!p.results.empty() && bytes > max_bytes) {
      break;
    }
    p.results.push_back(l.listed[at]);
    ++p.next;
  }
  return p;
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

std::optional<stored_chunk>
decode_chunk(const nlohmann::json& spec)
try {
  stored_chunk c;
  c.epoch = spec.at("epoch").get<std::uint64_t>();
  for (const auto& j : spec.at("list")) {
    item_result r;
    r.id = j.at("item").get<std::string>();
    r.done = j.at("done").get<bool>();
    r.text = j.at("text").get<std::string>();
    r.versions = j.at("weights").get<std::vector<std::uint64_t>>();
    r.score = j.at("score").get<std::string>();
    c.results.push_back(std::move(r));
  }
  return c;
} catch (const nlohmann::json::exception&) {
  return std::nullopt;
}

nlohmann::json
encode_spec(const stored_batch& b)
{
  return { { "caller_host", b.host },
           { "target", b.target },
           { "accepted_ms", b.accepted_wall_ms },
           { "items", b.items },
           { "parts", b.parts },
           { "first_owner", b.owner },
           { "first_address", b.owner_address },
           { "first_capacity", b.owner_capacity } };
}

nlohmann::json
encode_status(const stored_batch& b)
{
  return { { "owner", b.owner },
           { "owner_address", b.owner_address },
           { "owner_capacity", b.owner_capacity },
           { "ended", b.ended } };
}

std::optional<stored_batch>
decode_batch(const std::string& name,
             std::uint64_t revision,
             const nlohmann::json& spec,
             const nlohmann::json& status)
try {
  stored_batch b;
  b.id = name;
  b.revision = revision;
  b.host = spec.at("caller_host").get<std::string>();
  b.target = spec.at("target").get<std::string>();
  b.accepted_wall_ms = spec.at("accepted_ms").get<std::uint64_t>();
  b.items = spec.at("items").get<std::uint64_t>();
  b.parts = spec.at("parts").get<std::uint64_t>();
  b.owner = spec.at("first_owner").get<std::string>();
  b.owner_address = spec.at("first_address").get<std::string>();
  b.owner_capacity = spec.at("first_capacity").get<double>();
  if (status.is_object() && !status.empty()) {
    b.owner = value_or(status, "owner", b.owner);
    b.owner_address = value_or(status, "owner_address", b.owner_address);
    b.owner_capacity = value_or(status, "owner_capacity", b.owner_capacity);
    b.ended = value_or(status, "ended", false);
  }
  return b;
} catch (const nlohmann::json::exception&) {
  return std::nullopt;
}

} // namespace cactusford::batches
