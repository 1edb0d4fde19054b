#include "cactusford/data_centres/distance.h"

namespace cactusford::data_centres {

namespace {

// A connect time also contains the delays of a busy process or network, which
// the smallest of many does not. Routes between data centres change, so old
// ones are discarded.
constexpr std::uint64_t measuring_period_ms = 60'000;

// Connect times closer together than this count as one, which bounds their
// number to 60 for each data centre.
constexpr std::uint64_t resolution_ms = 1000;

// Used before the first measurement.
constexpr double default_same_region_ms = 1;
constexpr double default_other_region_ms = 20;

} // namespace

void
note_connect(distances& d,
             const std::string& data_centre,
             double took_ms,
             std::uint64_t now_ms)
{
  auto& times = d.measured[data_centre];
  // Only discarded when a new one arrives: an old measurement of a data centre
  // to which no connection is opened is better than a default.
  std::erase_if(times, [now_ms](const auto& t) {
    return now_ms > t.at_ms + measuring_period_ms;
  });
  std::erase_if(times,
                [took_ms](const auto& t) { return t.took_ms >= took_ms; });
  if (times.empty() || now_ms >= times.back().at_ms + resolution_ms) {
    times.push_back({ now_ms, took_ms });
  }
}

double
round_trip_ms(const distances& d,
              const region_map& regions,
              std::string_view own,
              std::string_view data_centre)
{
  if (!d.is_enabled) {
    return 0;
  }
  const auto found = d.measured.find(data_centre);
  if (found != d.measured.end() && !found->second.empty()) {
    return found->second.front().took_ms;
  }
  if (data_centre == own) {
    return 0;
  }
  return is_same_region(regions, own, data_centre) ? default_same_region_ms
                                                   : default_other_region_ms;
}

bool
is_same_region(const region_map& regions,
               std::string_view a,
               std::string_view b)
{
  const auto region = region_of(regions, a);
  return !region.empty() && region == region_of(regions, b);
}

} // namespace cactusford::data_centres
