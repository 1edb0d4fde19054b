// The process beside a backend server: every request and order passes here.
#pragma once

#include "cactusford/settings/settings.h"

namespace cactusford::sidecar {

// Runs until SIGTERM and returns the exit code.
int
run(const settings::sidecar_settings& s);

} // namespace cactusford::sidecar
