#include "cactusford/edge/piggyback.h"

#include "cactusford/store/fields.h"

namespace cactusford::edge {

nlohmann::json
encode_sidecar(const std::string& instance)
{
  return { { "sidecar", instance } };
}

std::optional<std::string>
sidecar_from(const nlohmann::json& message)
{
  return store::try_decode(
    [&] { return store::string_field(message, "sidecar"); });
}

std::uint32_t
rank_among_all(std::uint32_t local_rank,
               std::size_t relay,
               std::size_t relays) noexcept
{
  return static_cast<std::uint32_t>(local_rank * relays + relay);
}

nlohmann::json
encode_rank(std::uint32_t rank)
{
  return { { "rank", rank } };
}

std::optional<std::uint32_t>
rank_from(const nlohmann::json& reply)
{
  const auto rank =
    store::try_decode([&] { return store::uint_field(reply, "rank"); });
  return rank ? std::optional{ static_cast<std::uint32_t>(*rank) }
              : std::nullopt;
}

} // namespace cactusford::edge
