#include "cactusford/backends/warm_up_events.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/batches/run_health.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>
#include <limits>

namespace cactusford::batches {

namespace {

constexpr std::uint64_t shares_log_interval_ms = 1000;

// The work of a step counts as a whole until only a quarter of its items are
// left, so that the division of slots does not change with each item.
constexpr std::size_t nearly_finished_divisor = 4;

// Assumed for owners that have not reported their work yet.
constexpr std::uint64_t typical_run_ms = 500;

// More items than any service has slots.
constexpr std::uint32_t max_listed_items = 1'000'000;

} // namespace

// Returns what this instance's batches have on each engine service. Items that
// pause after a failed run or are quarantined need no slot.
std::map<std::string, own_use>
manager::impl::own_uses(std::uint64_t now) const
{
  struct open_steps
  {
    std::uint64_t work_ms = 0;
    std::uint32_t priority = std::numeric_limits<std::uint32_t>::max();
  };
  std::map<std::string, open_steps> steps;
  std::map<std::string, own_use> uses;
  for (const auto& [id, b] : batches) {
    if (!b->owned || !b->loaded || !b->is_open()) {
      continue;
    }
    const auto route = route_to(b->stored.host, b->stored.target);
    if (route == nullptr || route->services.empty()) {
      continue;
    }
    const auto& service = route->services.front().service;
    auto& use = uses[service];
    std::size_t unfinished = 0;
    std::uint64_t work_ms = 0;
    for (const auto& i : b->items) {
      use.running += i.stage == item_stage::running ? 1 : 0;
      use.waiting +=
        i.stage == item_stage::waiting && i.not_before_ms <= now ? 1 : 0;
      unfinished +=
        i.stage == item_stage::running || i.stage == item_stage::waiting ? 1
                                                                         : 0;
      work_ms +=
        expected_run_ms(pace, b->submission.items[i.index].length_hint);
    }
    auto& step = steps[service];
    if (unfinished * nearly_finished_divisor > b->items.size()) {
      step.work_ms += work_ms;
      step.priority = std::min(step.priority, route->priority);
    }
  }
  for (const auto& [service, step] : steps) {
    uses[service].weight = weight_of_steps(step.priority, step.work_ms);
  }
  return uses;
}

demand_by_service
manager::impl::own_demand(std::uint64_t now) const
{
  demand_by_service demand;
  for (const auto& [service, use] : own_uses(now)) {
    if (use.running + use.waiting > 0) {
      demand[service] = { use.running + use.waiting, use.weight };
    }
  }
  return demand;
}

// Returns the owners of open batches by engine service, as the store lists
// them.
std::map<std::string, std::vector<listed_owner>>
manager::impl::listed_owners() const
{
  std::map<std::string, std::vector<listed_owner>> owners;
  for (const auto& entry : batches) {
    const auto& b = entry.second;
    if (!b->is_open() || b->stored.owner.empty()) {
      continue;
    }
    const auto route = route_to(b->stored.host, b->stored.target);
    if (route == nullptr || route->services.empty()) {
      continue;
    }
    auto& of_service = owners[route->services.front().service];
    const auto items = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(b->stored.items, max_listed_items));
    const auto weight =
      weight_of_steps(route->priority, items * typical_run_ms);
    const auto known =
      std::find_if(of_service.begin(), of_service.end(), [&](const auto& o) {
        return o.instance == b->stored.owner;
      });
    if (known == of_service.end()) {
      of_service.push_back({ b->stored.owner, weight, items });
    } else {
      known->weight = std::max(known->weight, weight);
      known->items = std::min(known->items + items, max_listed_items);
    }
  }
  return owners;
}

void
manager::impl::note_new_batches(std::uint64_t now)
{
  for (auto& [id, b] : batches) {
    const bool had_demand = b->has_demand;
    b->has_demand = b->owned && b->loaded && b->is_open();
    if (!b->has_demand || had_demand) {
      continue;
    }
    const auto route = route_to(b->stored.host, b->stored.target);
    if (route != nullptr && !route->services.empty()) {
      note_new_batch(sharing[route->services.front().service], now);
      has_new_batch = true;
    }
  }
}

// Updates which slots of the engine services this owner may use. Slots are
// divided only where engines differ in speed: all owners then prefer the same
// ones, while equal engines are chosen by load and spread by themselves. They
// are also divided while a data centre is unreachable: all owners move runs to
// the same free slots at the same moment then.
void
manager::impl::update_sharing(std::uint64_t now)
{
  if (!deps.engine_shares && !deps.run_health) {
    return;
  }
  note_new_batches(now);
  const auto uses = own_uses(now);
  for (const auto& [service, use] : uses) {
    sharing.try_emplace(service);
  }
  const auto owners = listed_owners();
  static const std::vector<listed_owner> no_owners;
  for (auto& [service, s] : sharing) {
    const auto use = uses.find(service);
    const auto listed = owners.find(service);
    const bool is_new_division = update_shares(
      s,
      { deps.instance,
        service,
        use == uses.end() ? own_use{} : use->second,
        listed == owners.end() ? no_owners : listed->second,
        peer_usage,
        deps.registry,
        backends::pace_of(deps.registry, service) != nullptr ||
          data_centres::count_unreachable(deps.registry.topology.reach) > 0 },
      now);
    forget_used_slots(s, deps.registry, now);
    if (is_new_division && deps.engine_shares &&
        now - shares_logged_ms >= shares_log_interval_ms) {
      shares_logged_ms = now;
      process::log_line(
        timeline::event{ "engine_shares" }
          .with("service", service)
          .with("demand", std::uint64_t{ s.own.running } + s.own.waiting)
          .with("owners", s.owners.size())
          .with("slots", slots_in_use_of(s, deps.registry).owned));
    }
    if (s.is_shared && s.is_new_batch_period && s.new_batch_ms == now) {
      sharing_timer.expires_after(
        std::chrono::milliseconds{ new_batch_period_ms });
      sharing_timer.async_wait(
        [self = shared_from_this()](asio::error_code ec) {
          if (!ec) {
            self->schedule_dispatch();
          }
        });
    }
  }
}

