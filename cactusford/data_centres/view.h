// What an instance knows about the data centres of its deployment. Free of side
// effects: the current time is a parameter.
#pragma once

#include "cactusford/data_centres/distance.h"
#include "cactusford/data_centres/drains.h"
#include "cactusford/data_centres/homes.h"
#include "cactusford/data_centres/reachability.h"

#include <string>

namespace cactusford::data_centres {

struct view
{
  // The data centre of this instance.
  std::string own;
  region_map regions;
  drain_orders drains;
  reachability reach;
  distances distance;

  friend bool operator==(const view&, const view&) = default;
};

} // namespace cactusford::data_centres
