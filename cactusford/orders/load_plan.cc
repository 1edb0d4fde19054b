#include "cactusford/orders/load_plan.h"

#include <algorithm>
#include <cmath>

namespace cactusford::orders {

namespace {

// With more versions passed over an engine would be of no use to a model for
// most of the time.
constexpr std::uint32_t most_passed_over = 2;

// A load that takes this many times the shortest was slowed by others, and one
// that takes less than that was not. In between nothing changes: a few loads at
// the same time are no harm.
constexpr double slowed_times = 1.8;
constexpr double unslowed_times = 1.3;

// The longest spread, in loads one after the other: after an outage all engines
// of a large deployment are behind.
constexpr std::uint64_t most_spread_loads = 10;

// The last turn leaves room for the load itself before the next naming.
constexpr double spread_of_period = 0.8;

// Loads in a row before the stride changes: one alone may have met an outage.
constexpr std::uint32_t slowed_in_a_row = 2;
constexpr std::uint32_t unslowed_in_a_row = 8;

// In parts of a step's time: most items run in its first third; the loads of
// all engines are spread over the rest.
constexpr double quiet_begin = 0.35;
constexpr double quiet_spread = 0.6;

// An engine that is too old for the younger step waits this long at most.
constexpr double longest_quiet_wait = 0.4;

// Weight of a new interval. Steps that end late lengthen single ones.
constexpr double period_gain = 0.3;

std::uint32_t
small_hash(std::string_view text)
{
  constexpr std::uint32_t offset = 2166136261U;
  constexpr std::uint32_t prime = 16777619U;
  std::uint32_t h = offset;
  for (const char c : text) {
    h = (h ^ static_cast<unsigned char>(c)) * prime;
  }
  return h;
}

// Where in the row of loads this place stands, from 0 to 1. Multiples of the
// golden ratio spread any number of engines evenly without their number being
// known.
double
turn_of(const place& p)
{
  constexpr double golden = 0.6180339887498949;
  const auto turn = golden * p.rank;
  return turn - std::floor(turn);
}

} // namespace

place
place_by_name(std::string_view instance)
{
  // Ranks beyond any number of engines would cost the turns their precision.
  constexpr std::uint32_t ranks = 4096;
  return { small_hash(instance) % ranks };
}

void
note_load(load_pace& p, std::uint64_t took_ms)
{
  const bool is_shorter = p.shortest_ms == 0 || took_ms < p.shortest_ms;
  p.shortest_ms = is_shorter ? took_ms : p.shortest_ms;
  const auto times =
    static_cast<double>(took_ms) /
    static_cast<double>(std::max<std::uint64_t>(p.shortest_ms, 1));
  if (times > slowed_times) {
    p.spread_ms = std::min(p.spread_ms + p.spread_ms / 2 + p.shortest_ms / 2,
                           most_spread_loads * p.shortest_ms);
  } else if (times < unslowed_times) {
    p.spread_ms -= p.spread_ms / 16;
  }
  p.slowed = times > slowed_times ? p.slowed + 1 : 0;
  p.unslowed = times < unslowed_times ? p.unslowed + 1 : 0;
  if (p.slowed >= slowed_in_a_row) {
    p.passed_over = std::min(p.passed_over + 1, most_passed_over);
    p.slowed = 0;
  } else if (p.unslowed >= unslowed_in_a_row) {
    p.passed_over -= p.passed_over > 0 ? 1 : 0;
    p.unslowed = 0;
  }
}

void
note_naming(naming& n, std::uint64_t version, std::uint64_t now_ms)
{
  if (version <= n.version) {
    return;
  }
  if (n.version != 0) {
    const auto between = (now_ms - n.since_ms) / (version - n.version);
    const auto change =
      static_cast<double>(between) - static_cast<double>(n.period_ms);
    n.period_ms =
      n.period_ms == 0
        ? between
        : n.period_ms + static_cast<std::uint64_t>(
                          static_cast<std::int64_t>(period_gain * change));
  }
  n.version = version;
  n.since_ms = now_ms;
}

bool
keeps_up_with(std::size_t at, std::size_t models, const place& p)
{
  const auto first = p.rank % models;
  return (at + models - first) % models < models_kept;
}

std::uint32_t
stride_of(std::size_t models, const load_pace& pace)
{
  return static_cast<std::uint32_t>(std::min(models, models_kept)) +
         pace.passed_over;
}

load_time
wants(const held_model& m,
      std::size_t models,
      const place& p,
      const load_pace& pace)
{
  if (m.named <= m.loaded) {
    return load_time::never;
  }
  const auto lag = m.named - m.loaded;
  if (models <= 1 && lag <= accepted_lag) {
    return load_time::when_idle;
  }
  if (models <= 1) {
    return p.rank % 2 == 0 ? load_time::now : load_time::soon;
  }
  // After an outage all engines are behind and load at once; their turns set
  // them apart again.
  const auto stride = stride_of(models, pace);
  const auto turn = p.rank / models + small_hash(m.name);
  // One that serves the step that begins need not load while loads are slowed.
  const bool is_worth_it = lag > accepted_lag || pace.slowed == 0;
  const bool is_due = is_worth_it && (m.named + turn) % stride == 0;
  return is_due || lag >= stride ? load_time::now : load_time::never;
}

std::uint64_t
delay_ms(load_time t, const naming& n, const place& p, const load_pace& pace)
{
  if (t == load_time::now) {
    const auto spread = static_cast<double>(pace.spread_ms);
    const auto room = spread_of_period * static_cast<double>(n.period_ms);
    return static_cast<std::uint64_t>(
      turn_of(p) * (n.period_ms == 0 ? spread : std::min(spread, room)));
  }
  if (t != load_time::when_idle) {
    return 0;
  }
  const auto part = quiet_begin + quiet_spread * turn_of(p);
  return static_cast<std::uint64_t>(part * static_cast<double>(n.period_ms));
}

bool
waits_for_quiet(load_time t, const naming& n, std::uint64_t now_ms)
{
  if (t == load_time::soon) {
    const auto limit = longest_quiet_wait * static_cast<double>(n.period_ms);
    return static_cast<double>(now_ms - n.since_ms) < limit;
  }
  return t == load_time::when_idle;
}

} // namespace cactusford::orders
