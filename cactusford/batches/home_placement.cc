#include "cactusford/batches/home_placement.h"

namespace cactusford::batches {

bool
may_own(const ownership_rule& rule,
        const data_centres::region_map& regions,
        std::string_view candidate_data_centre)
{
  return data_centres::may_hold_body(
    rule.homes,
    data_centres::region_of(regions, rule.accepted_in),
    data_centres::region_of(regions, candidate_data_centre));
}

void
keep_permitted(placement_view& view,
               const ownership_rule& rule,
               const data_centres::region_map& regions,
               const data_centre_lookup& data_centre_of)
{
  if (!rule.homes.is_restricted) {
    return;
  }
  const auto is_excluded = [&](const membership::member& m) {
    return m.instance != view.self.instance &&
           !may_own(rule, regions, data_centre_of(m));
  };
  std::erase_if(view.largest_entries, is_excluded);
  std::erase_if(view.trainer_runners,
                [&](const runner& r) { return is_excluded(r.entry); });
}

} // namespace cactusford::batches
