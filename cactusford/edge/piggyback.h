// Messages piggybacked on the watches that a relay makes for a sidecar: the
// sidecar sends its name, and the relay replies with its rank among all
// sidecars. Sidecars take turns by rank, without messages between them.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cactusford::edge {

nlohmann::json
encode_sidecar(const std::string& instance);

// The name of the sidecar; nothing if the message is from an entry.
std::optional<std::string>
sidecar_from(const nlohmann::json& message);

// Turns the rank among the sidecars of one relay into a rank among all of them.
// Each relay knows only some sidecars; interleaving makes the ranks of
// different relays distinct. With ranks local to a relay, three of eight
// engines shared each rank and loaded at the same time.
std::uint32_t
rank_among_all(std::uint32_t local_rank,
               std::size_t relay,
               std::size_t relays) noexcept;

nlohmann::json
encode_rank(std::uint32_t rank);

std::optional<std::uint32_t>
rank_from(const nlohmann::json& reply);

} // namespace cactusford::edge
