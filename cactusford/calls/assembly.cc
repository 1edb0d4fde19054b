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

verdict
accept(assembly& a, const frame_head& head)
{
  const bool foreign =
    head.request_id != a.request_id || head.attempt != a.attempt;
  if (foreign || a.ended || head.sequence < a.next_sequence) {
    return verdict::drop;
  }
  if (head.sequence > a.next_sequence) {
    return verdict::broken;
  }
  ++a.next_sequence;
  return verdict::take;
}

verdict
accept_end(assembly& a, std::uint32_t frames, std::uint64_t sum)
{
  a.ended = true;
  // The end mark itself is the frame behind the counted ones.
  const bool whole = frames + 1 == a.next_sequence && sum == a.sum.value();
  return whole ? verdict::take : verdict::broken;
}

} // namespace cactusford::calls
