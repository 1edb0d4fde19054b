// How many scorer's calls an owner has under way. Pure.
//
// Pattern: a hundred texts of a step end within half a second. Their scorer's
// calls, of 80 ms each, share 36 places with callers whose answers are due in
// 150 ms. Sent at once, many are refused as full and sent to one server after
// the other, and callers are refused as well: on a day of 3,516 scored texts
// the servers met 11,079 calls, refused 3,330, and one caller in four was
// answered late. A text can wait for its score for some tenths of a second.
//
// The limit grows by one for as many answers as it is large, and shrinks by a
// third when a server was full: owners that share a service settle beside each
// other, and places stay for callers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cactusford::batches {

struct score_limit
{
  double limit = 8;
  std::size_t under_way = 0;
  // No further cut before this time: refusals come together.
  std::uint64_t settled_ms = 0;

  friend bool operator==(const score_limit&, const score_limit&) = default;
};

bool
may_start(const score_limit& l);

void
note_start(score_limit& l);

enum class score_end
{
  answered,
  // Some server had no place for it, or ended under it.
  refused,
  // Given up here; it says nothing of the servers.
  cancelled,
};

// `places` are those of the service, 0 if not known.
void
note_end(score_limit& l, score_end e, std::size_t places, std::uint64_t now_ms);

} // namespace cactusford::batches
