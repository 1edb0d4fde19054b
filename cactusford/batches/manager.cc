#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Interval of the periodic check of runs, owners and writes, in milliseconds.
constexpr std::uint64_t tick_ms = 100;

// A takeover requires a write to the store, so an instance starts one only if
// it has had an answer from the store within this time. Watches bring an answer
// every second. While the store is unavailable to everyone, batches stay with
// their owners, whose memory holds the most recent text.
constexpr std::uint64_t store_answer_max_age_ms = 1300;

// Takeovers by several instances are spread over this time, so that the first
// write succeeds before the others are attempted.
constexpr std::uint64_t takeover_spread_ms = 300;

// After an outage of the store, a successor that has gone on with a batch gets
// this long to write itself as the owner before others take the batch over.
// Watches that were pending are answered within about a second.
constexpr std::uint64_t confirmation_ms = 1200;

} // namespace

http::response
answer(int status, std::string body)
{
  http::response r;
  r.status = status;
  if (!body.empty()) {
    r.fields.push_back({ "Content-Type", "application/json" });
  }
  r.body = std::move(body);
  return r;
}

http::response
retry_later(const edge::dialect& d)
{
  auto r = answer(503);
  r.fields.push_back({ d.headers.retry_after, std::string{ retry_after_s } });
  return r;
}

bool
is_accessible_to(const stored_batch& b, const std::string& workspace)
{
  return b.workspace.empty() || b.workspace == workspace;
}

batch_state*
manager::impl::find_batch(const std::string& id)
{
  const auto found = batches.find(id);
  return found == batches.end() ? nullptr : found->second.get();
}

batch_state*
manager::impl::apply_stored_batch(const store::object& o)
{
  auto s = decode_batch(o.name, o.revision, o.spec, o.status);
  if (!s) {
    store::log_unreadable(batch_kind, { o.name, s.fault });
    return nullptr;
  }
  if (auto* b = find_batch(o.name)) {
    update(*b, std::move(*s));
    return b;
  }
  auto created = std::make_unique<batch_state>();
  auto* b = created.get();
  batches.emplace(o.name, std::move(created));
  b->stored = std::move(*s);
  b->owner_since_ms = http::now_ms();
  b->due_ms = due_of(*b);
  add_owner_as_relay(*b);
  const auto being_accepted = accepting.find(o.name);
  if (being_accepted != accepting.end()) {
    b->memory = std::move(being_accepted->second->memory);
    b->set(std::move(being_accepted->second->submission),
           deps.dialect.version_line);
  }
  own_if_assigned(*b, false);
  return b;
}

// An instance that owns batches may relay this instance's calls to the store.
void
manager::impl::add_owner_as_relay(const batch_state& b)
{
  const auto& address = b.stored.owner_address;
  if (b.is_open() && !address.empty() && address != deps.address) {
    deps.store.learn_relay(address);
  }
}

// Starts running the batch if the store lists this instance as its owner. A
// batch that is still being accepted starts when its write is acknowledged,
// because only then is it known to have no listed results.
void
manager::impl::own_if_assigned(batch_state& b, bool is_fresh)
{
  const bool is_owner = b.is_open() && b.stored.owner == deps.instance;
  if (is_owner && !b.owned && !accepting.contains(b.stored.id) &&
      may_own(b.stored)) {
    take_ownership(b, is_fresh);
  }
}

// Returns the matching route of the current table. The pointer keeps that table
// alive, so the route does not change while it is held.
std::shared_ptr<const routes::route>
manager::impl::route_to(const std::string& host, const std::string& path) const
{
  const auto table = deps.table();
  const auto* route = table ? routes::match(*table, host, path) : nullptr;
  return { table, route };
}

// Returns the time when the results are due, on the steady clock. The age of
// the batch is capped because the clocks of instances differ.
std::uint64_t
manager::impl::due_of(const batch_state& b) const
{
  constexpr std::uint64_t longest_age_ms = 60000;
  const auto wall = timeline::wall_ms();
  const auto accepted = b.stored.accepted_wall_ms;
  const auto age =
    std::min(wall > accepted ? wall - accepted : 0, longest_age_ms);
  const auto route = route_to(b.stored.host, b.stored.target);
  const auto due = route == nullptr ? 0 : route->due_ms;
  return http::now_ms() + due - std::min(age, http::now_ms());
}

