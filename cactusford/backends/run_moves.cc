#include "cactusford/backends/run_moves.h"

#include "cactusford/backends/warm_up_events.h"

#include <algorithm>

namespace cactusford::backends {

namespace {

// A text that is complete still has to be scored by one call of 80 ms.
constexpr std::uint64_t score_ms = 100;

// A run leaves a slow engine only for one that is faster by more than the error
// of two expected gaps.
constexpr double clearly_faster = 0.8;

void
summarize_service(registry& r,
                  service_pace& p,
                  const std::string& service,
                  std::uint64_t now_ms)
{
  std::vector<server_speed*> servers;
  for (auto& [id, b] : r.all) {
    if (b.info.service == service) {
      servers.push_back(&b.speed);
    }
  }
  summarize(p, servers, now_ms);
}

} // namespace

std::string_view
name_of(move_cause cause) noexcept
{
  switch (cause) {
    case move_cause::none:
      return "none";
    case move_cause::trouble:
      return "trouble";
    case move_cause::late:
      return "late";
  }
  return "unknown";
}

void
note_events(registry& r,
            backend& b,
            gap_window& window,
            std::uint64_t events,
            std::uint64_t last_event_ms,
            std::uint64_t now_ms)
{
  // A cold server is slow for a time that is known. Its samples would show
  // trouble, and teach a factor that is wrong once it is warm.
  if (is_cold(r, b, now_ms)) {
    window = {};
    return;
  }
  note_pace(b,
            static_cast<double>(now_ms - last_event_ms) /
              static_cast<double>(events),
            now_ms);
  if (!r.server_speeds) {
    return;
  }
  auto& pace = r.paces[b.info.service];
  const auto load = load_of(b, now_ms);
  if (window.start_ms == 0) {
    window.start_ms = last_event_ms;
  }
  const auto gap =
    add_events(window, events, expected_gap_ms(pace, b.speed, load), now_ms);
  if (!gap) {
    return;
  }
  record_gap(pace, b.speed, *gap, load, now_ms);
  if (is_summary_due(pace, now_ms)) {
    summarize_service(r, pace, b.info.service, now_ms);
  }
}

double
expected_gap_ms(const registry& r,
                const backend& b,
                std::uint32_t more_runs,
                std::uint64_t now_ms)
{
  const auto* pace = pace_of(r, b.info.service);
  if (pace == nullptr) {
    return 0;
  }
  const auto more =
    static_cast<double>(more_runs) / std::max<std::uint32_t>(b.info.slots, 1);
  return expected_gap_ms(*pace, b.speed, load_of(b, now_ms) + more) *
         trouble_of(*pace, b.speed, now_ms);
}

bool
is_in_trouble(const registry& r, const backend& b, std::uint64_t now_ms)
{
  const auto* pace = pace_of(r, b.info.service);
  return pace != nullptr && !is_cold(r, b, now_ms) &&
         is_in_trouble(*pace, b.speed, now_ms);
}

std::size_t
servers_in_trouble(const registry& r, std::uint64_t now_ms)
{
  return static_cast<std::size_t>(
    std::count_if(r.all.begin(), r.all.end(), [&](const auto& e) {
      return is_in_trouble(r, e.second, now_ms);
    }));
}

move_cause
cause_to_move(const registry& r,
              const backend& here,
              const run_outlook& run,
              const move_history& history,
              std::uint64_t now_ms)
{
  const auto* pace = pace_of(r, here.info.service);
  if (pace == nullptr || is_cold(r, here, now_ms)) {
    return move_cause::none;
  }
  if (is_in_trouble(*pace, here.speed, now_ms)) {
    const bool has_moved =
      history.left_id == here.info.id &&
      history.left_period_ms == here.speed.trouble_since_ms;
    return has_moved ? move_cause::none : move_cause::trouble;
  }
  // A run that is late already has missed its step, and a move only costs.
  const bool has_faster =
    pace->fast_factor < clearly_faster * distinct_factor(here.speed);
  if (history.has_moved_late || !has_faster || now_ms >= run.due_ms) {
    return move_cause::none;
  }
  const auto rest = run.remaining_events * expected_gap_ms(r, here, 0, now_ms);
  const auto end = static_cast<double>(now_ms + score_ms) + rest;
  return end > static_cast<double>(run.due_ms) ? move_cause::late
                                               : move_cause::none;
}

bool
should_move(const registry& r,
            const backend& here,
            const backend& there,
            move_cause cause,
            const run_outlook& run,
            std::uint64_t now_ms)
{
  const auto gap_here = expected_gap_ms(r, here, 0, now_ms);
  const auto gap_there = expected_gap_ms(r, there, 1, now_ms);
  // A cold engine may be slower than one in trouble.
  if (cause == move_cause::none || is_cold(r, there, now_ms) ||
      is_in_trouble(r, there, now_ms)) {
    return false;
  }
  const bool is_distinct =
    distinct_factor(there.speed) < distinct_factor(here.speed);
  if (cause == move_cause::late &&
      (!is_distinct || gap_there > clearly_faster * gap_here)) {
    return false;
  }
  return move_pays(run.remaining_events, gap_here, gap_there);
}

void
note_move(registry& r, const backend& here, move_cause cause, move_history& h)
{
  if (cause == move_cause::trouble) {
    h.left_id = here.info.id;
    h.left_period_ms = here.speed.trouble_since_ms;
    // Often only slow engines are free when an engine gets into trouble.
    h.has_moved_late = false;
    ++r.moves.moved_trouble;
  } else if (cause == move_cause::late) {
    h.has_moved_late = true;
    ++r.moves.moved_late;
  }
}

void
note_kept(registry& r, const backend& here, move_cause cause, move_history& h)
{
  const auto period = here.speed.trouble_since_ms;
  if (cause == move_cause::trouble && h.kept_period_ms != period) {
    h.kept_period_ms = period;
    ++r.moves.kept_despite_trouble;
  }
}

} // namespace cactusford::backends
