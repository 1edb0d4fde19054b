// What runs say about data centres that do not answer, and what becomes of runs
// there.
#include "cactusford/backends/reach_evidence.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"

namespace cactusford::batches {

// Such a run goes on waiting on its engine and takes part in the order of
// waiting items: it moves when a slot elsewhere is free and no item with less
// slack needs it.
bool
manager::impl::is_stranded(const item_state& i) const
{
  if (i.stage != item_stage::running ||
      data_centres::count_unreachable(deps.registry.topology.reach) == 0) {
    return false;
  }
  const auto* b = backends::find(deps.registry, i.backend);
  return b != nullptr &&
         backends::is_stranded(deps.registry, *b, i.last_event_ms);
}

void
manager::impl::leave_unreachable_engine(batch_state& b, item_state& i)
{
  ++runs_moved_unreachable;
  stop_run(i);
  retry_item(b, i, 0, "unreachable");
}

void
manager::impl::report_reachability_change(bool has_changed)
{
  const bool is_in_doubt =
    !backends::doubtful_data_centres(deps.registry, http::now_ms()).empty();
  if ((has_changed || is_in_doubt) && deps.forwarder.on_reachability_changed) {
    deps.forwarder.on_reachability_changed();
  }
}

void
manager::impl::note_answer(const backends::backend& b)
{
  report_reachability_change(
    backends::note_reached(deps.registry, b, http::now_ms()));
}

void
manager::impl::note_run_failure(const item_state& i,
                                const backends::backend& b,
                                http::exchange_outcome end)
{
  const auto now = http::now_ms();
  if (end == http::exchange_outcome::not_sent) {
    report_reachability_change(backends::note_not_connected(
      deps.registry,
      b,
      { i.started_ms, http::exchange_options{}.connect_timeout_ms },
      now));
  } else if (end == http::exchange_outcome::connection_lost) {
    report_reachability_change(
      backends::note_silent(deps.registry, b, i.last_event_ms, now));
  }
}

// After this process was held up, all its runs seem silent until it has read
// what arrived meanwhile.
void
manager::impl::note_silent_run(const item_state& i,
                               const backends::backend& b,
                               std::uint64_t now)
{
  if (!is_tick_late) {
    report_reachability_change(
      backends::note_silent(deps.registry, b, i.last_event_ms, now));
  }
}

} // namespace cactusford::batches
