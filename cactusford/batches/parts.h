// The parts in which a submission stands in the store, as a value there is a
// megabyte at most. Pure.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::batches {

// Bytes of a submission in one part. JSON may write a byte as two.
constexpr std::size_t part_bytes = 500U << 10;

// Parts of at most `max_bytes`, none of which ends inside a character: a value
// that is not UTF-8 would not come back as it was. At least one.
std::vector<std::string_view>
split_parts(std::string_view body, std::size_t max_bytes);

std::string
part_name(const std::string& batch, std::uint64_t part);

nlohmann::json
encode_part(std::string_view text);

std::optional<std::string>
decode_part(const nlohmann::json& spec);

} // namespace cactusford::batches
