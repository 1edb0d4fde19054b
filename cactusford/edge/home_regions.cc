#include "cactusford/edge/home_regions.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

// Drained servers count: a drained home is refused as drained.
bool
has_home_server(const backends::registry& known,
                std::string_view service,
                const data_centres::home_regions& homes)
{
  return std::any_of(known.all.begin(), known.all.end(), [&](const auto& e) {
    const auto& info = e.second.info;
    return info.service == service && !info.leaving &&
           data_centres::is_home(
             homes, known.topology.regions, info.data_centre);
  });
}

} // namespace

std::string_view
restrict_to_homes(routes::route& r,
                  const backends::registry& known,
                  const data_centres::home_regions& homes)
{
  if (!homes.is_restricted) {
    return {};
  }
  if (homes.allowed.empty()) {
    return "no_home_region";
  }
  // Otherwise a service without a server in a home would be picked although
  // another one has some.
  std::erase_if(r.services, [&](const auto& s) {
    return !has_home_server(known, s.service, homes);
  });
  return r.services.empty() ? "home_without_servers" : std::string_view{};
}

} // namespace cactusford::edge
