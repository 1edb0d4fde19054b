// Distances between this instance and the data centres, as round trip times.
// Pure: the current time is a parameter.
#pragma once

#include "cactusford/data_centres/homes.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::data_centres {

// How long it took to open a connection, which is one round trip.
struct connect_time
{
  std::uint64_t at_ms = 0;
  double took_ms = 0;

  friend bool operator==(const connect_time&, const connect_time&) = default;
};

struct distances
{
  // False: data centres are told apart only by whether they are the own one.
  bool is_enabled = false;
  // By data centre: the connect times that are, or may become, the smallest of
  // the measuring period, in ascending order of both time and duration.
  std::map<std::string, std::vector<connect_time>, std::less<>> measured;

  friend bool operator==(const distances&, const distances&) = default;
};

// Records the time that a connection to a server of the data centre took.
void
note_connect(distances& d,
             const std::string& data_centre,
             double took_ms,
             std::uint64_t now_ms);

// Returns the expected round trip to a data centre in milliseconds: the
// smallest measured one, or a default until there is any. 0 if disabled.
double
round_trip_ms(const distances& d,
              const region_map& regions,
              std::string_view own,
              std::string_view data_centre);

// Returns true if both data centres belong to the same known region.
bool
is_same_region(const region_map& regions,
               std::string_view a,
               std::string_view b);

} // namespace cactusford::data_centres
