// How the batch manager lets items wait for cold engines.
#include "cactusford/backends/warm_up_events.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// A dispatch compares all waiting items with all engines, and the budgets of
// many engines return one by one.
constexpr std::uint64_t min_warm_up_dispatch_ms = 50;

} // namespace

// Counts the other instances that may start runs on each engine service: the
// owners that the store lists, and those that have reported a demand. The
// report of an owner may arrive before the store shows its batch.
void
manager::impl::update_warm_up_senders(std::uint64_t now)
{
  auto& policy = deps.registry.warm_up;
  if (!policy.is_enabled || policy.limits.empty()) {
    return;
  }
  std::map<std::string, std::set<std::string>> owners;
  for (const auto& [service, listed] : listed_owners()) {
    for (const auto& o : listed) {
      owners[service].insert(o.instance);
    }
  }
  for (const auto& [instance, demands] : peer_usage.demands) {
    for (const auto& [service, history] : demands) {
      if (peak_demand(history, now)) {
        owners[service].insert(instance);
      }
    }
  }
  policy.other_owners.clear();
  for (const auto& [service, limits] : policy.limits) {
    auto& of_service = owners[service];
    of_service.erase(deps.instance);
    policy.other_owners[service] =
      static_cast<std::uint32_t>(of_service.size());
  }
}

// Called when no engine can take an item now.
void
manager::impl::note_held(const backends::item_needs& needs, std::uint64_t now)
{
  const auto at = backends::next_item_budget_ms(deps.registry, needs, now);
  if (!at) {
    return;
  }
  ++held_warm_up;
  budget_returns_ms =
    budget_returns_ms == 0 ? *at : std::min(budget_returns_ms, *at);
}

// Dispatches again when the earliest budget returns: the periodic dispatch
// would leave a slot of a cold engine idle for up to another 100 ms.
void
manager::impl::schedule_warm_up_dispatch(std::uint64_t now)
{
  if (budget_returns_ms == 0) {
    return;
  }
  const auto at = std::max(budget_returns_ms, now + min_warm_up_dispatch_ms);
  warm_up_timer.expires_after(std::chrono::milliseconds{ at - now });
  warm_up_timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) {
      self->schedule_dispatch();
    }
  });
}

std::uint64_t
manager::held_by_warm_up() const
{
  return impl_->held_warm_up;
}

} // namespace cactusford::batches
