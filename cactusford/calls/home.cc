#include "cactusford/calls/home.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::calls {

// A key moves only when its home leaves the map or a heavier member joins.
// Members that left stay listed as former ones until no key of theirs can be
// repeated, so that only the keys that they held get a later tenure.
home
home_of(const configuration::home_map& map, std::string_view key)
{
  home h;
  std::uint64_t best = 0;
  for (const auto& m : map.members) {
    const auto weight = membership::weight_of(m.instance, key);
    const bool heavier = weight > best || h.instance.empty();
    if (heavier || (weight == best && m.instance < h.instance)) {
      h = { m.instance, m.since_ms };
      best = weight;
    }
  }
  for (const auto& f : map.former) {
    if (membership::weight_of(f.instance, key) >= best) {
      h.tenure_ms = std::max(h.tenure_ms, f.until_ms);
    }
  }
  return h;
}

} // namespace cactusford::calls
