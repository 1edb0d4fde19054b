#include "cactusford/configuration/tree.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::configuration {

namespace {

constexpr std::size_t max_parents = 4;

std::vector<std::string>
live_in(const table<instance>& instances, const std::string& data_centre)
{
  std::vector<std::string> names;
  for (const auto& [name, i] : instances) {
    const bool live = i.value.state == instance_state::live;
    if (live && i.value.data_centre == data_centre) {
      names.push_back(name);
    }
  }
  return names;
}

void
add_parent(place& p, const std::string& name, const std::string& self)
{
  const auto known =
    std::find(p.parents.begin(), p.parents.end(), name) != p.parents.end();
  if (!known && name != self && p.parents.size() < max_parents) {
    p.parents.push_back(name);
  }
}

} // namespace

place
find_position(const table<instance>& instances,
              const std::string& self,
              const std::string& data_centre)
{
  const auto ranked =
    membership::rank(live_in(instances, data_centre), "configuration");
  const auto found = std::find(ranked.begin(), ranked.end(), self);
  const auto position =
    static_cast<std::size_t>(std::distance(ranked.begin(), found));
  place p;
  if (ranked.empty() || position < watchers_per_data_centre) {
    p.is_watcher =
      ranked.size() < watchers_per_data_centre || found != ranked.end();
  } else {
    add_parent(p, ranked[(position - watchers_per_data_centre) / fanout], self);
  }
  // When the parent is dead but still listed, the roots stand in for it.
  const auto roots = std::min(ranked.size(), watchers_per_data_centre);
  for (std::size_t i = 0; i < roots; ++i) {
    add_parent(p, ranked[(i + position) % roots], self);
  }
  return p;
}

} // namespace cactusford::configuration
