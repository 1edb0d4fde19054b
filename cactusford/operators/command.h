// The operators' command line.
#pragma once

namespace cactusford::operators {

// Exit codes: 0 done, 1 failed or violations found, 2 wrong use, 3 conflict.
int
run_command(int argc, char** argv);

} // namespace cactusford::operators
