// Which entries may own a batch, in deployments with home regions. Does no I/O.
//
// The owner of a batch holds the bodies of its items. They may be sent to
// entries in the batch's homes, and to those in the region of the entry that
// accepted the batch from its caller.
#pragma once

#include "cactusford/batches/placement.h"
#include "cactusford/data_centres/homes.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusford::batches {

struct ownership_rule
{
  data_centres::home_regions homes;
  // Data centre of the entry that accepted the batch; empty if unknown.
  std::string accepted_in;

  friend bool operator==(const ownership_rule&,
                         const ownership_rule&) = default;
};

// Returns true if an entry in the candidate's data centre may own the batch.
bool
may_own(const ownership_rule& rule,
        const data_centres::region_map& regions,
        std::string_view candidate_data_centre);

// Returns the data centre of an entry; empty if it is unknown.
using data_centre_lookup =
  std::function<std::string(const membership::member&)>;

// Removes all other entries that may not own the batch. `self` stays: it may
// run the batches that it has accepted.
void
keep_permitted(placement_view& view,
               const ownership_rule& rule,
               const data_centres::region_map& regions,
               const data_centre_lookup& data_centre_of);

} // namespace cactusford::batches
