#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// How often runs, owners and writes are looked at, in milliseconds.
constexpr std::uint64_t tick_ms = 100;

// An owner that has not answered for this long is taken to be gone: four
// questions without an answer. A takeover by mistake costs double runs only.
constexpr std::uint64_t owner_silence_ms = 1300;

// One that refuses connections has ended; it may be back at once, with nothing
// in its memory.
constexpr std::uint64_t owner_refused_ms = 500;

// A takeover is a write: whoever begins one has heard from the store within
// this time. Watches bring an answer each second. While the store is away for
// all, the owner's memory is the best there is.
constexpr std::uint64_t store_answer_age_ms = 1300;

// Spread of the takeovers by several instances, so that one write wins before
// the others are tried.
constexpr std::uint64_t takeover_spread_ms = 300;

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
come_back(const edge::dialect& d)
{
  auto r = answer(503);
  r.fields.push_back({ d.headers.retry_after, std::string{ come_back_s } });
  return r;
}

bool
is_of(const stored_batch& b, const std::string& workspace)
{
  return b.workspace.empty() || b.workspace == workspace;
}

batch_state*
keeper::impl::known(const std::string& id)
{
  const auto found = batches.find(id);
  return found == batches.end() ? nullptr : found->second.get();
}

batch_state*
keeper::impl::learn(const store::object& o)
{
  auto s = decode_batch(o.name, o.revision, o.spec, o.status);
  if (!s) {
    store::log_unreadable(batch_kind, { o.name, s.fault });
    return nullptr;
  }
  if (auto* b = known(o.name)) {
    update(*b, std::move(*s));
    return b;
  }
  auto fresh = std::make_unique<batch_state>();
  auto* b = fresh.get();
  batches.emplace(o.name, std::move(fresh));
  b->stored = std::move(*s);
  b->owner_since_ms = http::now_ms();
  b->due_ms = due_of(*b);
  note_owner(*b);
  const auto mine = accepting.find(o.name);
  if (mine != accepting.end()) {
    b->set(std::move(mine->second->submission), p.dialect.version_line);
  }
  own_ours(*b, false);
  return b;
}

// An instance that owns batches may make calls to the store for this one.
void
keeper::impl::note_owner(const batch_state& b)
{
  const auto& address = b.stored.owner_address;
  if (b.is_open() && !address.empty() && address != p.address) {
    p.store.learn_relay(address);
  }
}

// Begins what the store says is ours. One that is being accepted begins when
// its write has been answered: then it is known that nothing is listed.
void
keeper::impl::own_ours(batch_state& b, bool is_fresh)
{
  const bool ours = b.is_open() && b.stored.owner == p.instance;
  if (ours && !b.owned && !accepting.contains(b.stored.id)) {
    own(b, is_fresh);
  }
}

// The route in force; it stays as it is while the pointer is held.
std::shared_ptr<const routes::route>
keeper::impl::route_to(const std::string& host, const std::string& path) const
{
  const auto table = p.table();
  const auto* route = table ? routes::match(*table, host, path) : nullptr;
  return { table, route };
}

// When the results are due, on the steady clock. Clocks of instances differ,
// so the age of a batch is bounded.
std::uint64_t
keeper::impl::due_of(const batch_state& b) const
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
keeper::impl::update(batch_state& b, stored_batch&& s)
{
  if (s.revision <= b.stored.revision) {
    return;
  }
  const bool was_ended = b.stored.ended;
  const bool new_owner = s.owner != b.stored.owner;
  b.stored = std::move(s);
  if (new_owner) {
    b.owner_since_ms = http::now_ms();
    note_owner(b);
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
  } else if (b.owned && b.stored.owner != p.instance) {
    disown(b, "other_owner");
  } else {
    own_ours(b, false);
  }
}

// The batch has ended. Its texts may serve a later batch.
void
keeper::impl::close(batch_state& b)
{
  remember(b);
  disown(b, "ended");
  if (b.want_submission.empty()) {
    b.release();
  }
}

void
keeper::impl::forget(const std::string& id)
{
  if (auto* b = known(id)) {
    disown(*b, "removed");
    end_read(id, false);
    batches.erase(id);
  }
}

