#include "cactusford/orders/load_plan.h"

#include "cactusford/http/message.h"

#include <algorithm>
#include <cmath>

namespace cactusford::orders {

namespace {

// Loads at the same time before they slow each other down, and the time of
// one that is not slowed: the engines' measured figures.
constexpr std::uint32_t loads_at_once = 2;
constexpr std::uint64_t load_ms = 950;

// The halves that load even and odd versions.
constexpr std::uint32_t halves = 2;

// Waiting longer than this would let a step meet engines that are too old.
constexpr std::uint64_t longest_delay_ms = 2000;

// With many trainers a quarter of all engines is due at each naming, and of 38
// engines 8 load at the same time: about ten loads take little more than the
// time of one.
constexpr double many_models_spread_ms = 1000;

// An engine that is too old for the younger step waits this long at most.
constexpr std::uint64_t longest_quiet_wait_ms = 1600;

// Most items of a step run in its first second and a half.
constexpr std::uint64_t step_begin_ms = 1500;
constexpr std::uint64_t longest_idle_delay_ms = 3000;

std::uint32_t
small_hash(std::string_view text)
{
  std::uint32_t h = 2166136261U;
  for (const char c : text) {
    h = (h ^ static_cast<unsigned char>(c)) * 16777619U;
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
  const auto turn = golden * p.index;
  return turn - std::floor(turn);
}

} // namespace

place
place_of(std::string_view instance,
         std::string_view data_centre,
         std::vector<std::string> data_centres)
{
  const auto dash = instance.rfind('-');
  const auto number = dash == std::string_view::npos
                        ? std::nullopt
                        : http::parse_number(instance.substr(dash + 1));
  std::sort(data_centres.begin(), data_centres.end());
  const auto at =
    std::find(data_centres.begin(), data_centres.end(), data_centre);
  if (!number || *number == 0 || at == data_centres.end()) {
    const auto h = small_hash(instance);
    return { h % 64, h / 64 };
  }
  const auto zone = static_cast<std::uint32_t>(at - data_centres.begin());
  const auto row = static_cast<std::uint32_t>(*number - 1);
  const auto zones = static_cast<std::uint32_t>(data_centres.size());
  return { row * zones + zone, row + zone };
}

bool
keeps_up_with(std::size_t at, std::size_t models, const place& p)
{
  const auto first = p.diagonal % models;
  return (at + models - first) % models < models_kept;
}

load_time
wants(std::string_view model,
      std::uint64_t named,
      std::uint64_t loaded,
      std::size_t models,
      const place& p)
{
  if (named <= loaded) {
    return load_time::never;
  }
  if (named - loaded > accepted_lag) {
    return load_time::now;
  }
  if (models <= 1) {
    return load_time::when_idle;
  }
  const bool mine = (named + p.index + small_hash(model)) % halves == 0;
  return mine ? load_time::now : load_time::never;
}

bool
waits_for_quiet(load_time t, std::uint64_t since_naming_ms, const place& p)
{
  if (t == load_time::when_idle) {
    return true;
  }
  const bool first_turn = p.index / halves / loads_at_once == 0;
  return !first_turn && since_naming_ms < longest_quiet_wait_ms;
}

std::uint64_t
delay_ms(load_time t, std::size_t models, const place& p)
{
  if (t == load_time::when_idle) {
    const auto turn = p.index / loads_at_once;
    return step_begin_ms + std::min(turn * load_ms, longest_idle_delay_ms);
  }
  if (models > models_kept) {
    return static_cast<std::uint64_t>(turn_of(p) * many_models_spread_ms);
  }
  const auto turn = p.index / halves / loads_at_once;
  return std::min(turn * load_ms, longest_delay_ms);
}

} // namespace cactusford::orders
