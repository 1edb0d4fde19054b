#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusford::batches {

namespace {

constexpr std::uint64_t owner_probe_timeout_ms = 600;

// A connection attempt that fails faster than this was refused: no process
// listens at the address.
constexpr std::uint64_t connection_refused_limit_ms = 200;

// Other instances presume an owner dead after 1.3 s of silence. An owner that
// notices a pause longer than about half of that asks the store whether it has
// been replaced.
constexpr std::uint64_t pause_limit_ms = 700;

} // namespace

void
manager::impl::take_ownership(batch_state& b, bool is_fresh)
{
  // A batch whose acceptance ends after the shutdown began is handed over like
  // the others. Nobody else takes it over while this instance keeps batches.
  const bool hands_over =
    leaving && is_fresh && deps.placement_by_data_centre && on_left != nullptr;
  if (leaving && !hands_over) {
    return;
  }
  b.owned = true;
  b.epoch = b.stored.revision;
  process::log_line(timeline::event{ "batch_owned" }
                      .with("batch", b.stored.id)
                      .with("items", b.stored.items)
                      .with("revision", b.stored.revision));
  b.loaded = is_fresh && b.has_submission;
  if (hands_over) {
    leaving_batches[b.stored.id].since_ms = http::now_ms();
    return;
  }
  if (b.loaded) {
    schedule_dispatch();
    return;
  }
  load_owned_batch(b);
}

// Reads the submission and, at the same time, the listed results to which this
// instance will add.
void
manager::impl::load_owned_batch(batch_state& b)
{
  struct parts_read
  {
    int left = 2;
    bool ok = true;
  };
  const auto id = b.stored.id;
  const auto read = std::make_shared<parts_read>();
  const auto part_done = [self = shared_from_this(), id, read](bool ok) {
    read->ok = read->ok && ok;
    auto* loaded = self->find_batch(id);
    if (--read->left > 0 || loaded == nullptr || !loaded->owned) {
      return;
    }
    loaded->load_retry_needed = !read->ok;
    if (read->ok) {
      self->activate_owned_batch(id);
    }
  };
  load_submission(b, part_done);
  load_chunks(id, part_done);
}

// Called when all chunks have been read. Creates the fence; once it is stored,
// no previous owner can add a chunk, and results may be shown.
void
manager::impl::activate_owned_batch(const std::string& id)
{
  constexpr int fence_tries = 5;
  fence(id, fence_tries, [self = shared_from_this(), id](bool fenced) {
    auto* b = self->find_batch(id);
    if (b == nullptr || !b->owned) {
      return;
    }
    b->load_retry_needed = !fenced;
    if (!fenced) {
      return;
    }
    b->mark_listed_finished();
    self->load_progress(id, [self, id] {
      auto* ready = self->find_batch(id);
      if (ready != nullptr && ready->owned) {
        ready->loaded = true;
        self->reuse_saved_texts(*ready);
        self->score_complete_texts(*ready);
        self->schedule_dispatch();
      }
    });
  });
}

// Cancels runs and scorer calls; all items wait again.
void
manager::impl::stop_work(batch_state& b)
{
  for (auto& i : b.items) {
    if (i.stage == item_stage::running) {
      stop_run(i);
    }
    if (i.stage == item_stage::scoring && i.cancel_score) {
      std::exchange(i.cancel_score, nullptr)();
    }
    i.stage = item_stage::waiting;
  }
  b.recount_unfinished();
}

void
manager::impl::drop_ownership(batch_state& b, std::string_view reason)
{
  if (!b.owned) {
    return;
  }
  // A write in progress may already be in the store, and other instances may
  // have shown its results.
  b.complete = b.loaded && b.stored.ended && b.stored.owner == deps.instance &&
               is_settled(b.ledger) && !b.owner_unconfirmed &&
               !b.listing_paused;
  b.owned = false;
  b.loaded = false;
  b.owner_unconfirmed = false;
  b.runs_until_handover = false;
  b.handed_over = false;
  b.handed_over_by.clear();
  b.listing_paused = false;
  stop_work(b);
  b.ledger.pending.clear();
  b.ledger.writing = 0;
  b.ledger.ids.clear();
  for (const auto& r : b.ledger.listed) {
    b.ledger.ids.insert(r.id);
  }
  answer_readers(b, http::now_ms());
  process::log_line(timeline::event{ "batch_disowned" }
                      .with("batch", b.stored.id)
                      .with("why", reason));
}