// Finds a batch that the watch has not shown yet. The second argument is true
// when the store has answered.
void
keeper::impl::lookup(const std::string& id,
                     std::function<void(batch_state*, bool)> done)
{
  if (auto* b = known(id)) {
    done(b, true);
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = batch_kind;
  c.name = id;
  p.store.perform(c, [self = shared_from_this(), id, done](store::reply&& r) {
    if (r.result == store::call_result::done && !r.items.empty()) {
      done(self->learn(r.items.front()), true);
      return;
    }
    done(self->known(id), r.result == store::call_result::missing);
  });
}

// Why the owner is taken to be gone; nothing while it is believed to live.
std::optional<std::string_view>
keeper::impl::owner_silence(const batch_state& b, std::uint64_t now)
{
  const auto spread =
    std::hash<std::string>{}(p.instance + b.stored.id) % takeover_spread_ms;
  if (b.stored.owner.empty()) {
    return now - b.owner_since_ms > spread
             ? std::optional<std::string_view>{ "released" }
             : std::nullopt;
  }
  const auto& address = b.stored.owner_address;
  // One that lives and says that it reaches no store may be cut off alone, or
  // the store was away for all. It has the usual time to find it again from
  // when this instance did.
  const bool lives = now - owner_cut_off[address] <= owner_silence_ms;
  const auto seen = std::max({ owner_seen[address],
                               b.owner_since_ms,
                               lives ? store_there_since_ms : 0 });
  const auto refused = owner_refused[address];
  if (refused > seen && now - seen > owner_refused_ms + spread) {
    return "owner_refused";
  }
  return now - seen > owner_silence_ms + spread
           ? std::optional<std::string_view>{ "owner_silent" }
           : std::nullopt;
}

void
keeper::impl::note_store(std::uint64_t now)
{
  const bool there = now - p.store.last_answer_ms() <= store_answer_age_ms;
  if (!there) {
    store_there_since_ms = 0;
  } else if (store_there_since_ms == 0) {
    store_there_since_ms = now;
  }
}

void
keeper::impl::tick()
{
  timer.expires_after(std::chrono::milliseconds{ tick_ms });
  timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) {
      self->tick();
    }
  });
  const auto now = http::now_ms();
  note_alive(now);
  note_store(now);
  ask_owners(now);
  remove_expired(now);
  leave_ended_lives();
  bool waiting = false;
  for (auto& [id, b] : batches) {
    if (!b->readers.empty()) {
      answer_readers(*b, now);
    }
    if (b->owned && b->doubted) {
      verify(*b);
    }
    if (b->owned && b->load_again) {
      b->load_again = false;
      own(*b, false);
    }
    if (b->owned && b->loaded) {
      give_up_late(*b);
      watch_runs(*b, now);
      maybe_write(*b, now);
      maybe_save(*b, now);
      waiting = true;
      continue;
    }
    if (b->owned || !b->is_open() || leaving) {
      continue;
    }
    if (b->stored.owner == p.instance) {
      own_ours(*b, false);
      continue;
    }
    const auto silent = owner_silence(*b, now);
    if (silent && store_there_since_ms != 0) {
      take_over(*b, *silent);
    }
  }
  start_scores();
  if (waiting) {
    plan();
    tell_use(now);
  }
}

keeper::keeper(keeper_parts parts)
  : impl_{ std::make_shared<impl>(std::move(parts)) }
{
}

keeper::~keeper()
{
  impl_->timer.cancel();
}

void
keeper::start()
{
  impl_->tick();
}

void
keeper::read(const http::call& caller,
             const edge::batch_request& r,
             bool from_peer)
{
  impl_->lookup(
    r.id, [self = impl_, caller, r, from_peer](batch_state* b, bool sure) {
      if (b != nullptr && !from_peer && !is_of(b->stored, r.workspace)) {
        caller.respond(answer(404));
        return;
      }
      if (b == nullptr) {
        caller.respond(sure && !from_peer ? answer(404)
                                          : come_back(self->p.dialect));
        return;
      }
      const auto now = http::now_ms();
      self->note_alive(now);
      if (b->owned && b->loaded) {
        b->readers.push_back({ caller, r.after, now + r.wait_ms });
        self->maybe_write(*b, now);
        self->answer_readers(*b, now);
        return;
      }
      const bool has_more = b->ledger.listed.size() > r.after;
      if (b->complete || (has_more && !from_peer)) {
        self->respond_page(caller, *b, r.after);
      } else if (from_peer) {
        caller.respond(come_back(self->p.dialect));
      } else if (b->stored.owner != self->p.instance &&
                 !b->stored.owner_address.empty()) {
        self->read_from_owner(caller, *b, r);
      } else {
        self->read_from_store(caller, r);
      }
    });
}

