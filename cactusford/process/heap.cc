#include "cactusford/process/heap.h"

#include <malloc.h>

namespace cactusford::process {

namespace {

// By default the allocator raises these limits to the length of the longest
// buffer that was freed. After one body of 32 MB, the process keeps up to 64 MB
// that nothing uses.
constexpr int mapped_bytes = 1 << 20;
constexpr int trimmed_bytes = 4 << 20;

} // namespace

void
return_long_buffers()
{
  mallopt(M_MMAP_THRESHOLD, mapped_bytes);
  mallopt(M_TRIM_THRESHOLD, trimmed_bytes);
}

} // namespace cactusford::process
