#include "cactusford/orders/load_plan.h"

#include <algorithm>
#include <cmath>

namespace cactusford::orders {

namespace {

// With a larger stride an engine could not serve a model for most of the time.
constexpr std::uint32_t max_extra_stride = 2;

// A load counts as slowed down above `slow_load_factor` times the fastest load,
// and as undisturbed below `fast_load_factor` times. Between them nothing
// changes, as a few concurrent loads are harmless.
constexpr double slow_load_factor = 1.8;
constexpr double fast_load_factor = 1.3;

// Maximum spread, in durations of consecutive loads. After an outage all
// engines of a large deployment are behind at once.
constexpr std::uint64_t max_spread_loads = 10;

// Part of the period over which loads are spread; the rest leaves time for the
// last load to finish before the next publication.
constexpr double max_spread_share = 0.8;

// Number of consecutive loads before the stride changes. A single slow load may
// be due to an outage.
constexpr std::uint32_t slow_loads_to_widen = 2;
constexpr std::uint32_t fast_loads_to_narrow = 8;

// As parts of a step's duration: most items run in its first third, and the
// loads of all engines are spread over the rest.
constexpr double idle_window_begin = 0.35;
constexpr double idle_window_length = 0.6;

// Longest wait for an idle engine, as part of the period, if the engine is too
// far behind to serve the newest step.
constexpr double max_idle_wait = 0.4;

// A sidecar hears from its relay about once a second. Pins of a relay that is
// gone expire.
constexpr std::uint64_t max_pin_age_ms = 3000;

// No run lasts longer.
constexpr std::uint64_t max_hold_ms = 60000;

// Smoothing factor for the period, as steps that end late lengthen single
// intervals.
constexpr double period_smoothing = 0.3;

std::uint32_t
fnv1a_hash(std::string_view text)
{
  constexpr std::uint32_t offset = 2166136261U;
  constexpr std::uint32_t prime = 16777619U;
  std::uint32_t h = offset;
  for (const char c : text) {
    h = (h ^ static_cast<unsigned char>(c)) * prime;
  }
  return h;
}

// Position in the order of loads, in [0, 1). Multiples of the golden ratio
// spread any number of engines evenly, without knowledge of their number.
double
turn_fraction(const engine_position& position)
{
  constexpr double golden = 0.6180339887498949;
  const auto turn = golden * position.rank;
  return turn - std::floor(turn);
}

} // namespace

engine_position
position_from_name(std::string_view instance)
{
  // Exceeds any number of engines; much larger ranks would reduce the precision
  // of `turn_fraction`.
  constexpr std::uint32_t ranks = 4096;
  return { fnv1a_hash(instance) % ranks };
}

void
record_load(load_pacing& pacing, std::uint64_t took_ms)
{
  const bool is_fastest =
    pacing.fastest_load_ms == 0 || took_ms < pacing.fastest_load_ms;
  pacing.fastest_load_ms = is_fastest ? took_ms : pacing.fastest_load_ms;
  const auto slowdown =
    static_cast<double>(took_ms) /
    static_cast<double>(std::max<std::uint64_t>(pacing.fastest_load_ms, 1));
  if (slowdown > slow_load_factor) {
    pacing.spread_ms = std::min(pacing.spread_ms + pacing.spread_ms / 2 +
                                  pacing.fastest_load_ms / 2,
                                max_spread_loads * pacing.fastest_load_ms);
  } else if (slowdown < fast_load_factor) {
    pacing.spread_ms -= pacing.spread_ms / 16;
  }
  pacing.slow_loads_in_a_row =
    slowdown > slow_load_factor ? pacing.slow_loads_in_a_row + 1 : 0;
  pacing.fast_loads_in_a_row =
    slowdown < fast_load_factor ? pacing.fast_loads_in_a_row + 1 : 0;
  if (pacing.slow_loads_in_a_row >= slow_loads_to_widen) {
    pacing.extra_stride = std::min(pacing.extra_stride + 1, max_extra_stride);
    pacing.slow_loads_in_a_row = 0;
  } else if (pacing.fast_loads_in_a_row >= fast_loads_to_narrow) {
    pacing.extra_stride -= pacing.extra_stride > 0 ? 1 : 0;
    pacing.fast_loads_in_a_row = 0;
  }
}

void
record_publication(publication& last,
                   std::uint64_t version,
                   std::uint64_t now_ms)
{
  if (version <= last.version) {
    return;
  }
  if (last.version != 0) {
    const auto between = (now_ms - last.since_ms) / (version - last.version);
    const auto change =
      static_cast<double>(between) - static_cast<double>(last.period_ms);
    last.period_ms =
      last.period_ms == 0
        ? between
        : last.period_ms + static_cast<std::uint64_t>(static_cast<std::int64_t>(
                             period_smoothing * change));
  }
  last.version = version;
  last.since_ms = now_ms;
}

bool
is_assigned(std::size_t at, std::size_t models, const engine_position& position)
{
  const auto first = position.rank % models;
  return (at + models - first) % models < models_per_engine;
}

std::uint32_t
load_stride(std::size_t models, const load_pacing& pacing)
{
  return static_cast<std::uint32_t>(std::min(models, models_per_engine)) +
         pacing.extra_stride;
}

load_timing
choose_timing(const model_versions& versions,
              std::size_t models,
              const engine_position& position,
              const load_pacing& pacing)
{
  if (versions.published <= versions.loaded) {
    return load_timing::never;
  }
  const auto lag = versions.published - versions.loaded;
  if (models <= 1 && lag <= accepted_lag) {
    return load_timing::when_idle;
  }
  if (models <= 1) {
    return position.rank % 2 == 0 ? load_timing::now : load_timing::soon;
  }
  // After an outage all engines are behind and load the same version; different
  // turns make them load different versions again.
  const auto stride = load_stride(models, pacing);
  const auto turn = position.rank / models + fnv1a_hash(versions.name);
  // An engine that can serve the step that starts skips its load while loads
  // are slowed down.
  const bool is_load_useful =
    lag > accepted_lag || pacing.slow_loads_in_a_row == 0;
  const bool is_due =
    is_load_useful && (versions.published + turn) % stride == 0;
  return is_due || lag >= stride ? load_timing::now : load_timing::never;
}

std::uint64_t
load_delay_ms(load_timing t,
              const publication& last,
              const engine_position& position,
              const load_pacing& pacing)
{
  if (t == load_timing::now) {
    const auto spread = static_cast<double>(pacing.spread_ms);
    const auto room = max_spread_share * static_cast<double>(last.period_ms);
    return static_cast<std::uint64_t>(
      turn_fraction(position) *
      (last.period_ms == 0 ? spread : std::min(spread, room)));
  }
  if (t != load_timing::when_idle) {
    return 0;
  }
  const auto part =
    idle_window_begin + idle_window_length * turn_fraction(position);
  return static_cast<std::uint64_t>(part * static_cast<double>(last.period_ms));
}

bool
is_held(const due_load& load, std::uint64_t now_ms)
{
  return load.pinned_since_ms != 0 && load.pinned_since_ms < load.since_ms &&
         now_ms - load.pinned_at_ms <= max_pin_age_ms &&
         now_ms - load.since_ms < max_hold_ms;
}

bool
waits_for_idle(load_timing t, const publication& last, std::uint64_t now_ms)
{
  if (t == load_timing::soon) {
    const auto limit = max_idle_wait * static_cast<double>(last.period_ms);
    return static_cast<double>(now_ms - last.since_ms) < limit;
  }
  return t == load_timing::when_idle;
}

} // namespace cactusford::orders
