#include "cactusford/http/memory_budget.h"

#include <algorithm>
#include <limits>

namespace cactusford::http {

namespace {

// Part of each bound that is kept for small requests.
constexpr std::uint64_t kept_part = 8;

bool
fits(std::uint64_t held, std::uint64_t more, std::uint64_t limit) noexcept
{
  return limit == 0 || (held <= limit && more <= limit - held);
}

std::uint64_t
limit_of(std::uint64_t limit, bool is_large) noexcept
{
  return is_large ? limit - limit / kept_part : limit;
}

std::uint64_t
large_part_of(const request_hold& h) noexcept
{
  return h.bytes > small_request_bytes ? h.bytes : 0;
}

} // namespace

memory_limits
memory_limits_for(std::uint64_t memory_mb, std::uint64_t request_mb) noexcept
{
  const auto memory = memory_mb << 20U;
  memory_limits l;
  // The rest is for the process itself and for bytes that have arrived but have
  // not been read.
  l.total_bytes = memory / 8 * 5;
  l.request_bytes = request_mb > 0 ? request_mb << 20U : memory / 4;
  l.submission_bytes = memory / 4;
  return l;
}

std::uint64_t
held_bytes(const memory_budget& b) noexcept
{
  return b.answers.bytes + b.request_bytes + b.submission_bytes;
}

bool
resize(memory_budget& b, request_hold& h, std::uint64_t bytes) noexcept
{
  const request_hold wanted{ bytes };
  const auto old_large = large_part_of(h);
  const auto new_large = large_part_of(wanted);
  if (bytes > h.bytes) {
    const auto more = bytes - h.bytes;
    const bool is_large = new_large > 0;
    const bool has_room =
      fits(b.request_bytes, more, b.limits.request_bytes) &&
      fits(held_bytes(b), more, limit_of(b.limits.total_bytes, is_large)) &&
      (!is_large || fits(b.large_request_bytes - old_large,
                         new_large,
                         limit_of(b.limits.request_bytes, true)));
    if (!has_room) {
      return false;
    }
  }
  b.request_bytes += bytes - h.bytes;
  b.large_request_bytes += new_large - old_large;
  b.peak_request_bytes = std::max(b.peak_request_bytes, b.request_bytes);
  h = wanted;
  return true;
}

bool
can_ever_fit(const memory_limits& l, std::uint64_t bytes) noexcept
{
  const bool is_large = bytes > small_request_bytes;
  return fits(0, bytes, limit_of(l.request_bytes, is_large)) &&
         fits(0, bytes, limit_of(l.total_bytes, is_large));
}

bool
take_submission(memory_budget& b, std::uint64_t bytes) noexcept
{
  if (!fits(b.submission_bytes, bytes, b.limits.submission_bytes) ||
      !fits(held_bytes(b), bytes, limit_of(b.limits.total_bytes, true))) {
    return false;
  }
  b.submission_bytes += bytes;
  return true;
}

void
release_submission(memory_budget& b, std::uint64_t bytes) noexcept
{
  b.submission_bytes -= std::min(b.submission_bytes, bytes);
}

bool
has_room_for_moment(const memory_budget& b, std::uint64_t bytes) noexcept
{
  return fits(held_bytes(b), bytes, b.limits.total_bytes);
}

std::uint64_t
connection_limit_for(std::uint64_t memory_mb,
                     std::uint64_t unread_bytes) noexcept
{
  constexpr std::uint64_t part = 8;
  return memory_mb == 0 ? std::numeric_limits<std::uint64_t>::max()
                        : (memory_mb << 20U) / part / unread_bytes;
}

} // namespace cactusford::http
