// Home regions: the regions in which requests of a route or of a workspace may
// be served, and to which their bodies may be sent. Pure.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::data_centres {

// Region by data centre.
using region_map = std::map<std::string, std::string, std::less<>>;

// Regions that may serve a request. Without a restriction any region may.
struct home_regions
{
  bool is_restricted = false;
  // Sorted. Empty although restricted: no region may serve the request.
  std::vector<std::string> allowed;

  friend bool operator==(const home_regions&, const home_regions&) = default;
};

// Returns the region of a data centre; empty if it is unknown.
std::string_view
region_of(const region_map& regions, std::string_view data_centre);

// Returns the restriction of a declared list; an empty list restricts nothing.
home_regions
homes_from(std::vector<std::string> declared);

// Returns the regions that both allow.
home_regions
intersect(const home_regions& a, const home_regions& b);

// Returns true if the data centres belong to more than one region.
bool
has_several_regions(const region_map& regions);

// Returns true if an instance in the candidate's region may get the body of a
// request: in a home, or in the region of the instance that accepted the
// request from its caller. Empty regions are unknown, and match none.
bool
may_hold_body(const home_regions& homes,
              std::string_view accepting_region,
              std::string_view candidate_region);

// Returns false if the data centre's region is unknown and there is a
// restriction.
bool
is_home(const home_regions& homes,
        const region_map& regions,
        std::string_view data_centre);

} // namespace cactusford::data_centres
