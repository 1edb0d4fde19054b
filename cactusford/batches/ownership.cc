#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusford::batches {

namespace {

// Owners of open batches are asked this often; a step has seconds to spare,
// and each question is one small message both ways.
constexpr std::uint64_t owner_ask_ms = 300;
constexpr std::uint64_t owner_answer_ms = 600;

// A connection that fails faster was refused: no process listens there.
constexpr std::uint64_t refusal_limit_ms = 200;

// Others take an owner to be gone after 1.3 s of silence. One that notices that
// it stood still for more than half of that asks the store whether they have.
constexpr std::uint64_t standstill_ms = 700;

} // namespace

void
keeper::impl::own(batch_state& b, bool is_fresh)
{
  if (leaving) {
    return;
  }
  b.owned = true;
  b.epoch = b.stored.revision;
  process::log_line(timeline::event{ "batch_owned" }
                      .with("batch", b.stored.id)
                      .with("items", b.stored.items)
                      .with("revision", b.stored.revision));
  b.loaded = is_fresh && b.has_submission;
  if (b.loaded) {
    plan_soon();
    return;
  }
  const auto id = b.stored.id;
  with_submission(b, [self = shared_from_this(), id](bool ok) {
    auto* read = self->known(id);
    if (read == nullptr || !read->owned) {
      return;
    }
    read->load_again = !ok;
    if (ok) {
      self->load_tenure(id);
    }
  });
}

// Reads what is listed before this instance adds to it.
void
keeper::impl::load_tenure(const std::string& id)
{
  load_chunks(id, [self = shared_from_this(), id](bool ok) {
    auto* loaded = self->known(id);
    if (loaded == nullptr || !loaded->owned) {
      return;
    }
    loaded->load_again = !ok;
    if (ok) {
      self->begin_tenure(id);
    }
  });
}

// All chunks are read. Once the fence stands nobody else can add one, and
// results may be shown.
void
keeper::impl::begin_tenure(const std::string& id)
{
  constexpr int fence_tries = 5;
  fence(id, fence_tries, [self = shared_from_this(), id](bool fenced) {
    auto* b = self->known(id);
    if (b == nullptr || !b->owned) {
      return;
    }
    b->load_again = !fenced;
    if (!fenced) {
      return;
    }
    b->drop_listed();
    self->load_progress(id, [self, id] {
      auto* ready = self->known(id);
      if (ready != nullptr && ready->owned) {
        ready->loaded = true;
        self->reuse_carried(*ready);
        self->plan_soon();
      }
    });
  });
}

void
keeper::impl::disown(batch_state& b, std::string_view why)
{
  if (!b.owned) {
    return;
  }
  // A write on its way may stand already, and others may have shown it.
  b.complete = b.loaded && b.stored.ended && b.stored.owner == p.instance &&
               is_settled(b.ledger) && !b.doubted;
  b.owned = false;
  b.loaded = false;
  b.doubted = false;
  for (auto& i : b.items) {
    if (i.stage == item_stage::running) {
      stop_run(i);
    }
    if (i.stage == item_stage::scoring && i.cancel_score) {
      std::exchange(i.cancel_score, nullptr)();
    }
    i.stage = item_stage::waiting;
  }
  b.recount();
  b.ledger.pending.clear();
  b.ledger.writing = 0;
  b.ledger.ids.clear();
  for (const auto& r : b.ledger.listed) {
    b.ledger.ids.insert(r.id);
  }
  answer_readers(b, http::now_ms());
  process::log_line(timeline::event{ "batch_disowned" }
                      .with("batch", b.stored.id)
                      .with("why", why));
}