void
manager::impl::update(batch_state& b, stored_batch&& s)
{
  if (s.revision <= b.stored.revision) {
    return;
  }
  const bool was_ended = b.stored.ended;
  const bool new_owner = s.owner != b.stored.owner;
  b.stored = std::move(s);
  if (new_owner) {
    b.owner_since_ms = http::now_ms();
    add_owner_as_relay(b);
    process::log_line(timeline::event{ "batch_owner" }
                        .with("batch", b.stored.id)
                        .with("owner", b.stored.owner)
                        .with("revision", b.stored.revision));
  }
  if (b.stored.ended && !was_ended) {
    process::log_line(timeline::event{ "batch_ended" }
                        .with("batch", b.stored.id)
                        .with("listed", b.ledger.listed.size()));
    close(b);
  } else if (b.owned && b.stored.owner != deps.instance) {
    if (b.stored.owner != b.handed_over_by) {
      drop_ownership(b, "other_owner");
    }
  } else if (b.owned && !b.handed_over_by.empty()) {
    on_handover_confirmed(b);
  } else {
    own_if_assigned(b, false);
  }
}

// Stops the work on a batch that has ended. Its texts may be reused in a later
// batch.
void
manager::impl::close(batch_state& b)
{
  // The end is reported to the owner that the store names. Its successor may
  // not have a path to the store.
  const auto left = leaving_batches.find(b.stored.id);
  if (left != leaving_batches.end() && left->second.sends > 0) {
    notify_peer(left->second.successor.address, peer_ended_path, b.stored.id);
  }
  save_texts_for_reuse(b);
  drop_ownership(b, "ended");
  if (b.submission_waiters.empty()) {
    b.drop_submission();
  }
}

void
manager::impl::forget(const std::string& id)
{
  if (auto* b = find_batch(id)) {
    drop_ownership(*b, "removed");
    finish_submission_read(id, false);
    batches.erase(id);
  }
}

