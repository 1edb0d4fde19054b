// The process that serves callers, trainers and operators.
#pragma once

#include "cactusford/settings/settings.h"

namespace cactusford::entry {

// Runs until SIGTERM and returns the exit code.
int
run(const settings::entry_settings& s);

} // namespace cactusford::entry
