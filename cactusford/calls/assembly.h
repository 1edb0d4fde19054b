// Checks that the frames of one attempt arrive whole and in order, and verifies
// the final count and checksum. Does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusford::calls {

// What the receiver does with a frame.
enum class frame_result
{
  accepted,
  // The frame is a duplicate, or belongs to another request or attempt.
  // Ignoring it does no harm.
  ignored,
  // A frame is missing, or the frame count or checksum is wrong: the answer
  // cannot be completed.
  corrupt,
};

struct frame_header
{
  std::string_view request_id;
  std::uint32_t attempt = 0;
  std::uint32_t sequence = 0;
};

// Incremental XXH3 checksum over all bytes in order.
class checksum
{
public:
  checksum();
  ~checksum();
  checksum(checksum&&) noexcept;
  checksum& operator=(checksum&&) noexcept;
  void add(std::string_view bytes);
  std::uint64_t value() const;

private:
  void* state_;
};

struct assembly
{
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint32_t next_sequence = 0;
  bool ended = false;
  checksum sum;
};

// Checks the request id, attempt and sequence number of a frame. An accepted
// frame advances the expected sequence number.
frame_result
accept_frame(assembly& a, const frame_header& header);

// Checks the frame count and checksum of the end mark. The frame that carries
// it must have passed `accept_frame` first.
frame_result
accept_end(assembly& a, std::uint32_t frames, std::uint64_t sum);

} // namespace cactusford::calls