// Other owners learn at once of a new batch, and of slots that this owner no
// longer needs.
void
manager::impl::report_demand_change(std::uint64_t now)
{
  if (!deps.engine_shares) {
    return;
  }
  const bool has_ended = std::any_of(
    reported_demand.begin(), reported_demand.end(), [this](const auto& e) {
      const auto* s = sharing_of(e.first);
      return s != nullptr && s->own.running + s->own.waiting == 0;
    });
  if (std::exchange(has_new_batch, false) || has_ended) {
    report_engine_usage(now, true);
  }
}

service_sharing*
manager::impl::sharing_of(std::string_view service)
{
  const auto found = sharing.find(service);
  return found == sharing.end() ? nullptr : &found->second;
}

void
manager::impl::restrict_to_share(backends::item_needs& needs, std::uint64_t now)
{
  auto* s = sharing_of(needs.service);
  if (deps.engine_shares && s != nullptr && s->is_shared &&
      is_share_usable(*s, deps.registry, needs, now)) {
    needs.may_use = [s, now](const backends::backend& b) {
      return may_start_run(*s, b, now);
    };
  }
}

void
manager::impl::on_run_started(std::string_view service,
                              const backends::backend& engine)
{
  if (auto* s = sharing_of(service)) {
    note_run_started(*s, engine);
  }
}

// Returns true if another run of the same model on the same engine had an event
// within the limit.
bool
manager::impl::has_active_sibling(const batch_state& b,
                                  const item_state& i,
                                  std::uint64_t silence_limit,
                                  std::uint64_t now) const
{
  return std::any_of(batches.begin(), batches.end(), [&](const auto& entry) {
    const auto& other = *entry.second;
    return other.owned && other.submission.model == b.submission.model &&
           std::any_of(
             other.items.begin(), other.items.end(), [&](const auto& o) {
               return &o != &i && o.stage == item_stage::running &&
                      o.backend == i.backend && o.events_in_run > 0 &&
                      silent_time_ms(o.last_event_ms, now) <= silence_limit;
             });
  });
}

// Moves a run that had no event for longer than the silence limit, unless it
// only waits. Returns true if the run was moved.
bool
manager::impl::check_silent_run(batch_state& b,
                                item_state& i,
                                backends::backend& backend,
                                std::uint64_t silence_limit,
                                std::uint64_t now)
{
  run_view view;
  view.has_events = i.events_in_run > 0;
  view.silent_ms = silence_of(i, backend, now);
  view.silence_limit_ms = silence_limit;
  view.engine_runs = known_runs(backend, now);
  view.engine_slots = backend.info.slots;
  const auto* s = sharing_of(backend.info.service);
  view.is_shared = deps.run_health && s != nullptr && s->is_shared;
  view.is_cold = backends::is_cold(deps.registry, backend, now);
  view.has_active_sibling = (view.is_shared || view.is_cold) &&
                            has_active_sibling(b, i, silence_limit, now);
  const auto health = health_of(view);
  const bool is_waiting = health == run_health::waiting;
  runs_waiting += is_waiting ? 1 : 0;
  bool moves = must_move(view);
  if (!moves && may_move_to_free_slot(view)) {
    backends::item_needs needs;
    needs.service = backend.info.service;
    needs.model = b.submission.model;
    needs.min_version = b.submission.min_version;
    needs.excluded_id = i.backend.id;
    needs.data_centre = deps.data_centre;
    needs.homes = homes_of(b.stored);
    restrict_to_share(needs, now);
    moves = backends::choose_for_item(deps.registry, needs, now) != nullptr;
  }
  if (!moves) {
    return false;
  }
  if (is_waiting) {
    ++runs_moved_waiting;
  } else {
    ++runs_moved_stalled;
    note_silent_run(i, backend, now);
    backends::note_failure(backend, now);
  }
  stop_run(i);
  i.failed_on = i.backend.id;
  retry_item(b, i, 0, name_of(health));
  if (is_waiting) {
    // Other waiting runs must not move to the same free slot.
    dispatch();
  }
  return true;
}

sharing_counts
manager::sharing() const
{
  sharing_counts c;
  for (const auto& [service, s] : impl_->sharing) {
    const auto slots = impl_->deps.engine_shares
                         ? slots_in_use_of(s, impl_->deps.registry)
                         : slots_in_use{};
    c.slots_owned += slots.owned;
    c.slots_borrowed += slots.borrowed;
    c.items_waiting += s.own.waiting;
  }
  c.runs_waiting = impl_->runs_waiting;
  c.moved_waiting = impl_->runs_moved_waiting;
  c.moved_stalled = impl_->runs_moved_stalled;
  c.moved_unreachable = impl_->runs_moved_unreachable;
  return c;
}

} // namespace cactusford::batches