void
keeper::read_item(const http::call& caller, const edge::batch_request& r)
{
  impl_->lookup(r.id, [self = impl_, caller, r](batch_state* b, bool sure) {
    if (b == nullptr || !is_of(b->stored, r.workspace)) {
      caller.respond(sure ? answer(404) : come_back(self->p.dialect));
      return;
    }
    self->with_submission(*b, [self, caller, r](bool ok) {
      const auto* read = self->known(r.id);
      if (!ok || read == nullptr) {
        caller.respond(come_back(self->p.dialect));
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
keeper::end(const http::call& caller, const edge::batch_request& r)
{
  const auto& id = r.id;
  impl_->lookup(id, [self = impl_, caller, id, r](batch_state* b, bool sure) {
    if (b == nullptr || !is_of(b->stored, r.workspace)) {
      caller.respond(sure ? answer(404) : come_back(self->p.dialect));
      return;
    }
    self->write_status(
      id,
      [](stored_batch& s) { s.ended = true; },
      [self, caller, id](store::call_result v) {
        const bool done = v == store::call_result::done;
        if (done) {
          self->tell(
            self->known(id)->stored.owner_address, peer_ended_path, id);
        }
        caller.respond(done ? answer(200) : come_back(self->p.dialect));
      },
      4);
  });
}

void
keeper::on_ended(const std::string& id)
{
  auto* b = impl_->known(id);
  if (b == nullptr || b->stored.ended) {
    return;
  }
  process::log_line(timeline::event{ "batch_ended" }
                      .with("batch", id)
                      .with("told_by", "peer")
                      .with("listed", b->ledger.listed.size()));
  b->stored.ended = true;
  impl_->close(*b);
}

void
keeper::on_taken(const std::string& id)
{
  if (auto* b = impl_->known(id)) {
    impl_->doubt(*b, "taken");
  }
}

// An owner that reaches the store on no path can list nothing.
bool
keeper::can_own() const
{
  return !impl_->leaving && !impl_->p.store.is_disconnected(http::now_ms());
}

void
keeper::on_list(std::vector<store::object>&& all)
{
  std::vector<std::string> gone;
  for (const auto& known : impl_->batches) {
    const bool listed = std::any_of(all.begin(), all.end(), [&](const auto& o) {
      return o.name == known.first;
    });
    if (!listed && !known.second->owned) {
      gone.push_back(known.first);
    }
  }
  for (const auto& id : gone) {
    impl_->forget(id);
  }
  for (const auto& o : all) {
    impl_->learn(o);
  }
}

void
keeper::on_change(store::change&& c)
{
  if (c.deleted) {
    impl_->forget(c.value.name);
  } else {
    impl_->learn(c.value);
  }
}

void
keeper::on_backends()
{
  impl_->leave_ended_lives();
  impl_->plan_soon();
}

std::size_t
keeper::owned() const
{
  return static_cast<std::size_t>(std::count_if(
    impl_->batches.begin(), impl_->batches.end(), [](const auto& e) {
      return e.second->owned;
    }));
}

void
keeper::leave(std::function<void()> done)
{
  impl_->leaving = true;
  auto left = std::make_shared<std::size_t>(1);
  const auto one_done = [left, done] {
    if (--*left == 0) {
      done();
    }
  };
  std::vector<std::string> ids;
  for (auto& [id, b] : impl_->batches) {
    impl_->answer_readers(*b, http::now_ms());
    if (b->owned && b->is_open()) {
      ids.push_back(id);
    }
  }
  *left += ids.size();
  for (const auto& id : ids) {
    const auto& stored = impl_->known(id)->stored;
    const auto successor =
      choose_successor(impl_->view_of(stored.host, stored.target))
        .value_or(membership::member{});
    process::log_line(timeline::event{ "batch_handed_over" }
                        .with("batch", id)
                        .with("to", successor.instance));
    const auto release = [self = impl_, id, successor, one_done] {
      self->write_status(
        id,
        [successor](stored_batch& s) {
          s.owner = successor.instance;
          s.owner_address = successor.address;
          s.owner_capacity = successor.capacity;
        },
        [one_done](store::call_result) { one_done(); },
        2);
    };
    impl_->save_progress(*impl_->known(id), release);
  }
  one_done();
}

} // namespace cactusford::batches
