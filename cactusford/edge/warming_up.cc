// How the forwarder refuses calls for which only cold servers are left.
#include "cactusford/backends/warm_up_events.h"
#include "cactusford/edge/forward_impl.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

// Callers are told hundredths of a second.
constexpr std::uint64_t retry_after_step_ms = 10;

constexpr std::uint64_t
rounded_up(std::uint64_t ms)
{
  return (ms + retry_after_step_ms - 1) / retry_after_step_ms *
         retry_after_step_ms;
}

} // namespace

// Called when no server is left for the call.
void
forwarder::note_held(call_state& call)
{
  const auto at =
    backends::next_call_budget_ms(registry_, needs_of(call), http::now_ms());
  call.budget_returns_ms = at.value_or(0);
}

// Sets when a call that was not run because of the budget should return. The
// queue of the service may ask for longer.
void
forwarder::report_held(const call_state& call, forward_outcome& o)
{
  if (o.what != forward_end::not_run || call.budget_returns_ms == 0) {
    return;
  }
  ++held_warm_up_;
  const auto now = http::now_ms();
  const auto wait =
    call.budget_returns_ms > now ? call.budget_returns_ms - now : 1;
  o.budget_wait_ms = rounded_up(wait);
  if (!call.input.demand.is_scorer) {
    o.retry_after_ms = std::max(o.retry_after_ms, o.budget_wait_ms);
  }
  // No server was asked, so the scorers' limit learns nothing from it.
  o.is_unsent = o.is_unsent || call.attempts.empty();
  process::log_line(timeline::event{ "call_refused" }
                      .with("request", call.input.id)
                      .with("why", "warming_up")
                      .with("service", call.service)
                      .with("workspace", call.input.workspace)
                      .with("come_back_ms", o.retry_after_ms));
}

std::uint64_t
forwarder::held_by_warm_up() const
{
  return held_warm_up_;
}

} // namespace cactusford::edge