void
keeper::impl::fence(const std::string& id,
                    int tries,
                    std::function<void(bool)> done)
{
  auto* b = known(id);
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
  p.store.perform(c,
                  [self = shared_from_this(), id, chunk, empty, tries, done](
                    store::reply&& r) {
                    auto* now = self->known(id);
                    if (now == nullptr || !now->owned) {
                      done(false);
                      return;
                    }
                    if (r.result == store::call_result::done) {
                      if (now->ledger.chunks == chunk) {
                        self->on_chunk(id, empty);
                      }
                      done(true);
                      return;
                    }
                    if (r.result == store::call_result::refused) {
                      done(false);
                      return;
                    }
                    // Somebody's chunk stands there, or ours whose answer was
                    // lost.
                    self->load_chunks(id, [self, id, tries, done](bool ok) {
                      if (ok) {
                        self->fence(id, tries - 1, done);
                      } else {
                        done(false);
                      }
                    });
                  });
}

// Reads the chunks behind those that are known, until there is none. With none
// known a list brings many at once; later a single one is looked for, as a list
// would bring the chunks of other batches.
void
keeper::impl::load_chunks(const std::string& id, std::function<void(bool)> done)
{
  auto* b = known(id);
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
  p.store.perform(
    c, [self = shared_from_this(), id, first, done](store::reply&& r) {
      const bool absent = r.result == store::call_result::missing;
      auto* now = self->known(id);
      if (now == nullptr || (r.result != store::call_result::done && !absent)) {
        done(false);
        return;
      }
      // Another reader was faster and may be at it still: what this answer
      // holds is no longer what comes next.
      if (now->ledger.chunks != first) {
        self->load_chunks(id, done);
        return;
      }
      std::size_t taken = 0;
      for (const auto& o : r.items) {
        taken += self->take_chunk(id, o) ? 1 : 0;
      }
      // A list without further pages has shown all of ours: a look behind it
      // would be one more call for each owner and reader.
      const bool listed_all = first == 0 && !absent && !r.more;
      if (taken == 0 || listed_all) {
        done(true);
      } else {
        self->load_chunks(id, done);
      }
    });
}

