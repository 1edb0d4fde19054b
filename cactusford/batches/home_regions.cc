// How batches keep to their home regions.
#include "cactusford/edge/home_regions.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/process/line_log.h"

namespace cactusford::batches {

// Without a table nothing is known of a restriction: in a deployment with
// several regions no region may serve the batch then.
data_centres::home_regions
manager::impl::homes_of(const stored_batch& b) const
{
  const auto table = deps.table();
  if (table == nullptr) {
    return { data_centres::has_several_regions(deps.registry.topology.regions),
             {} };
  }
  return routes::homes_of(
    *table, routes::match(*table, b.host, b.target), b.workspace);
}

bool
manager::impl::may_own(const stored_batch& b) const
{
  return batches::may_own({ homes_of(b), b.accepted_in },
                          deps.registry.topology.regions,
                          deps.data_centre);
}

// Returns true if the bodies of a batch must not leave certain regions.
bool
manager::impl::is_restricted(const std::string& id)
{
  const auto* b = find_batch(id);
  return b != nullptr && homes_of(b->stored).is_restricted;
}

// Returns why no region can serve the batch, or an empty text.
std::string_view
manager::impl::home_refusal(const stored_batch& b) const
{
  const auto route = route_to(b.host, b.target);
  if (route == nullptr) {
    return {};
  }
  auto served = *route;
  return edge::restrict_to_homes(served, deps.registry, homes_of(b));
}

// Makes another entry the owner, or none if no suitable one is known. What is
// known of the items is saved before.
void
manager::impl::release_to_successor(batch_state& b, std::function<void()> done)
{
  const auto id = b.stored.id;
  const auto successor = choose_successor(placement_view_for(b.stored))
                           .value_or(membership::member{});
  process::log_line(timeline::event{ "batch_handed_over" }
                      .with("batch", id)
                      .with("to", successor.instance)
                      .with("data_centre", successor.data_centre));
  save_progress(
    b,
    true,
    [self = shared_from_this(), id, successor, done = std::move(done)] {
      self->write_status(
        id,
        [successor](stored_batch& s) {
          s.owner = successor.instance;
          s.owner_address = successor.address;
          s.owner_capacity = successor.capacity;
          s.owner_data_centre = successor.data_centre;
        },
        [done](store::call_result) { done(); },
        2);
    });
}

// Called while the store names this instance as the owner although the newest
// table does not permit it: the homes have changed, or another instance decided
// by an older table.
void
manager::impl::release_outside_homes(batch_state& b)
{
  if (b.taking_over) {
    return;
  }
  b.taking_over = true;
  const auto id = b.stored.id;
  process::log_line(timeline::event{ "batch_outside_homes" }
                      .with("batch", id)
                      .with("accepted_in", b.stored.accepted_in)
                      .with("data_centre", deps.data_centre));
  release_to_successor(b, [self = shared_from_this(), id] {
    if (auto* released = self->find_batch(id)) {
      released->taking_over = false;
    }
  });
}

} // namespace cactusford::batches
