#include "cactusford/edge/cold_servers.h"

#include "cactusford/backends/warm_up_events.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

namespace cactusford::edge {

void
log_cold_servers(backends::registry& r)
{
  if (r.cold_changes.empty()) {
    return;
  }
  const auto now = http::now_ms();
  const auto wall = timeline::wall_ms();
  for (const auto& c : backends::take_cold_changes(r)) {
    const auto left_ms = c.until_ms > now ? c.until_ms - now : 0;
    process::log_line(timeline::event{ "server_cold" }
                        .with("server", c.id)
                        .with("until_ms", wall + left_ms)
                        .with("left_ms", left_ms)
                        .with("why", backends::name_of(c.cause)));
  }
}

void
note_unsent(backends::registry& r,
            backends::backend& b,
            std::uint64_t started_ms,
            std::uint64_t now_ms)
{
  if (now_ms - started_ms < backends::connection_refused_limit_ms) {
    backends::note_connection_refused(r, b, now_ms);
    log_cold_servers(r);
  }
}

} // namespace cactusford::edge
