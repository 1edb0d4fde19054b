#include "cactusford/store/packing.h"

#include <zlib.h>

#include <algorithm>
#include <utility>

namespace cactusford::store {

namespace {

// The length of the body before it was packed.
constexpr std::string_view unpacked_bytes_header = "Unpacked-Bytes";

// The kinds that all instances watch.
constexpr std::size_t most_recent = 6;

// Returns an empty string if the body cannot be made shorter.
std::string
compress_body(const std::string& body)
{
  auto size = compressBound(body.size());
  std::string packed(size, '\0');
  const auto result = compress2(reinterpret_cast<Bytef*>(packed.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(body.data()),
                                body.size(),
                                Z_BEST_SPEED);
  packed.resize(result == Z_OK && size < body.size() ? size : 0);
  return packed;
}

} // namespace

void
packer::pack(http::response& r)
{
  if (r.body.size() < min_packed_bytes) {
    return;
  }
  auto known = std::find_if(recent_.begin(), recent_.end(), [&](const auto& p) {
    return p.from == r.body;
  });
  if (known == recent_.end()) {
    recent_.push_front({ r.body, compress_body(r.body) });
    known = recent_.begin();
    recent_.resize(std::min(recent_.size(), most_recent));
  }
  if (known->to.empty()) {
    return;
  }
  http::set(r.fields, unpacked_bytes_header, std::to_string(r.body.size()));
  r.body = known->to;
}

bool
unpack(http::response& r)
{
  const auto size = http::find_number(r.fields, unpacked_bytes_header);
  if (!size) {
    return true;
  }
  if (*size > max_unpacked_bytes) {
    return false;
  }
  std::string body(*size, '\0');
  uLongf unpacked = body.size();
  const auto result = uncompress(reinterpret_cast<Bytef*>(body.data()),
                                 &unpacked,
                                 reinterpret_cast<const Bytef*>(r.body.data()),
                                 r.body.size());
  if (result != Z_OK || unpacked != *size) {
    return false;
  }
  r.body = std::move(body);
  return true;
}

} // namespace cactusford::store
