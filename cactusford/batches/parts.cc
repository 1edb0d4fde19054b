#include "cactusford/batches/parts.h"

#include "cactusford/batches/ledger.h"

#include <nlohmann/json.hpp>

namespace cactusford::batches {

namespace {

// Returns true for the second to fourth byte of a UTF-8 sequence.
bool
is_continuation(char c)
{
  constexpr unsigned mask = 0xC0;
  constexpr unsigned continuation = 0x80;
  return (static_cast<unsigned char>(c) & mask) == continuation;
}

} // namespace

std::vector<std::string_view>
split_parts(std::string_view body, std::size_t max_bytes)
{
  std::vector<std::string_view> parts;
  while (body.size() > max_bytes) {
    auto at = max_bytes;
    while (at > 1 && is_continuation(body[at])) {
      --at;
    }
    parts.push_back(body.substr(0, at));
    body.remove_prefix(at);
  }
  parts.push_back(body);
  return parts;
}

std::string
part_name(const std::string& batch, std::uint64_t part)
{
  return chunk_name(batch, part);
}

nlohmann::json
encode_part(std::string_view text)
{
  return { { "text", text } };
}

std::optional<std::string>
decode_part(const nlohmann::json& spec)
{
  const auto found = spec.is_object() ? spec.find("text") : spec.end();
  if (found == spec.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

} // namespace cactusford::batches
