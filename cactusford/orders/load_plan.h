// When the engine of one sidecar loads a weight version. Pure.
//
// A trainer's step accepts the version that is named and the one before it.
// So each engine loads every second version, half of them the even and half
// the odd ones: at any time the other half serves, and an engine loads half
// as often.
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

  friend bool operator==(const place&, const place&) = default;
};

place
place_of(std::string_view instance,
         std::string_view data_centre,
         std::vector<std::string> data_centres);

// True when the engine should load `named`, holding `loaded`.
bool
wants(std::string_view model,
      std::uint64_t named,
      std::uint64_t loaded,
      const place& p);

// How long it waits so that few load at the same time, in milliseconds.
std::uint64_t
delay_ms(const place& p);

} // namespace cactusford::orders