// Takes in the chunk that is next; others are passed over.
bool
keeper::impl::take_chunk(const std::string& id, const store::object& o)
{
  auto* b = known(id);
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

// Changes the status on the condition that nobody changed it meanwhile; a
// conflict shows the newer one, and the change is made again on that.
void
keeper::impl::write_status(const std::string& id,
                           std::function<void(stored_batch&)> change,
                           std::function<void(store::call_result)> done,
                           int tries)
{
  auto* b = known(id);
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
  p.store.perform(
    c, [self = shared_from_this(), id, change, done, tries](store::reply&& r) {
      for (const auto& o : r.items) {
        self->learn(o);
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
      // Read back what stands there.
      store::call get;
      get.op = store::operation::get;
      get.kind = batch_kind;
      get.name = id;
      self->p.store.perform(
        get, [self, id, change, done, tries](store::reply&& back) {
          for (const auto& o : back.items) {
            self->learn(o);
          }
          if (back.result == store::call_result::done) {
            self->write_status(id, change, done, tries - 1);
          } else {
            done(back.result);
          }
        });
    });
}

// Asks the owners of open batches whether they live. Their own silence is
// what counts: the store may be away for us alone.
void
keeper::impl::ask_owners(std::uint64_t now)
{
  if (now - last_ask < owner_ask_ms) {
    return;
  }
  last_ask = now;
  std::set<std::string> owners;
  for (const auto& [id, b] : batches) {
    if (b->is_open() && !b->owned && !b->stored.owner_address.empty()) {
      owners.insert(b->stored.owner_address);
    }
  }
  for (const auto& address : owners) {
    if (owner_asked[address]) {
      continue;
    }
    owner_asked[address] = true;
    http::request r;
    r.method = "GET";
    r.target = peer_alive_path;
    http::exchange_options o;
    o.timeout_ms = owner_answer_ms;
    o.connect_timeout_ms = owner_answer_ms;
    p.http.fetch(address,
                 r,
                 o,
                 [self = shared_from_this(), address, now](http::end_state end,
                                                           http::response&& a) {
                   self->owner_asked[address] = false;
                   const auto then = http::now_ms();
                   if (end == http::end_state::complete && a.status == 200) {
                     self->owner_seen[address] = then;
                   } else if (end == http::end_state::complete) {
                     self->owner_cut_off[address] = then;
                   } else if (end == http::end_state::not_sent &&
                              then - now < refusal_limit_ms) {
                     self->owner_refused[address] = then;
                   }
                 });
  }
}

// Says to another instance what its watch may not have shown it yet, as after
// a restart of everything on a small instance. Without it an owner would run
// items of a batch that has ended, or show results as if it still owned one.
// What it doesn't hear now its watch will show.
void
keeper::impl::tell(const std::string& address,
                   std::string_view path,
                   const std::string& id)
{
  if (address.empty() || address == p.address) {
    return;
  }
  http::request r;
  r.method = "POST";
  r.target = std::string{ path } + id;
  http::exchange_options o;
  o.timeout_ms = owner_answer_ms;
  p.http.fetch(
    address, r, o, [id, address](http::end_state end, http::response&&) {
      if (end != http::end_state::complete) {
        process::log_line(timeline::event{ "owner_not_told" }
                            .with("batch", id)
                            .with("address", address)
                            .with("end", http::name_of(end)));
      }
    });
}

// Another instance may have taken the batch over, and may have listed results
// that this one does not know. Until the store has said who owns it, readers
// whom it could only tell that there is nothing more are sent away.
void
keeper::impl::doubt(batch_state& b, std::string_view why)
{
  if (!b.owned || b.doubted) {
    return;
  }
  b.doubted = true;
  process::log_line(timeline::event{ "batch_doubted" }
                      .with("batch", b.stored.id)
                      .with("why", why)
                      .with("revision", b.stored.revision));
  verify(b);
}

// Asks the store who owns a batch of ours.
void
keeper::impl::verify(batch_state& b)
{
  if (b.verifying) {
    return;
  }
  b.verifying = true;
  const auto id = b.stored.id;
  store::call c;
  c.op = store::operation::get;
  c.kind = batch_kind;
  c.name = id;
  p.store.perform(c, [self = shared_from_this(), id](store::reply&& r) {
    auto* now = self->known(id);
    if (now == nullptr) {
      return;
    }
    now->verifying = false;
    // Nothing is known yet: the next look asks again.
    if (r.result == store::call_result::done && !r.items.empty()) {
      now->doubted = false;
      self->learn(r.items.front());
    }
  });
}

// Doubts all batches after this process stood still for long enough to be taken
// for gone. The steady clock does not count the time in which an instance is
// suspended; the time of day does, and a step of that costs one question.
void
keeper::impl::note_alive(std::uint64_t now)
{
  const auto wall = timeline::wall_ms();
  const auto before = std::exchange(alive_ms, now);
  const auto wall_before = std::exchange(alive_wall_ms, wall);
  const bool first = before == 0;
  const auto stood = std::max(now - before, wall - std::min(wall, wall_before));
  if (first || stood < standstill_ms) {
    return;
  }
  process::log_line(timeline::event{ "stood_still" }.with("for_ms", stood));
  for (auto& entry : batches) {
    doubt(*entry.second, "stood_still");
  }
}

void
keeper::impl::take_over(batch_state& b, std::string_view why)
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
                      .with("why", why)
                      .with("revision", b.stored.revision));
  write_status(
    id,
    [self = shared_from_this(), from](stored_batch& s) {
      if (s.owner == from && !s.ended) {
        s.owner = self->p.instance;
        s.owner_address = self->p.address;
        s.owner_capacity = self->p.capacity;
      }
    },
    [self = shared_from_this(), id, address](store::call_result) {
      auto* now = self->known(id);
      if (now == nullptr) {
        return;
      }
      now->taking_over = false;
      now->owner_since_ms = http::now_ms();
      if (now->owned) {
        self->tell(address, peer_taken_path, id);
      }
    },
    2);
}

} // namespace cactusford::batches
