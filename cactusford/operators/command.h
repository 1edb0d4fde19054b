// The command line tool for operators.
#pragma once

namespace cactusford::operators {

// Returns the exit code: 0 success, 1 failure or violations found, 2 usage
// error, 3 version conflict.
int
run_command(int argc, char** argv);

} // namespace cactusford::operators
