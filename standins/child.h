// A program that a test started, by its process id.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace cactusford::standins {

// Starts a program; its output goes to the end of a file. 0 when it can't be
// started.
pid_t
spawn_program(const std::vector<std::string>& words, const std::string& output);

} // namespace cactusford::standins
