// When the engine of one sidecar loads a weight version. Pure.
//
// A trainer's step accepts the version that is named and the one before it,
// and it begins when its version is named. An engine one version behind serves
// the step; one that is further behind is of no use until it has loaded.
//
// An engine of one trainer loads each version, in the quiet end of a step,
// when it runs nothing: all engines serve the next step's beginning. As many
// loads as engines are due to each trainer, so an engine shared by several
// loads every second version of each, half of the engines the even and half
// the odd ones. One shared by more than two keeps up with two of them only:
// the deployment's rate of loads is about one for each engine in the time of a
// step, and engines that fall behind with all serve none.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::orders {

// Versions behind the named one that a step still accepts.
constexpr std::uint64_t accepted_lag = 1;

// Where an engine stands among those of its deployment. Sidecars work it out
// from their own name, without a message: names end in "-DATA_CENTRE-NUMBER".
struct place
{
  std::uint32_t index = 0;
  // Neighbours in a data centre and across them differ in it.
  std::uint32_t diagonal = 0;

  friend bool operator==(const place&, const place&) = default;
};

place
place_of(std::string_view instance,
         std::string_view data_centre,
         std::vector<std::string> data_centres);

enum class load_time
{
  never,
  // As soon as its turn among the loading engines comes.
  now,
  // Later in the step, while it runs nothing.
  when_idle,
};

// Models that an engine keeps up with.
constexpr std::size_t models_kept = 2;

// True when the engine at this place keeps up with its model number `at` of
// `models`, counted in the order of their names. Each model has as many
// engines as any other, spread over the data centres.
bool
keeps_up_with(std::size_t at, std::size_t models, const place& p);

// When an engine of `models` models that holds `loaded` of one that it keeps
// up with should load `named`.
load_time
wants(std::string_view model,
      std::uint64_t named,
      std::uint64_t loaded,
      std::size_t models,
      const place& p);

// True while a load that is due should wait for the runs of the engine to end:
// a load holds them up for about a second. Two versions may be named at nearly
// the same time; the engines of the first turn load for the younger step at
// once, the others go on serving the older one for a moment.
bool
waits_for_quiet(load_time t, std::uint64_t since_naming_ms, const place& p);

// How long after the naming an engine of `models` models starts at the
// earliest, so that few load at the same time and the beginning of a step is
// left alone, in milliseconds.
std::uint64_t
delay_ms(load_time t, std::size_t models, const place& p);

} // namespace cactusford::orders
