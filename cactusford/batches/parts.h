// Splits a submission into the parts in which it is stored, because a value in
// the store is limited to a megabyte. Does no I/O.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::batches {

// Maximum size of a part in bytes. JSON may escape one byte as two.
constexpr std::size_t part_bytes = 500U << 10;

// Splits the body into parts of at most `max_bytes`. No part ends inside a
// UTF-8 sequence, because the store would not return invalid UTF-8 unchanged.
// Returns at least one part.
std::vector<std::string_view>
split_parts(std::string_view body, std::size_t max_bytes);

std::string
part_name(const std::string& batch, std::uint64_t part);

nlohmann::json
encode_part(std::string_view text);

std::optional<std::string>
decode_part(const nlohmann::json& spec);

} // namespace cactusford::batches
