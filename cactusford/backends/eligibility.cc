#include "cactusford/backends/eligibility.h"

namespace cactusford::backends {

std::string_view
name_of(eligibility e) noexcept
{
  switch (e) {
    case eligibility::eligible:
      return "eligible";
    case eligibility::leaving:
      return "leaving";
    case eligibility::drained:
      return "drained";
    case eligibility::outside_home_regions:
      return "outside_home_regions";
    case eligibility::warming_up:
      return "warming_up";
    case eligibility::unreachable:
      return "unreachable";
    case eligibility::returning:
      return "returning";
  }
  return "unknown";
}

eligibility
eligibility_of(const registry& r,
               const backend& b,
               const data_centres::home_regions& homes,
               std::uint64_t now_ms)
{
  const auto& topology = r.topology;
  const auto& data_centre = b.info.data_centre;
  if (b.info.leaving) {
    return eligibility::leaving;
  }
  if (data_centres::is_drained(topology.drains, data_centre)) {
    return eligibility::drained;
  }
  if (!data_centres::is_home(homes, topology.regions, data_centre)) {
    return eligibility::outside_home_regions;
  }
  if (!has_warm_up_budget(b.warm_up, r.warm_up, b.info.service, now_ms)) {
    return eligibility::warming_up;
  }
  if (!data_centres::is_reachable(topology.reach, data_centre, now_ms)) {
    return eligibility::unreachable;
  }
  if (!data_centres::may_add_run(
        topology.reach, data_centre, b.in_flight, now_ms)) {
    return eligibility::returning;
  }
  return eligibility::eligible;
}

bool
counts_as_capacity(const registry& r, const backend& b, std::uint64_t now_ms)
{
  const auto& topology = r.topology;
  return !b.info.leaving &&
         !data_centres::is_drained(topology.drains, b.info.data_centre) &&
         data_centres::is_reachable(topology.reach, b.info.data_centre, now_ms);
}

bool
are_all_drained(const registry& r,
                std::string_view service,
                const data_centres::home_regions& homes)
{
  const auto& drains = r.topology.drains;
  // Orders that are not known yet refuse no call; the entry is not ready.
  if (!drains.is_known || drains.all.empty()) {
    return false;
  }
  bool has_drained = false;
  for (const auto& [id, b] : r.all) {
    const auto& data_centre = b.info.data_centre;
    if (b.info.service != service || b.info.leaving ||
        !data_centres::is_home(homes, r.topology.regions, data_centre)) {
      continue;
    }
    if (!data_centres::is_drained(drains, data_centre)) {
      return false;
    }
    has_drained = true;
  }
  return has_drained;
}

void
note_sent(const registry& r, backend& b, std::uint64_t now_ms)
{
  note_sent(b.warm_up, r.warm_up, b.info.service, now_ms);
}

} // namespace cactusford::backends
