// Text of items that are still running, kept in the store so that a run that
// took seconds isn't lost with its owner. Pure.
#pragma once

#include "cactusford/batches/event_reader.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

namespace cactusford::batches {

using progress = std::map<std::string, item_text>;

nlohmann::json
encode_progress(const progress& p);

// Entries of another shape are left out: their items start anew.
progress
decode_progress(const nlohmann::json& spec);

} // namespace cactusford::batches
