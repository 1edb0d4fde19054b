// Messages that ride along with the watches that a relay makes for a sidecar:
// the sidecar sends its name, the relay answers its rank among all sidecars.
// Sidecars take turns by it, without a message among themselves.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cactusford::edge {

nlohmann::json
encode_sidecar(const std::string& instance);

// Nothing when it is an entry that announces itself.
std::optional<std::string>
sidecar_from(const nlohmann::json& sent);

// The rank among the sidecars of all relays, each of which has heard of some:
// ranks of different relays never meet. Counted by each relay alone, three
// engines of eight had each turn, and loaded at the same time.
std::uint32_t
rank_among_all(std::uint32_t rank_here,
               std::size_t relay,
               std::size_t relays) noexcept;

nlohmann::json
encode_rank(std::uint32_t rank);

std::optional<std::uint32_t>
rank_from(const nlohmann::json& answered);

} // namespace cactusford::edge
