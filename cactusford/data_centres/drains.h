// Drain orders: data centres to whose backend servers no new work may be sent.
// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::data_centres {

struct drain_order
{
  // Revision of the order in the store.
  std::uint64_t revision = 0;

  friend bool operator==(const drain_order&, const drain_order&) = default;
};

struct drain_orders
{
  // False until the orders are known; no work may start before. True from the
  // start in a deployment without drain orders.
  bool is_known = true;
  // By data centre.
  std::map<std::string, drain_order, std::less<>> all;
  // Revision of the latest removal, by data centre.
  std::map<std::string, std::uint64_t, std::less<>> removed;

  friend bool operator==(const drain_orders&, const drain_orders&) = default;
};

// State of one order as an answer of the store shows it.
struct order_object
{
  std::string data_centre;
  // 0 if it could not be read.
  std::uint64_t revision = 0;
  bool is_removed = false;

  friend bool operator==(const order_object&, const order_object&) = default;
};

enum class order_event
{
  drained,
  undrained,
};

struct order_change
{
  std::string data_centre;
  std::uint64_t revision = 0;
  order_event what = order_event::drained;

  friend bool operator==(const order_change&, const order_change&) = default;
};

// Returns true if no new work may be sent to the data centre.
bool
is_drained(const drain_orders& d, std::string_view data_centre);

// Replaces the orders by a list and returns what changed; the orders are then
// known. If the list is incomplete, because the name of a listed object could
// not be read, known orders that it does not name are kept.
std::vector<order_change>
apply_list(drain_orders& d,
           const std::vector<order_object>& listed,
           bool is_complete = true);

// Applies one change. Returns nothing if it does not alter what is drained, or
// is older than what is known.
std::optional<order_change>
apply_change(drain_orders& d, const order_object& change);

} // namespace cactusford::data_centres
