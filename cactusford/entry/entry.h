// The process that callers, trainers and operators talk to.
#pragma once

#include "cactusford/settings/settings.h"

namespace cactusford::entry {

// Runs until SIGTERM and returns the exit code.
int
run(const settings::entry_settings& s);

} // namespace cactusford::entry