void
manager::impl::fence(const std::string& id,
                     int tries,
                     std::function<void(bool)> done)
{
  auto* b = find_batch(id);
  if (b == nullptr || !b->owned || tries == 0) {
    done(false);
    return;
  }
  const auto chunk = b->ledger.chunks;
  const stored_chunk empty{ b->epoch, {} };
  store::call c;
  c.op = store::operation::create;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  c.body = encode_chunk(empty);
  deps.store.perform(c,
                     [self = shared_from_this(), id, chunk, empty, tries, done](
                       store::reply&& r) {
                       auto* current = self->find_batch(id);
                       if (current == nullptr || !current->owned) {
                         done(false);
                         return;
                       }
                       if (r.result == store::call_result::done) {
                         if (current->ledger.chunks == chunk) {
                           self->on_chunk(id, empty);
                         }
                         done(true);
                         return;
                       }
                       if (r.result == store::call_result::refused) {
                         done(false);
                         return;
                       }
                       // The chunk was created by another owner, or by this one
                       // in a write whose answer was lost.
                       self->load_chunks(id, [self, id, tries, done](bool ok) {
                         if (ok) {
                           self->fence(id, tries - 1, done);
                         } else {
                           done(false);
                         }
                       });
                     });
}

// Reads the chunks after the known ones until there are none left. If no chunk
// is known, a list fetches many at once. Later chunks are fetched one by one,
// because a list would also return the chunks of other batches.
void
manager::impl::load_chunks(const std::string& id,
                           std::function<void(bool)> done)
{
  auto* b = find_batch(id);
  if (b == nullptr) {
    done(false);
    return;
  }
  const auto first = b->ledger.chunks;
  store::call c;
  c.kind = chunk_kind;
  if (first == 0) {
    c.op = store::operation::list;
    c.after = id;
  } else {
    c.op = store::operation::get;
    c.name = chunk_name(id, first);
  }
  deps.store.perform(
    c, [self = shared_from_this(), id, first, done](store::reply&& r) {
      const bool absent = r.result == store::call_result::missing;
      auto* current = self->find_batch(id);
      if (current == nullptr ||
          (r.result != store::call_result::done && !absent)) {
        done(false);
        return;
      }
      // A concurrent read has already added chunks and may still be in
      // progress, so this answer no longer starts at the next chunk.
      if (current->ledger.chunks != first) {
        self->load_chunks(id, done);
        return;
      }
      std::size_t adopted = 0;
      for (const auto& o : r.items) {
        adopted += self->adopt_if_next_chunk(id, o) ? 1 : 0;
      }
      // A list without further pages contains all chunks of this batch.
      // Checking for one more would cost an additional call for each owner and
      // reader.
      const bool listed_all = first == 0 && !absent && !r.more;
      if (adopted == 0 || listed_all) {
        done(true);
      } else {
        self->load_chunks(id, done);
      }
    });
}

// Adds the chunk if it is the next one; skips any other.
bool
manager::impl::adopt_if_next_chunk(const std::string& id,
                                   const store::object& o)
{
  auto* b = find_batch(id);
  if (b == nullptr || o.name != chunk_name(id, b->ledger.chunks)) {
    return false;
  }
  auto chunk = decode_chunk(o.spec);
  if (!chunk) {
    store::log_unreadable(chunk_kind, { o.name, chunk.fault });
    return false;
  }
  on_chunk(id, std::move(*chunk));
  return true;
}

