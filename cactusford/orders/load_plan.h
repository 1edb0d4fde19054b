// Schedules the loads of weight versions on the engine of one sidecar. Pure.
//
// A trainer's step starts when its weight version is published, and accepts
// that version and the previous one. An engine that is one version behind can
// serve the step; one that is further behind cannot until it has loaded.
//
// An engine of a single trainer loads every version, late in a step while it is
// idle, so that all engines can serve the start of the next step. Of the
// engines that missed this, half load at once when the next version is
// published, and half serve the previous step until they are idle, as a load
// blocks the runs of its model for about a second.
//
// An engine shared by several trainers loads only some versions of each model,
// and cannot serve a model for a while before each load. A deployment completes
// about one load per engine and step, and concurrent loads slow each other
// down. If each engine loaded every second version of two models, exactly that
// many loads would be due: they took 3 s instead of 0.9 s, ended when the next
// version was published, and half of a step's items waited 1 to 2.5 s for an
// engine. An engine with two models therefore starts by loading every third
// version of each, one with three models every fourth; this stride adapts to
// how much its loads are slowed down.
//
// When four trainers published at the same time, thirty engines started to load
// where eight can load in parallel: all loads took 3 s, and the step started
// without these engines. If they load one after the other, the first are done
// after 0.9 s and the last no later than before. Engines therefore take turns
// after a publication, spread over a time that grows while loads are slowed
// down and shrinks while they are not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cactusford::orders {

// How many versions behind the published one a step still accepts.
constexpr std::uint64_t accepted_lag = 1;

// Maximum number of models that an engine loads. With more, more loads would be
// due than engines can complete; with only one or two of four models, fewer
// engines could serve the start of a step.
constexpr std::size_t models_per_engine = 3;

// Position of an engine among all engines of its deployment, by the rank of its
// sidecar.
struct engine_position
{
  std::uint32_t rank = 0;

  friend bool operator==(const engine_position&,
                         const engine_position&) = default;
};

// Derives a position from a hash of the instance name, for use until a relay
// has assigned a rank.
engine_position
position_from_name(std::string_view instance);

// Adapts to the durations of the engine's loads.
struct load_pacing
{
  // Duration of the fastest load so far, which is taken as the duration without
  // concurrent loads, in milliseconds; 0 if there was none.
  std::uint64_t fastest_load_ms = 0;
  // Added to the number of the engine's models to give the stride between
  // loaded versions; see `load_stride`.
  std::uint32_t extra_stride = 1;
  // Time over which the loads of all engines are spread after a publication, in
  // milliseconds.
  std::uint64_t spread_ms = 1500;
  // Number of consecutive loads that were slowed down, and that were not.
  std::uint32_t slow_loads_in_a_row = 0;
  std::uint32_t fast_loads_in_a_row = 0;

  friend bool operator==(const load_pacing&, const load_pacing&) = default;
};

// Records the duration of a load. Repeated slow loads increase the stride and
// the spread.
void
record_load(load_pacing& pacing, std::uint64_t took_ms);

// The latest published version of one model, and the pace of publications.
struct publication
{
  std::uint64_t version = 0;
  std::uint64_t since_ms = 0;
  // Smoothed time between two publications; 0 if not known yet.
  std::uint64_t period_ms = 0;

  friend bool operator==(const publication&, const publication&) = default;
};

void
record_publication(publication& last,
                   std::uint64_t version,
                   std::uint64_t now_ms);

enum class load_timing
{
  never,
  now,
  // When the engine is idle, but no later than a fixed part of the period.
  soon,
  // Later in the step, when the engine is idle.
  when_idle,
};

// True if the engine at this position loads the model with index `at` of
// `models`, in the order of their names. All models get the same number of
// engines.
bool
is_assigned(std::size_t at,
            std::size_t models,
            const engine_position& position);

// A model with its published version and the version that the engine has
// loaded.
struct model_versions
{
  std::string_view name;
  std::uint64_t published = 0;
  std::uint64_t loaded = 0;
};

// An engine that is shared by `models` models loads every n-th version of each
// of its models; this is n.
std::uint32_t
load_stride(std::size_t models, const load_pacing& pacing);

// Decides when an engine shared by `models` models loads the published version.
load_timing
choose_timing(const model_versions& versions,
              std::size_t models,
              const engine_position& position,
              const load_pacing& pacing);

// Minimum delay between the publication and the start of the load, in
// milliseconds. It keeps the number of concurrent loads low and keeps loads out
// of the start of a step.
std::uint64_t
load_delay_ms(load_timing t,
              const publication& last,
              const engine_position& position,
              const load_pacing& pacing = {});

// A load that is due, and the runs that need the weights that it replaces.
struct due_load
{
  // When it became due.
  std::uint64_t since_ms = 0;
  // When the oldest of these runs started, or 0, and when that was stated.
  std::uint64_t pinned_since_ms = 0;
  std::uint64_t pinned_at_ms = 0;
  bool is_logged = false;

  friend bool operator==(const due_load&, const due_load&) = default;
};

// Returns true if the load waits for runs that started before it was due. Runs
// that start later do not delay it, so it waits no longer than a run lasts.
bool
is_held(const due_load& load, std::uint64_t now_ms);

// True if a due load should still wait until the engine is idle.
bool
waits_for_idle(load_timing t, const publication& last, std::uint64_t now_ms);

} // namespace cactusford::orders
