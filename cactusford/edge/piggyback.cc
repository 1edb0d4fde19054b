#include "cactusford/edge/piggyback.h"

#include "cactusford/store/fields.h"

namespace cactusford::edge {

nlohmann::json
encode(const sidecar_message& message)
{
  nlohmann::json j{ { "sidecar", message.instance } };
  if (!message.engine.empty()) {
    j["engine"] = message.engine;
  }
  return j;
}

std::optional<sidecar_message>
sidecar_from(const nlohmann::json& message)
{
  return store::try_decode([&] {
    sidecar_message m;
    m.instance = store::string_field(message, "sidecar");
    if (store::has_field(message, "engine")) {
      m.engine = store::string_field(message, "engine");
    }
    return m;
  });
}

std::uint32_t
rank_among_all(std::uint32_t local_rank,
               std::size_t relay,
               std::size_t relays) noexcept
{
  return static_cast<std::uint32_t>(local_rank * relays + relay);
}

nlohmann::json
encode(const sidecar_reply& reply)
{
  nlohmann::json j{ { "rank", reply.rank } };
  if (!reply.pinned.empty()) {
    j["pinned"] = reply.pinned;
  }
  return j;
}

std::optional<sidecar_reply>
sidecar_reply_from(const nlohmann::json& reply)
{
  return store::try_decode([&] {
    sidecar_reply r;
    r.rank = static_cast<std::uint32_t>(store::uint_field(reply, "rank"));
    if (store::has_field(reply, "pinned")) {
      r.pinned = batches::decode_pins({ { "", reply.at("pinned") } })[""];
    }
    return r;
  });
}

} // namespace cactusford::edge
