// Messages piggybacked on the watches that a relay makes for a sidecar: the
// sidecar sends its name and the address of its engine, and the relay replies
// with its rank among all sidecars and with the runs that need the engine's
// weights.
// Sidecars take turns by rank, without messages between them.
#pragma once

#include "cactusford/batches/version_pins.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cactusford::edge {

struct sidecar_message
{
  std::string instance;
  // Address of the engine beside the sidecar. Empty in messages of earlier
  // builds.
  std::string engine;

  friend bool operator==(const sidecar_message&,
                         const sidecar_message&) = default;
};

nlohmann::json
encode(const sidecar_message& message);

// Returns nothing if the message is from an entry.
std::optional<sidecar_message>
sidecar_from(const nlohmann::json& message);

// Turns the rank among the sidecars of one relay into a rank among all of them.
// Each relay knows only some sidecars; interleaving makes the ranks of
// different relays distinct. With ranks local to a relay, three of eight
// engines shared each rank and loaded at the same time.
std::uint32_t
rank_among_all(std::uint32_t local_rank,
               std::size_t relay,
               std::size_t relays) noexcept;

struct sidecar_reply
{
  std::uint32_t rank = 0;
  batches::pinned_models pinned;

  friend bool operator==(const sidecar_reply&, const sidecar_reply&) = default;
};

nlohmann::json
encode(const sidecar_reply& reply);

std::optional<sidecar_reply>
sidecar_reply_from(const nlohmann::json& reply);

} // namespace cactusford::edge
