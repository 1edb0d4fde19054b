// Rendezvous hashing (Thaler and Ravishankar, 1998): every process ranks the
// same members in the same order without communication.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::membership {

std::uint64_t
weight_of(std::string_view member, std::string_view key) noexcept;

// Returns the members by descending weight for the key; ties are broken by
// name.
std::vector<std::string>
rank(std::span<const std::string> members, std::string_view key);

// Returns the first member of that order without sorting; empty if there are no
// members.
std::string
first_of(std::span<const std::string> members, std::string_view key);

} // namespace cactusford::membership
