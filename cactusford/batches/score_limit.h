// Limits the number of scorer calls that an owner has in flight. Does
// no I/O.
//
// A hundred texts of a step are completed within half a second. Their scorer
// calls of 80 ms each share 36 slots with callers whose answers are due in 150
// ms. Sent all at once, many calls are refused and retried at one server after
// the other, and callers are refused as well: on a day with 3,516 scored texts
// the servers received 11,079 calls and refused 3,330, and one caller in four
// was answered late. A text can wait some tenths of a second for its score.
//
// The limit grows by one for every `limit` answers and shrinks by a third when
// a server was full. Owners that share a service thus converge to a fair share,
// and slots stay free for callers.
//
// Where callers need shorter latencies than scores, owners also yield before
// servers refuse: a server accepts waiting requests up to its queue limit, and
// behind them callers are late although no call is refused. On a day with 42
// slots, 277 of 755 callers' calls were late in this way and none was refused.
#pragma once

#include "cactusford/backends/registry.h"

#include <cstddef>
#include <cstdint>

namespace cactusford::batches {

struct score_limit
{
  double limit = 8;
  std::size_t in_flight = 0;
  // The limit is not decreased again before this time, because refusals arrive
  // in bursts.
  std::uint64_t next_decrease_ms = 0;
  std::uint64_t last_end_ms = 0;

  friend bool operator==(const score_limit&, const score_limit&) = default;
};

bool
can_start(const score_limit& l);

void
on_call_start(score_limit& l);

enum class score_end
{
  answered,
  // Answered, but few of the server's slots were free or most of the limit was
  // unused, so the limit must not grow.
  answered_without_growth,
  // Answered, but other requests waited for a slot of the server.
  answered_while_queueing,
  // A server had no free slot for the call or crashed during it.
  refused,
  // The call was cancelled by its owner, which says nothing about the servers.
  cancelled,
};

// `slots` is the number of slots of the service, or 0 if unknown.
void
on_call_end(score_limit& l,
            score_end e,
            std::size_t slots,
            std::uint64_t now_ms);

// The end of an answered call on a service that scorers must leave to callers,
// by the load that the server reported with the answer.
score_end
yielding_end(const score_limit& l, const backends::reported_load& load);

// Lowers the limit to its initial value if no call has been in flight for a
// while, as other owners may have started since. Call it before a call that
// must yield to callers.
void
restart_after_idle(score_limit& l, std::uint64_t now_ms);

} // namespace cactusford::batches
