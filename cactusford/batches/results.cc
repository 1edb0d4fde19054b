#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Results gather this long before they are written, unless a group is whole:
// single results are of no use to the trainer yet, and each write is a call.
constexpr std::uint64_t gather_ms = 1500;

// A value of the store is a megabyte at most; JSON escapes and names add to
// the text.
constexpr std::size_t chunk_bytes = 500U << 10;
constexpr std::size_t page_bytes = 900U << 10;

// A trainer reads about twice a second: results of whole groups gather this
// long until it has as many as it waits for.
constexpr std::uint64_t whole_gather_ms = 300;

// A read of results from the owner may take this long beyond its wait.
constexpr std::uint64_t peer_read_ms = 400;

// Between two looks of one instance for new chunks of a batch it doesn't own.
constexpr std::uint64_t chunk_look_ms = 300;

} // namespace

// Writes when the trainer has the groups that it waits for, when nothing else
// is to come, or when results have waited long enough. The groups before the
// last of these don't move the step's end, so they share a write.
void
keeper::impl::maybe_write(batch_state& b, std::uint64_t now)
{
  if (!b.owned || !b.loaded || b.ledger.writing != 0 ||
      b.ledger.pending.empty() || now < b.write_again_ms) {
    return;
  }
  const bool whole_enough =
    b.group_became_whole && b.whole_groups() >= b.submission.desired_groups;
  const bool whole_long =
    b.group_became_whole && now - b.whole_since_ms >= whole_gather_ms;
  const bool old = now - b.ledger.pending_since_ms >= gather_ms;
  const bool all =
    b.ledger.pending.size() + b.ledger.listed.size() == b.stored.items;
  if (whole_enough || whole_long || old || all) {
    write_results(b);
  }
}

void
keeper::impl::write_results(batch_state& b)
{
  b.group_became_whole = false;
  const auto results = begin_chunk(b.ledger, chunk_bytes);
  const auto id = b.stored.id;
  const auto chunk = b.ledger.chunks;
  store::call c;
  c.op = store::operation::create;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  const stored_chunk written{ b.epoch, results };
  c.body = encode_chunk(written);
  p.store.perform(
    c, [self = shared_from_this(), id, chunk, written](store::reply&& r) {
      auto* now = self->known(id);
      if (now == nullptr || now->ledger.chunks != chunk) {
        return;
      }
      if (r.result == store::call_result::done) {
        self->on_chunk(id, written);
        self->maybe_write(*now, http::now_ms());
        return;
      }
      if (!now->owned) {
        // The batch ended meanwhile; whether this chunk stands is for the
        // store to say.
        now->complete = false;
        return;
      }
      if (r.result == store::call_result::conflict ||
          r.result == store::call_result::unknown) {
        self->read_back(id, chunk);
        return;
      }
      abandon_chunk(now->ledger);
      now->group_became_whole = true;
      now->write_again_ms = http::now_ms() + failed_pause_ms;
    });
}

// What stands at this chunk decides. If nothing does yet, a lost write may
// still land: the next create meets it as a conflict.
void
keeper::impl::read_back(const std::string& id, std::uint64_t chunk)
{
  load_chunks(id, [self = shared_from_this(), id, chunk](bool) {
    auto* b = self->known(id);
    if (b == nullptr || !b->owned) {
      return;
    }
    if (b->ledger.chunks == chunk) {
      doubt_chunk(b->ledger);
    }
    b->drop_listed();
    b->group_became_whole = true;
    if (b->ledger.chunks == chunk) {
      b->write_again_ms = http::now_ms() + failed_pause_ms;
    }
    self->maybe_write(*b, http::now_ms());
  });
}

void
keeper::impl::on_chunk(const std::string& id, stored_chunk chunk)
{
  auto* b = known(id);
  if (b == nullptr) {
    return;
  }
  adopt_chunk(b->ledger, std::move(chunk.results));
  process::log_line(timeline::event{ "results_listed" }
                      .with("batch", id)
                      .with("chunk", b->ledger.chunks - 1)
                      .with("listed", b->ledger.listed.size())
                      .with("total", b->stored.items));
  answer_readers(*b, http::now_ms());
  if (b->owned && chunk.epoch > b->epoch) {
    disown(*b, "fenced");
  }
}

void
keeper::impl::respond_page(const http::call& c,
                           batch_state& b,
                           std::uint64_t after)
{
  const auto page = page_of(b.ledger, b.stored.items, after, page_bytes);
  c.respond(answer(200, p.dialect.encode_page(page)));
}

void
keeper::impl::answer_readers(batch_state& b, std::uint64_t now)
{
  auto readers = std::move(b.readers);
  b.readers.clear();
  for (auto& r : readers) {
    const bool more = b.ledger.listed.size() > r.after;
    if (more || !b.owned || now >= r.until_ms || leaving) {
      answer_reader(r, b);
    } else if (r.caller.is_open()) {
      b.readers.push_back(std::move(r));
    }
  }
}

// An empty page says that nothing stands behind the reader's position. Only an
// owner can say so, and not while a write is on its way: it may stand already,
// and others may have read it from the store. Shown fewer results than before,
// a trainer would take them for lost.
void
keeper::impl::answer_reader(const waiting_reader& r, batch_state& b)
{
  const bool more = b.ledger.listed.size() > r.after;
  const bool knows_all =
    b.complete || (b.owned && b.loaded && !b.doubted && is_settled(b.ledger));
  if (more || knows_all) {
    respond_page(r.caller, b, r.after);
  } else {
    r.caller.respond(come_back(p.dialect));
  }
}

void
keeper::impl::read_from_owner(const http::call& caller,
                              batch_state& b,
                              const edge::batch_request& r)
{
  http::request ask;
  ask.method = "GET";
  ask.target = std::string{ peer_results_path } + r.id +
               "?after=" + std::to_string(r.after) +
               "&wait=" + std::to_string(r.wait_ms);
  http::exchange_options o;
  o.timeout_ms = r.wait_ms + peer_read_ms;
  o.connect_timeout_ms = peer_read_ms / 2;
  auto sent = std::make_shared<http::pending>();
  *sent =
    p.http.fetch(b.stored.owner_address,
                 ask,
                 o,
                 [self = shared_from_this(), caller, r](http::end_state end,
                                                        http::response&& a) {
                   if (end == http::end_state::complete && a.status == 200) {
                     caller.respond(answer(200, std::move(a.body)));
                     return;
                   }
                   self->read_from_store(caller, r);
                 });
  caller.on_gone([sent] { sent->cancel(); });
}

void
keeper::impl::read_from_store(const http::call& caller,
                              const edge::batch_request& r)
{
  auto* b = known(r.id);
  const auto now = http::now_ms();
  if (b == nullptr) {
    caller.respond(come_back(p.dialect));
    return;
  }
  if (now - b->looked_ms < chunk_look_ms &&
      b->ledger.listed.size() >= r.after) {
    respond_page(caller, *b, r.after);
    return;
  }
  // The look shows what stands when it begins, however late its answer is read.
  load_chunks(r.id, [self = shared_from_this(), caller, r, now](bool ok) {
    auto* found = self->known(r.id);
    if (found != nullptr && ok) {
      found->looked_ms = std::max(found->looked_ms, now);
    }
    // Without the store nothing is known of the positions behind ours.
    if (found == nullptr || (!ok && found->ledger.listed.size() <= r.after)) {
      caller.respond(come_back(self->p.dialect));
      return;
    }
    self->respond_page(caller, *found, r.after);
  });
}

} // namespace cactusford::batches
