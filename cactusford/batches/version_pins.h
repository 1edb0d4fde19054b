// Tracks which engines run items that need the weight version that the engine
// has loaded, because a single version must generate the whole text. Does no
// I/O.
//
// Owners report these runs to the relays, which pass them on to the sidecars. A
// sidecar delays a load while runs that started before the load was due are in
// progress; see `orders::is_held`.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cactusford::batches {

// Age of the oldest such run on one engine, by model, in milliseconds.
using pinned_models = std::map<std::string, std::uint64_t>;

// By engine id.
using pinned_engines = std::map<std::string, pinned_models>;

// Adds runs whose ages were stated `ago_ms` ago.
void
merge(pinned_models& all, const pinned_models& more, std::uint64_t ago_ms);

nlohmann::json
encode_pins(const pinned_engines& pins);

// Throws `store::field_error` if the value is malformed.
pinned_engines
decode_pins(const nlohmann::json& j);

} // namespace cactusford::batches
