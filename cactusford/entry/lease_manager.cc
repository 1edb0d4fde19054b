#include "cactusford/entry/lease_manager.h"

#include "cactusford/membership/rendezvous.h"
#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::entry {

namespace {

constexpr std::size_t candidates_per_trainer = 3;

bool
is_listed(const configuration::snapshot& view, const std::string& instance)
{
  const auto found = view.instances->find(instance);
  return found != view.instances->end() ||
         instance == ownership::unreadable_holder;
}

} // namespace

std::vector<std::string>
owner_candidates(const configuration::snapshot& view,
                 const std::string& trainer)
{
  std::vector<std::string> entries;
  for (const auto& [name, i] : *view.instances) {
    const bool live = i.value.state == configuration::instance_state::live;
    if (live && i.value.role == "entry") {
      entries.push_back(name);
    }
  }
  auto ranked = membership::rank(entries, "trainer/" + trainer);
  ranked.resize(std::min(ranked.size(), candidates_per_trainer));
  return ranked;
}

lease_manager::lease_manager(process::daemon& d, change_handler on_change)
  : daemon_{ d }
  , on_change_{ std::move(on_change) }
{
}

void
lease_manager::on_configuration(const configuration::snapshot_ptr& view)
{
  const auto& self = daemon_.settings.instance;
  for (const auto& [trainer, declared] : *view->trainers) {
    const auto ranked = owner_candidates(*view, trainer);
    const auto position = std::find(ranked.begin(), ranked.end(), self);
    auto known = leases_.find(trainer);
    if (position == ranked.end()) {
      // A held lease is kept even when this entry is no longer a candidate; it
      // is released only when the entry leaves.
      if (known != leases_.end() && !known->second.held &&
          !known->second.busy) {
        leases_.erase(known);
      }
      continue;
    }
    auto& lease = leases_[trainer];
    lease.self = self;
    lease.duration_ms = daemon_.settings.lease_ms;
    lease.rank = static_cast<std::uint32_t>(position - ranked.begin());
  }
  for (auto& [trainer, lease] : leases_) {
    lease.releasing = lease.releasing || !view->trainers->contains(trainer);
  }
}

void
lease_manager::tick()
{
  for (auto& [trainer, lease] : leases_) {
    advance(trainer, lease);
  }
}

void
lease_manager::advance(const std::string& trainer,
                       ownership::lease_client& lease)
{
  const auto view = daemon_.configuration.current();
  const auto a = ownership::next_action(
    lease, is_listed(*view, lease.seen.holder), process::steady_ms());
  if (a == ownership::action::read) {
    read(trainer);
  } else if (a != ownership::action::none) {
    write(trainer, a);
  }
}

void
lease_manager::read(const std::string& trainer)
{
  daemon_.run_on_worker(
    [this, trainer] { return daemon_.platform.get("lease", trainer); },
    [this, trainer](const result<platform::object>& r) {
      auto& lease = leases_[trainer];
      const auto now = process::steady_ms();
      if (r) {
        ownership::on_read(
          lease, ownership::lease_from(r.value.version, r.value.spec), now);
      } else if (r.error.kind == error_kind::not_found) {
        ownership::on_read(lease, {}, now);
      } else {
        ownership::on_unavailable(lease, now);
      }
    });
}

void
lease_manager::write(const std::string& trainer, ownership::action a)
{
  const auto& lease = leases_[trainer];
  ownership::lease next;
  next.holder = a == ownership::action::release ? "" : lease.self;
  next.fence = a == ownership::action::renew ? lease.seen.fence : 0;
  const platform::write w{ "lease",
                           trainer,
                           lease.seen.version,
                           ownership::to_spec(next),
                           process::generate_id(),
                           false };
  daemon_.run_on_worker(
    [this, w] { return daemon_.platform.put(w); },
    [this, trainer, a](const result<std::uint64_t>& r) {
      auto& state = leases_[trainer];
      const bool was_held = state.held;
      if (r) {
        ownership::on_written(state, a, r.value, process::steady_ms());
      } else if (r.error.kind == error_kind::conflict) {
        ownership::on_conflict(state);
      } else {
        ownership::on_unavailable(state, process::steady_ms());
      }
      if (was_held != state.held) {
        timeline::log(
          timeline::event{ state.held ? "lease_acquired" : "lease_lost" }
            .with("trainer", trainer)
            .with("fence", state.seen.fence));
        on_change_(trainer, state.held ? state.seen.fence : 0);
      }
    });
}

void
lease_manager::release_all()
{
  for (auto& [trainer, lease] : leases_) {
    lease.releasing = true;
  }
  tick();
}

bool
lease_manager::holds_any() const
{
  return std::any_of(leases_.begin(), leases_.end(), [](const auto& lease) {
    return lease.second.held;
  });
}

std::uint64_t
lease_manager::fence_of(const std::string& trainer) const
{
  const auto found = leases_.find(trainer);
  const bool held = found != leases_.end() && found->second.held;
  return held ? found->second.seen.fence : 0;
}

void
lease_manager::mark_lost(const std::string& trainer)
{
  auto& lease = leases_[trainer];
  if (lease.held) {
    ownership::on_conflict(lease);
    timeline::log(timeline::event{ "lease_lost" }.with("trainer", trainer));
    on_change_(trainer, 0);
  }
}

} // namespace cactusford::entry
