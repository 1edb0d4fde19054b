// The process beside a backend server, through which every request and order to
// it passes.
#pragma once

#include "cactusford/settings/settings.h"

namespace cactusford::sidecar {

// Runs until SIGTERM and returns the exit code.
int
run(const settings::sidecar_settings& s);

} // namespace cactusford::sidecar
