// When the engine of one sidecar loads a weight version. Pure.
//
// A trainer's step accepts the version that is named and the one before it, and
// it begins when its version is named. An engine one version behind serves the
// step; one that is further behind is of no use until it has loaded.
//
// An engine of one trainer loads each version, in the quiet end of a step, when
// it runs nothing: all engines serve the next step's beginning. Of those that
// missed it half load at the naming, and half go on with the step before until
// they run nothing: a load holds the runs of its model up for about a second.
//
// An engine shared by several trainers loads some versions of each and is of no
// use to a model for a while before a load. A deployment carries out about one
// load for each engine in the time of a step, and loads that meet slow each
// other. Were each engine to load every second version of two models, just that
// many were due: loads took 3 s in place of 0.9 s, ended when the next version
// was named, and half of a step's items waited 1 to 2.5 s for an engine. So an
// engine that keeps up with two models loads every third version of each to
// begin with, one that keeps up with three every fourth, and more or fewer as
// its loads are slowed or not.
//
// Four trainers name their versions at the same moment, and thirty engines
// would load at once where eight can: all of them took 3 s, and the step began
// without them. One after the other the first are done after 0.9 s, and the
// last are no later. So engines take turns after a naming, over a time that
// grows while loads are slowed and shrinks while they are not.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cactusford::orders {

// Versions behind the named one that a step still accepts.
constexpr std::uint64_t accepted_lag = 1;

// Models that an engine keeps up with. With more, loads would be due more often
// than engines carry them out; with one or two of four, a step would begin with
// fewer engines.
constexpr std::size_t models_kept = 3;

// Where an engine stands among those of its deployment, counted by their names.
struct place
{
  std::uint32_t rank = 0;

  friend bool operator==(const place&, const place&) = default;
};

// Before anybody has counted: by a hash of its own name.
place
place_by_name(std::string_view instance);

// What a sidecar has seen of its engine's loads.
struct load_pace
{
  // The shortest load seen, in milliseconds: one that no other slowed. 0: none.
  std::uint64_t shortest_ms = 0;
  // Of each model that is kept, the engine loads one version in as many as it
  // keeps models and this.
  std::uint32_t passed_over = 1;
  // Over how long the turns of all engines are spread after a naming, in
  // milliseconds.
  std::uint64_t spread_ms = 1500;
  // Loads in a row that were slowed, and that were not.
  std::uint32_t slowed = 0;
  std::uint32_t unslowed = 0;

  friend bool operator==(const load_pace&, const load_pace&) = default;
};

// A load took this long. Loads that are slowed again and again become fewer.
void
note_load(load_pace& p, std::uint64_t took_ms);

// The namings of one model.
struct naming
{
  std::uint64_t version = 0;
  std::uint64_t since_ms = 0;
  // The usual time between two; 0: not known yet.
  std::uint64_t period_ms = 0;

  friend bool operator==(const naming&, const naming&) = default;
};

void
note_naming(naming& n, std::uint64_t version, std::uint64_t now_ms);

enum class load_time
{
  never,
  now,
  // While it runs nothing, but at a set time in any case.
  soon,
  // Later in the step, while it runs nothing.
  when_idle,
};

// True when the engine at this place keeps up with its model number `at` of
// `models`, counted in the order of their names. Each model has as many
// engines as any other.
bool
keeps_up_with(std::size_t at, std::size_t models, const place& p);

// A model that an engine keeps up with, and what it holds of it.
struct held_model
{
  std::string_view name;
  std::uint64_t named = 0;
  std::uint64_t loaded = 0;
};

// Of each model that is kept, an engine of `models` models loads one version in
// so many.
std::uint32_t
stride_of(std::size_t models, const load_pace& pace);

// When an engine of `models` models should load what is named.
load_time
wants(const held_model& m,
      std::size_t models,
      const place& p,
      const load_pace& pace);

// How long after the naming an engine starts at the earliest, in milliseconds:
// few load at the same time, and the beginning of a step is left alone.
std::uint64_t
delay_ms(load_time t,
         const naming& n,
         const place& p,
         const load_pace& pace = {});

// True while a load that is due should wait for the runs of the engine to end.
bool
waits_for_quiet(load_time t, const naming& n, std::uint64_t now_ms);

} // namespace cactusford::orders