// Updates the status on the condition that it has not changed meanwhile. After
// a conflict, which returns the newer status, the change is applied to that one
// and retried.
void
manager::impl::write_status(const std::string& id,
                            std::function<void(stored_batch&)> change,
                            std::function<void(store::call_result)> done,
                            int tries)
{
  auto* b = find_batch(id);
  if (b == nullptr) {
    done(store::call_result::missing);
    return;
  }
  auto wanted = b->stored;
  change(wanted);
  if (encode_status(wanted) == encode_status(b->stored)) {
    done(store::call_result::done);
    return;
  }
  store::call c;
  c.op = store::operation::replace_status;
  c.kind = batch_kind;
  c.name = id;
  c.revision = b->stored.revision;
  c.body = encode_status(wanted);
  deps.store.perform(
    c, [self = shared_from_this(), id, change, done, tries](store::reply&& r) {
      for (const auto& o : r.items) {
        self->apply_stored_batch(o);
      }
      const bool again =
        r.result == store::call_result::conflict ||
        (r.result == store::call_result::unknown && r.items.empty());
      if (!again || tries <= 1) {
        done(r.result);
        return;
      }
      if (!r.items.empty()) {
        self->write_status(id, change, done, tries - 1);
        return;
      }
      // Read back the stored status.
      store::call get;
      get.op = store::operation::get;
      get.kind = batch_kind;
      get.name = id;
      self->deps.store.perform(
        get, [self, id, change, done, tries](store::reply&& back) {
          for (const auto& o : back.items) {
            self->apply_stored_batch(o);
          }
          if (back.result == store::call_result::done) {
            self->write_status(id, change, done, tries - 1);
          } else {
            done(back.result);
          }
        });
    });
}

void
manager::impl::update_standby(std::uint64_t now)
{
  const bool before = std::exchange(
    is_standby, membership::is_standby(deps.standby_state(), now));
  if (is_standby == before) {
    return;
  }
  probes = membership::schedule_of(is_standby);
  standby_since_ms = now;
  process::log_line(timeline::event{ is_standby ? "standby" : "no_standby" }
                      .with("probe_ms", probes.interval_ms)
                      .with("silent_ms", probes.silent_ms));
}

// Probes the owners of open batches. Only their own silence counts, because the
// store may be unreachable for this instance alone.
void
manager::impl::probe_owners(std::uint64_t now)
{
  if (now - last_probe_ms < probes.interval_ms) {
    return;
  }
  last_probe_ms = now;
  std::set<std::string> owners;
  for (const auto& [id, b] : batches) {
    if (b->is_open() && !b->owned && !b->stored.owner_address.empty()) {
      owners.insert(b->stored.owner_address);
    }
  }
  for (const auto& address : owners) {
    if (owner_probe_pending[address]) {
      continue;
    }
    owner_probe_pending[address] = true;
    http::request r;
    r.method = "GET";
    r.target = peer_alive_path;
    http::exchange_options o;
    o.timeout_ms = owner_probe_timeout_ms;
    o.connect_timeout_ms = owner_probe_timeout_ms;
    deps.http.fetch(
      address,
      r,
      o,
      [self = shared_from_this(), address, now](http::exchange_outcome end,
                                                http::response&& a) {
        self->owner_probe_pending[address] = false;
        const auto answered_ms = http::now_ms();
        if (end == http::exchange_outcome::complete && a.status == 200) {
          self->owner_seen_at_ms[address] = answered_ms;
        } else if (end == http::exchange_outcome::complete) {
          self->owner_cut_off_at_ms[address] = answered_ms;
        } else if (end == http::exchange_outcome::not_sent &&
                   answered_ms - now < connection_refused_limit_ms) {
          self->owner_refused_at_ms[address] = answered_ms;
        }
      });
  }
}