// Finds a batch in memory or, if the watch has not shown it yet, in the store.
// The second argument of `done` is false if the store did not answer; only then
// may a batch that was not found exist.
void
manager::impl::lookup(const std::string& id,
                      std::function<void(batch_state*, bool)> done)
{
  if (auto* b = find_batch(id)) {
    done(b, true);
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = batch_kind;
  c.name = id;
  deps.store.perform(
    c, [self = shared_from_this(), id, done](store::reply&& r) {
      if (r.result == store::call_result::done && !r.items.empty()) {
        done(self->apply_stored_batch(r.items.front()), true);
        return;
      }
      done(self->find_batch(id), r.result == store::call_result::missing);
    });
}

// Returns the reason to take the batch over, or nothing while its owner is
// believed to be alive.
std::optional<std::string_view>
manager::impl::takeover_reason(const batch_state& b, std::uint64_t now)
{
  const auto spread =
    std::hash<std::string>{}(deps.instance + b.stored.id) % takeover_spread_ms;
  if (b.stored.owner.empty()) {
    return now - b.owner_since_ms > probes.released_ms + spread
             ? std::optional<std::string_view>{ "released" }
             : std::nullopt;
  }
  const auto& address = b.stored.owner_address;
  // An owner that answers but reports that it cannot reach the store is either
  // cut off alone or affected by an outage for everyone. Its silence is counted
  // from when the store became reachable for this instance again, so that it
  // gets the usual time to reconnect.
  const bool reported_cut_off =
    now - owner_cut_off_at_ms[address] <= probes.silent_ms;
  const auto seen =
    std::max({ owner_seen_at_ms[address],
               b.owner_since_ms,
               standby_since_ms,
               reported_cut_off ? store_reachable_since_ms : 0 });
  const auto refused = owner_refused_at_ms[address];
  if (refused > seen && now - seen > probes.refused_ms + spread) {
    return "owner_refused";
  }
  return now - seen > probes.silent_ms + spread
           ? std::optional<std::string_view>{ "owner_silent" }
           : std::nullopt;
}

void
manager::impl::track_store(std::uint64_t now)
{
  const bool is_reachable =
    now - deps.store.last_answer_ms() <= store_answer_max_age_ms;
  if (!is_reachable) {
    store_reachable_since_ms = 0;
  } else if (store_reachable_since_ms == 0) {
    store_reachable_since_ms = now;
  }
}

void
manager::impl::tick()
{
  timer.expires_after(std::chrono::milliseconds{ tick_ms });
  timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) {
      self->tick();
    }
  });
  const auto now = http::now_ms();
  is_tick_late = now - std::exchange(last_tick_ms, now) > 2 * tick_ms;
  check_for_pause(now);
  track_store(now);
  update_standby(now);
  probe_owners(now);
  remove_expired(now);
  restart_runs_of_ended_incarnations();
  runs_waiting = 0;
  bool has_loaded_batch = false;
  for (auto& [id, b] : batches) {
    if (!b->readers.empty()) {
      answer_readers(*b, now);
    }
    const bool is_named_owner =
      b->is_open() && b->stored.owner == deps.instance && !leaving;
    // Without a table it is not known whether the batch has home regions.
    if (is_named_owner && deps.table() != nullptr && !accepting.contains(id) &&
        !may_own(b->stored)) {
      release_outside_homes(*b);
      continue;
    }
    if (b->owned && b->owner_unconfirmed) {
      confirm_owner(*b);
    }
    if (b->owned && !b->handed_over_by.empty() && !b->handed_over) {
      confirm_handover(*b);
    }
    if (b->owned && b->load_retry_needed) {
      b->load_retry_needed = false;
      if (b->listing_paused) {
        fence_handed_over(*b);
      } else {
        take_ownership(*b, false);
      }
    }
    if (b->owned && b->loaded) {
      give_up_expired_items(*b);
      check_runs(*b, now);
      write_results_if_due(*b, now);
      if (!b->listing_paused) {
        save_progress_if_due(*b, now);
      }
      has_loaded_batch = true;
      continue;
    }
    if (b->owned || !b->is_open() || leaving) {
      continue;
    }
    if (b->stored.owner == deps.instance) {
      own_if_assigned(*b, false);
      continue;
    }
    const auto reason = takeover_reason(*b, now);
    const auto reachable_ms = now - store_reachable_since_ms;
    if (reason && store_reachable_since_ms != 0 && may_own(b->stored) &&
        (!deps.placement_by_data_centre || reachable_ms >= confirmation_ms)) {
      take_over(*b, *reason);
    }
  }
  if (leaving) {
    continue_leaving(now);
  }
  start_queued_scores();
  if (has_loaded_batch) {
    dispatch();
    report_engine_usage(now);
  } else if (!reported_demand.empty()) {
    update_sharing(now);
    report_demand_change(now);
  }
}

manager::manager(manager_dependencies dependencies)
  : impl_{ std::make_shared<impl>(std::move(dependencies)) }
{
}

manager::~manager()
{
  impl_->timer.cancel();
  impl_->sharing_timer.cancel();
  impl_->warm_up_timer.cancel();
}

void
manager::start()
{
  impl_->tick();
}

void
manager::read(const http::call& caller,
              const edge::batch_request& r,
              bool from_peer)
{
  impl_->lookup(
    r.id,
    [self = impl_, caller, r, from_peer](batch_state* b, bool store_answered) {
      if (b != nullptr && !from_peer &&
          !is_accessible_to(b->stored, r.workspace)) {
        caller.respond(answer(404));
        return;
      }
      if (b == nullptr) {
        caller.respond(store_answered && !from_peer
                         ? answer(404)
                         : retry_later(self->deps.dialect));
        return;
      }
      const auto now = http::now_ms();
      self->check_for_pause(now);
      if (b->owned && b->loaded && !b->listing_paused) {
        b->readers.push_back({ caller, r.after, now + r.wait_ms });
        self->write_results_if_due(*b, now);
        self->answer_readers(*b, now);
        return;
      }
      const bool has_more = b->ledger.listed.size() > r.after;
      if (b->complete || (has_more && !from_peer)) {
        self->respond_page(caller, *b, r.after);
      } else if (from_peer) {
        caller.respond(retry_later(self->deps.dialect));
      } else if (b->stored.owner != self->deps.instance &&
                 !b->stored.owner_address.empty()) {
        self->read_from_owner(caller, *b, r);
      } else {
        self->read_from_store(caller, r);
      }
    });
}

