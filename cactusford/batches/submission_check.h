// Checks that the requests of a submission's items and scorers can be written
// as HTTP. Pure.
#pragma once

#include "cactusford/batches/batch.h"

#include <optional>
#include <string>

namespace cactusford::batches {

// Returns true if the id can be the last segment of a request's target. With a
// slash or a question mark it would name another object of the store.
bool
is_batch_id(const std::string& id);

// Returns which item and which of its parts cannot be part of a request's head,
// or nullopt if there is none. A line break in one of them would let a trainer
// send a request of its own choosing to a backend server.
std::optional<std::string>
invalid_part(const submission& s);

// The same for a single item, without naming it.
std::optional<std::string>
invalid_part(const item& i);

} // namespace cactusford::batches
