#include "cactusford/data_centres/homes.h"

#include <algorithm>
#include <iterator>

namespace cactusford::data_centres {

std::string_view
region_of(const region_map& regions, std::string_view data_centre)
{
  const auto found = regions.find(data_centre);
  return found == regions.end() ? std::string_view{}
                                : std::string_view{ found->second };
}

home_regions
homes_from(std::vector<std::string> declared)
{
  std::sort(declared.begin(), declared.end());
  const bool is_restricted = !declared.empty();
  return { is_restricted, std::move(declared) };
}

home_regions
intersect(const home_regions& a, const home_regions& b)
{
  if (!a.is_restricted || !b.is_restricted) {
    return a.is_restricted ? a : b;
  }
  home_regions both{ true, {} };
  std::set_intersection(a.allowed.begin(),
                        a.allowed.end(),
                        b.allowed.begin(),
                        b.allowed.end(),
                        std::back_inserter(both.allowed));
  return both;
}

bool
has_several_regions(const region_map& regions)
{
  return std::any_of(regions.begin(), regions.end(), [&](const auto& r) {
    return r.second != regions.begin()->second;
  });
}

bool
may_hold_body(const home_regions& homes,
              std::string_view accepting_region,
              std::string_view candidate_region)
{
  if (!homes.is_restricted) {
    return true;
  }
  return !candidate_region.empty() &&
         (candidate_region == accepting_region ||
          std::binary_search(
            homes.allowed.begin(), homes.allowed.end(), candidate_region));
}

bool
is_home(const home_regions& homes,
        const region_map& regions,
        std::string_view data_centre)
{
  if (!homes.is_restricted) {
    return true;
  }
  const auto region = region_of(regions, data_centre);
  return !region.empty() &&
         std::binary_search(homes.allowed.begin(), homes.allowed.end(), region);
}

} // namespace cactusford::data_centres
