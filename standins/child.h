// Starts the programs of a test as child processes.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace cactusford::standins {

// Starts a program and appends its standard output and error to a file. Returns
// the process id, or 0 if the program cannot be started.
pid_t
spawn_program(const std::vector<std::string>& arguments,
              const std::string& output_path);

} // namespace cactusford::standins
