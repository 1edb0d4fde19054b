#include "cactusford/calls/assembly.h"

#include <xxhash.h>

#include <utility>

namespace cactusford::calls {

checksum::checksum()
  : state_{ XXH3_createState() }
{
  XXH3_64bits_reset(static_cast<XXH3_state_t*>(state_));
}

checksum::~checksum()
{
  XXH3_freeState(static_cast<XXH3_state_t*>(state_));
}

checksum::checksum(checksum&& other) noexcept
  : state_{ std::exchange(other.state_, nullptr) }
{
}

checksum&
checksum::operator=(checksum&& other) noexcept
{
  std::swap(state_, other.state_);
  return *this;
}

void
checksum::add(std::string_view bytes)
{
  XXH3_64bits_update(
    static_cast<XXH3_state_t*>(state_), bytes.data(), bytes.size());
}

std::uint64_t
checksum::value() const
{
  return XXH3_64bits_digest(static_cast<const XXH3_state_t*>(state_));
}

frame_result
accept_frame(assembly& a, const frame_header& header)
{
  const bool foreign =
    header.request_id != a.request_id || header.attempt != a.attempt;
  if (foreign || a.ended || header.sequence < a.next_sequence) {
    return frame_result::ignored;
  }
  if (header.sequence > a.next_sequence) {
    return frame_result::corrupt;
  }
  ++a.next_sequence;
  return frame_result::accepted;
}

frame_result
accept_end(assembly& a, std::uint32_t frames, std::uint64_t sum)
{
  a.ended = true;
  // The end mark's own frame is accepted too, but not included in `frames`.
  const bool is_complete =
    frames + 1 == a.next_sequence && sum == a.sum.value();
  return is_complete ? frame_result::accepted : frame_result::corrupt;
}

} // namespace cactusford::calls
