// Puts the frames of one attempt together into a whole answer, or says why it
// is not whole. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusford::calls {

// What a frame does to the answer under assembly.
enum class verdict
{
  take,
  // Another request's or attempt's, or a repeat: no harm, no use.
  drop,
  // A gap, a wrong count or a wrong checksum: the answer cannot become whole.
  broken,
};

struct frame_head
{
  std::string_view request_id;
  std::uint32_t attempt = 0;
  std::uint32_t sequence = 0;
};

// Running XXH3 over all bytes, in order.
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

// Judges the frame by its head and moves the sequence on.
verdict
accept(assembly& a, const frame_head& head);

// Judges the end mark, whose frame was accepted before.
verdict
accept_end(assembly& a, std::uint32_t frames, std::uint64_t sum);

} // namespace cactusford::calls
