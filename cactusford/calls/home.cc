#include "cactusford/calls/home.h"

#include "cactusford/membership/rendezvous.h"

#include <algorithm>

namespace cactusford::calls {

// A key moves only when its home leaves the map or a member with a higher
// rendezvous weight joins. Members that left stay listed as former ones until
// none of their keys can be repeated, so that only the keys that they owned get
// a later ownership time.
home
home_of(const configuration::home_map& map, std::string_view key)
{
  home found;
  std::uint64_t best = 0;
  for (const auto& m : map.members) {
    const auto weight = membership::weight_of(m.instance, key);
    const bool is_heavier = weight > best || found.instance.empty();
    if (is_heavier || (weight == best && m.instance < found.instance)) {
      found = { m.instance, m.since_ms };
      best = weight;
    }
  }
  for (const auto& f : map.former) {
    if (membership::weight_of(f.instance, key) >= best) {
      found.owned_since_ms = std::max(found.owned_since_ms, f.until_ms);
    }
  }
  return found;
}

} // namespace cactusford::calls
