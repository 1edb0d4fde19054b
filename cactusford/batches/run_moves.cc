#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <cmath>

namespace cactusford::batches {

// Records events of a run that arrived together, and logs when its engine gets
// into trouble or has recovered.
void
manager::impl::note_run_events(item_state& i,
                               backends::backend& b,
                               std::uint64_t events,
                               std::uint64_t now)
{
  if (i.events_in_run == 0) {
    i.gaps = {};
    return;
  }
  backends::note_events(deps.registry, b, i.gaps, events, i.last_event_ms, now);
  const bool in_trouble = backends::is_in_trouble(deps.registry, b, now);
  if (in_trouble == b.speed.is_trouble_logged) {
    return;
  }
  b.speed.is_trouble_logged = in_trouble;
  const auto percent = [](double ratio) {
    return static_cast<std::uint64_t>(std::llround(ratio * 100));
  };
  process::log_line(
    timeline::event{ in_trouble ? "backend_trouble" : "backend_recovered" }
      .with("backend", b.info.id)
      .with("factor_percent", percent(b.speed.factor))
      .with("load_percent", percent(backends::load_of(b, now)))
      .with("trouble_percent", percent(b.speed.trouble)));
}

// Returns how many events the item's run is expected to have left.
backends::run_outlook
manager::impl::outlook_of(const batch_state& b,
                          const item_state& i,
                          double event_gap_ms) const
{
  const auto hint = b.submission.items[i.index].length_hint;
  const auto elapsed_ms = event_gap_ms * static_cast<double>(i.text.events);
  const auto rest =
    expected_run_ms(pace, hint, static_cast<std::uint64_t>(elapsed_ms));
  return { static_cast<double>(rest) / event_gap_ms, b.due_ms };
}

// Returns the time between two events on the engine on which the item runs, or
// the typical one if it does not run or nothing is known of its engine.
double
manager::impl::gap_of_run_ms(const item_state& i, double typical_ms) const
{
  if (i.stage != item_stage::running) {
    return typical_ms;
  }
  const auto* backend = backends::find(deps.registry, i.backend);
  const auto gap =
    backend == nullptr
      ? 0
      : backends::expected_gap_ms(deps.registry, *backend, 0, http::now_ms());
  return gap > 0 ? gap : typical_ms;
}

} // namespace cactusford::batches
