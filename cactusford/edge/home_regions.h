// Restricts requests to the backend servers of their home regions. Pure.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/routes/table.h"

#include <string_view>

namespace cactusford::edge {

// Removes the services of the route that have no server in a home. Returns why
// the request is refused if none is left, else an empty text.
std::string_view
restrict_to_homes(routes::route& r,
                  const backends::registry& known,
                  const data_centres::home_regions& homes);

} // namespace cactusford::edge