// Notifies another instance of a change that its watch may not have shown yet,
// such as after a restart of all processes on a small instance. Without the
// notification an owner would keep running items of a batch that has ended, or
// show results of a batch that it no longer owns. If the message is lost, the
// watch eventually delivers the change.
void
manager::impl::notify_peer(const std::string& address,
                           std::string_view path,
                           const std::string& id)
{
  if (address.empty() || address == deps.address) {
    return;
  }
  http::request r;
  r.method = "POST";
  r.target = std::string{ path } + id;
  http::exchange_options o;
  o.timeout_ms = owner_probe_timeout_ms;
  deps.http.fetch(
    address, r, o, [id, address](http::exchange_outcome end, http::response&&) {
      if (end != http::exchange_outcome::complete) {
        process::log_line(timeline::event{ "owner_not_notified" }
                            .with("batch", id)
                            .with("address", address)
                            .with("end", http::name_of(end)));
      }
    });
}

// Called when another instance may have taken the batch over and listed results
// that this one does not know. Until the store has confirmed the owner, readers
// for whom this instance has no further results are asked to retry, instead of
// being told that there are none.
void
manager::impl::mark_unconfirmed(batch_state& b, std::string_view reason)
{
  if (!b.owned || b.owner_unconfirmed) {
    return;
  }
  b.owner_unconfirmed = true;
  process::log_line(timeline::event{ "batch_owner_unconfirmed" }
                      .with("batch", b.stored.id)
                      .with("why", reason)
                      .with("revision", b.stored.revision));
  confirm_owner(b);
}

// Reads the current owner of a batch from the store.
void
manager::impl::confirm_owner(batch_state& b)
{
  if (b.confirming_owner) {
    return;
  }
  b.confirming_owner = true;
  const auto id = b.stored.id;
  store::call c;
  c.op = store::operation::get;
  c.kind = batch_kind;
  c.name = id;
  deps.store.perform(c, [self = shared_from_this(), id](store::reply&& r) {
    auto* current = self->find_batch(id);
    if (current == nullptr) {
      return;
    }
    current->confirming_owner = false;
    // Without an answer the owner stays unconfirmed, and the next check asks
    // again.
    if (r.result == store::call_result::done && !r.items.empty()) {
      current->owner_unconfirmed = current->handed_over;
      self->apply_stored_batch(r.items.front());
    }
  });
}

// Marks all batches as unconfirmed if this process was paused for long enough
// to be presumed dead. The steady clock does not count the time during which an
// instance is suspended, but the wall clock does. A step of the wall clock
// costs only one additional read.
void
manager::impl::check_for_pause(std::uint64_t now)
{
  const auto wall = timeline::wall_ms();
  const auto before = std::exchange(last_clock_ms, now);
  const auto wall_before = std::exchange(last_wall_clock_ms, wall);
  const bool first = before == 0;
  const auto paused_ms =
    std::max(now - before, wall - std::min(wall, wall_before));
  if (first || paused_ms < pause_limit_ms) {
    return;
  }
  process::log_line(
    timeline::event{ "pause_detected" }.with("for_ms", paused_ms));
  for (auto& entry : batches) {
    mark_unconfirmed(*entry.second, "pause_detected");
  }
}

void
manager::impl::take_over(batch_state& b, std::string_view reason)
{
  if (b.taking_over || leaving) {
    return;
  }
  b.taking_over = true;
  const auto from = b.stored.owner;
  const auto address = b.stored.owner_address;
  const auto id = b.stored.id;
  process::log_line(timeline::event{ "batch_takeover" }
                      .with("batch", id)
                      .with("from", from)
                      .with("why", reason)
                      .with("revision", b.stored.revision));
  write_status(
    id,
    [self = shared_from_this(), from](stored_batch& s) {
      if (s.owner == from && !s.ended) {
        s.owner = self->deps.instance;
        s.owner_address = self->deps.address;
        s.owner_capacity = self->deps.capacity;
        s.owner_data_centre = self->deps.data_centre;
      }
    },
    [self = shared_from_this(), id, address](store::call_result) {
      auto* current = self->find_batch(id);
      if (current == nullptr) {
        return;
      }
      current->taking_over = false;
      current->owner_since_ms = http::now_ms();
      if (current->owned) {
        self->notify_peer(address, peer_taken_path, id);
      }
    },
    2);
}

} // namespace cactusford::batches
