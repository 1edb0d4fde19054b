#include "cactusford/configuration/tree.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::configuration {

namespace {

constexpr std::size_t max_parents = 4;

std::vector<std::string>
live_instances(const table<instance>& instances, const std::string& data_centre)
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
add_parent(tree_position& position,
           const std::string& name,
           const std::string& self)
{
  const auto is_parent =
    std::find(position.parents.begin(), position.parents.end(), name) !=
    position.parents.end();
  if (!is_parent && name != self && position.parents.size() < max_parents) {
    position.parents.push_back(name);
  }
}

} // namespace

tree_position
find_position(const table<instance>& instances,
              const std::string& self,
              const std::string& data_centre)
{
  const auto ranked =
    membership::rank(live_instances(instances, data_centre), "configuration");
  const auto found = std::find(ranked.begin(), ranked.end(), self);
  const auto index =
    static_cast<std::size_t>(std::distance(ranked.begin(), found));
  tree_position position;
  if (ranked.empty() || index < watchers_per_data_centre) {
    position.is_watcher =
      ranked.size() < watchers_per_data_centre || found != ranked.end();
  } else {
    add_parent(
      position, ranked[(index - watchers_per_data_centre) / fanout], self);
  }
  // The watchers replace a parent that is down but still listed.
  const auto watchers = std::min(ranked.size(), watchers_per_data_centre);
  for (std::size_t i = 0; i < watchers; ++i) {
    add_parent(position, ranked[(i + index) % watchers], self);
  }
  return position;
}

} // namespace cactusford::configuration
