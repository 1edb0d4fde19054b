#include "cactusford/data_centres/drains.h"

#include <algorithm>
#include <iterator>

namespace cactusford::data_centres {

namespace {

// Anyone may write to the store, so the number of names is bounded. A
// deployment has far fewer data centres.
constexpr std::size_t max_removed = 256;

// An answer to a watch may repeat changes, and may arrive after the answer to a
// later watch. A repeated order must not come into force again after its
// removal: no further change would remove it.
bool
is_outdated_order(const drain_orders& d, const order_object& o)
{
  const auto removed = d.removed.find(o.data_centre);
  return o.revision != 0 && removed != d.removed.end() &&
         o.revision <= removed->second;
}

// A removal may carry its own revision or that of the removed order.
bool
is_outdated_removal(const drain_order& known, const order_object& o)
{
  return o.revision != 0 && o.revision < known.revision;
}

void
record_removal(drain_orders& d,
               const std::string& data_centre,
               std::uint64_t revision)
{
  auto& latest = d.removed[data_centre];
  latest = std::max(latest, revision);
  if (d.removed.size() > max_removed) {
    d.removed.erase(std::min_element(
      d.removed.begin(), d.removed.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
      }));
  }
}

std::optional<order_change>
give(drain_orders& d, const order_object& o)
{
  const auto [order, is_new] = d.all.try_emplace(o.data_centre);
  order->second.revision = std::max(order->second.revision, o.revision);
  if (!is_new) {
    return std::nullopt;
  }
  return order_change{ o.data_centre, o.revision, order_event::drained };
}

std::optional<order_change>
remove(drain_orders& d, const order_object& o)
{
  const auto known = d.all.find(o.data_centre);
  if (known == d.all.end()) {
    record_removal(d, o.data_centre, o.revision);
    return std::nullopt;
  }
  if (is_outdated_removal(known->second, o)) {
    return std::nullopt;
  }
  const auto revision = std::max(o.revision, known->second.revision);
  d.all.erase(known);
  record_removal(d, o.data_centre, revision);
  return order_change{ o.data_centre, revision, order_event::undrained };
}

} // namespace

bool
is_drained(const drain_orders& d, std::string_view data_centre)
{
  return !d.is_known || d.all.contains(data_centre);
}

std::vector<order_change>
apply_list(drain_orders& d,
           const std::vector<order_object>& listed,
           bool is_complete)
{
  d.is_known = true;
  std::vector<order_change> changes;
  const auto is_listed = [&](const std::string& data_centre) {
    return std::any_of(listed.begin(), listed.end(), [&](const auto& o) {
      return o.data_centre == data_centre;
    });
  };
  for (auto known = d.all.begin(); known != d.all.end() && is_complete;) {
    const auto [data_centre, order] = *known;
    if (is_listed(data_centre)) {
      ++known;
      continue;
    }
    known = d.all.erase(known);
    record_removal(d, data_centre, order.revision);
    changes.push_back({ data_centre, order.revision, order_event::undrained });
  }
  for (const auto& o : listed) {
    if (auto change = give(d, o)) {
      changes.push_back(std::move(*change));
    }
  }
  return changes;
}

std::optional<order_change>
apply_change(drain_orders& d, const order_object& change)
{
  if (change.is_removed) {
    return remove(d, change);
  }
  return is_outdated_order(d, change) ? std::nullopt : give(d, change);
}

} // namespace cactusford::data_centres
