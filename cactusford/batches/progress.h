// Encodes the text of running items for the store, so that a run of several
// seconds is not lost when its owner crashes. Does no I/O.
#pragma once

#include "cactusford/batches/event_reader.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

namespace cactusford::batches {

using progress = std::map<std::string, item_text>;

nlohmann::json
encode_progress(const progress& p);

// Skips malformed entries; their items start from the beginning.
progress
decode_progress(const nlohmann::json& spec);

} // namespace cactusford::batches
