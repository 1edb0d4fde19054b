// Settings of the allocator.
#pragma once

namespace cactusford::process {

// Makes the memory of long buffers return to the system when they are freed.
// Call once at the start of the process.
void
return_long_buffers();

} // namespace cactusford::process
