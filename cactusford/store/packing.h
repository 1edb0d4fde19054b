// Compresses the store's answers that a relay passes on. A list of the backend
// servers grows with the fleet, and so does the number of instances that a
// relay sends it to.
#pragma once

#include "cactusford/http/message.h"

#include <cstddef>
#include <deque>
#include <string>

namespace cactusford::store {

// Smaller bodies are not worth the work.
constexpr std::size_t min_packed_bytes = 2048;

// A longer body is malformed: the store's answers are about a megabyte at most.
constexpr std::size_t max_unpacked_bytes = 16U << 20;

// Packs each of the last few bodies once, however many instances get it.
class packer
{
public:
  // Packs the body of a response that is long enough for it.
  void pack(http::response& r);

private:
  struct packed_body
  {
    std::string from;
    std::string to;
  };
  std::deque<packed_body> recent_;
};

// Restores the body of a packed response and leaves any other as it is. Returns
// false if the body is malformed.
bool
unpack(http::response& r);

} // namespace cactusford::store