void
manager::read_item(const http::call& caller, const edge::batch_request& r)
{
  impl_->lookup(
    r.id, [self = impl_, caller, r](batch_state* b, bool store_answered) {
      if (b == nullptr || !is_accessible_to(b->stored, r.workspace)) {
        caller.respond(store_answered ? answer(404)
                                      : retry_later(self->deps.dialect));
        return;
      }
      self->load_submission(*b, [self, caller, r](bool ok) {
        const auto* read = self->find_batch(r.id);
        if (!ok || read == nullptr) {
          caller.respond(retry_later(self->deps.dialect));
          return;
        }
        const auto* item = read->find_item(r.item);
        if (item == nullptr) {
          caller.respond(answer(404));
          return;
        }
        http::response a;
        a.status = 200;
        a.fields.push_back({ "Content-Type", "application/octet-stream" });
        a.body = item->body;
        caller.respond(std::move(a));
      });
    });
}

void
manager::end(const http::call& caller, const edge::batch_request& r)
{
  const auto& id = r.id;
  impl_->lookup(
    id, [self = impl_, caller, id, r](batch_state* b, bool store_answered) {
      if (b == nullptr || !is_accessible_to(b->stored, r.workspace)) {
        caller.respond(store_answered ? answer(404)
                                      : retry_later(self->deps.dialect));
        return;
      }
      self->write_status(
        id,
        [](stored_batch& s) { s.ended = true; },
        [self, caller, id](store::call_result v) {
          const bool done = v == store::call_result::done;
          if (done) {
            self->notify_peer(
              self->find_batch(id)->stored.owner_address, peer_ended_path, id);
          }
          caller.respond(done ? answer(200) : retry_later(self->deps.dialect));
        },
        4);
    });
}

void
manager::on_batch_ended(const std::string& id)
{
  auto* b = impl_->find_batch(id);
  if (b == nullptr || b->stored.ended) {
    return;
  }
  process::log_line(timeline::event{ "batch_ended" }
                      .with("batch", id)
                      .with("reported_by", "peer")
                      .with("listed", b->ledger.listed.size()));
  b->stored.ended = true;
  impl_->close(*b);
}

void
manager::on_takeover(const std::string& id)
{
  if (auto* b = impl_->find_batch(id)) {
    impl_->mark_unconfirmed(*b, "taken");
  }
}

// An owner that has no path to the store cannot list results.
bool
manager::can_own() const
{
  return !impl_->leaving && !impl_->deps.store.is_disconnected(http::now_ms());
}

bool
manager::keeps_batches() const
{
  const bool has_batches =
    impl_->deps.placement_by_data_centre && !impl_->leaving_batches.empty();
  return can_own() ||
         (has_batches && !impl_->deps.store.is_disconnected(http::now_ms()));
}

void
manager::on_list(std::vector<store::object>&& all)
{
  std::vector<std::string> gone;
  for (const auto& entry : impl_->batches) {
    const bool listed = std::any_of(all.begin(), all.end(), [&](const auto& o) {
      return o.name == entry.first;
    });
    if (!listed && !entry.second->owned) {
      gone.push_back(entry.first);
    }
  }
  for (const auto& id : gone) {
    impl_->forget(id);
  }
  for (const auto& o : all) {
    impl_->apply_stored_batch(o);
  }
}

void
manager::on_change(store::change&& c)
{
  if (c.deleted) {
    impl_->forget(c.value.name);
  } else {
    impl_->apply_stored_batch(c.value);
  }
}

void
manager::on_backends()
{
  impl_->restart_runs_of_ended_incarnations();
  impl_->schedule_dispatch();
}

std::size_t
manager::owned() const
{
  return static_cast<std::size_t>(std::count_if(
    impl_->batches.begin(), impl_->batches.end(), [](const auto& e) {
      return e.second->owned;
    }));
}

void
manager::leave(std::function<void()> done)
{
  impl_->leave(std::move(done));
}

} // namespace cactusford::batches
