#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Results are collected for this long before they are written, unless a group
// is complete: single results are of no use to the trainer yet, and each write
// is a call.
constexpr std::uint64_t collect_ms = 1500;

// A value in the store is limited to a megabyte; JSON escapes and member names
// add to the text.
constexpr std::size_t chunk_bytes = 500U << 10;
constexpr std::size_t page_bytes = 900U << 10;

// A trainer reads about twice a second. Results of complete groups are
// collected for this long until the trainer has as many groups as it waits for.
constexpr std::uint64_t group_collect_ms = 300;

// Minimum time between two writes that are made because a server's answer has
// ended an item. The first such result is written at once: if the owner crashed
// before, its successor would run the item again.
constexpr std::uint64_t rejection_collect_ms = 250;

// How much longer than its wait a read of results from the owner may take.
constexpr std::uint64_t peer_read_ms = 400;

// Minimum time between two checks by one instance for new chunks of a batch
// that it does not own.
constexpr std::uint64_t chunk_check_ms = 300;

} // namespace

// Writes the pending results if the trainer has the groups that it waits for,
// if all items are finished, if a server's answer has ended an item, or if
// results have waited long enough. Groups
// completed before the last required one do not affect when the step ends, so
// they share a write.
void
manager::impl::write_results_if_due(batch_state& b, std::uint64_t now)
{
  if (!b.owned || !b.loaded || b.listing_paused || b.ledger.writing != 0 ||
      b.ledger.pending.empty() || now < b.next_write_ms) {
    return;
  }
  const bool has_desired_groups =
    b.group_completed && b.complete_groups() >= b.submission.desired_groups;
  const bool group_waited_long =
    b.group_completed && now - b.group_completed_ms >= group_collect_ms;
  const bool results_waited_long =
    now - b.ledger.pending_since_ms >= collect_ms;
  const bool all_finished =
    b.ledger.pending.size() + b.ledger.listed.size() == b.stored.items;
  const bool has_rejection =
    b.has_rejected_item &&
    now - b.rejections_written_ms >= rejection_collect_ms;
  if (has_rejection) {
    b.rejections_written_ms = now;
  }
  if (has_desired_groups || group_waited_long || results_waited_long ||
      all_finished || has_rejection) {
    write_results(b);
  }
}

void
manager::impl::write_results(batch_state& b)
{
  b.group_completed = false;
  b.has_rejected_item = false;
  const auto results = begin_chunk(b.ledger, chunk_bytes);
  const auto id = b.stored.id;
  const auto chunk = b.ledger.chunks;
  store::call c;
  c.op = store::operation::create;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  const stored_chunk written{ b.epoch, results };
  c.body = encode_chunk(written);
  deps.store.perform(
    c, [self = shared_from_this(), id, chunk, written](store::reply&& r) {
      auto* current = self->find_batch(id);
      if (current == nullptr || current->ledger.chunks != chunk) {
        return;
      }
      if (r.result == store::call_result::done) {
        self->on_chunk(id, written);
        self->write_results_if_due(*current, http::now_ms());
        return;
      }
      if (!current->owned) {
        // The batch ended in the meantime. Only the store can tell whether this
        // chunk was written.
        current->complete = false;
        return;
      }
      if (r.result == store::call_result::conflict ||
          r.result == store::call_result::unknown) {
        self->resolve_unknown_write(id, chunk);
        return;
      }
      abandon_chunk(current->ledger);
      current->group_completed = true;
      current->next_write_ms = http::now_ms() + failed_pause_ms;
    });
}

// Reads what is stored for this chunk after a write without a clear outcome. If
// there is nothing yet, the lost write may still be applied; the next create
// would then get a conflict.
void
manager::impl::resolve_unknown_write(const std::string& id, std::uint64_t chunk)
{
  load_chunks(id, [self = shared_from_this(), id, chunk](bool) {
    auto* b = self->find_batch(id);
    if (b == nullptr || !b->owned) {
      return;
    }
    if (b->ledger.chunks == chunk) {
      mark_chunk_unknown(b->ledger);
    }
    b->mark_listed_finished();
    b->group_completed = true;
    if (b->ledger.chunks == chunk) {
      b->next_write_ms = http::now_ms() + failed_pause_ms;
    }
    self->write_results_if_due(*b, http::now_ms());
  });
}

void
manager::impl::on_chunk(const std::string& id, stored_chunk chunk)
{
  auto* b = find_batch(id);
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
    drop_ownership(*b, "fenced");
  }
}

void
manager::impl::respond_page(const http::call& c,
                            batch_state& b,
                            std::uint64_t after)
{
  // Many readers of one batch get their pages at once.
  if (deps.memory && !http::may_take_call(deps.memory->budget.answers)) {
    c.respond(retry_later(deps.dialect));
    return;
  }
  const auto page = page_of(b.ledger, b.stored.items, after, page_bytes);
  c.respond(answer(200, deps.dialect.encode_page(page)));
}

void
manager::impl::answer_readers(batch_state& b, std::uint64_t now)
{
  auto readers = std::move(b.readers);
  b.readers.clear();
  for (auto& r : readers) {
    const bool has_more = b.ledger.listed.size() > r.after;
    if (has_more || !b.owned || now >= r.until_ms ||
        (leaving && !b.runs_until_handover)) {
      answer_reader(r, b);
    } else if (r.caller.is_open()) {
      b.readers.push_back(std::move(r));
    }
  }
}

// An empty page states that there are no results after the reader's position.
// Only an owner can state that, and only if no write is in progress: the write
// may already be in the store, and others may have read it from there. If a
// trainer were shown fewer results than before, it would consider them lost.
void
manager::impl::answer_reader(const waiting_reader& r, batch_state& b)
{
  const bool has_more = b.ledger.listed.size() > r.after;
  const bool knows_all =
    b.complete || (b.owned && b.loaded && !b.listing_paused &&
                   !b.owner_unconfirmed && is_settled(b.ledger));
  if (has_more || knows_all) {
    respond_page(r.caller, b, r.after);
  } else {
    r.caller.respond(retry_later(deps.dialect));
  }
}

void
manager::impl::read_from_owner(const http::call& caller,
                               batch_state& b,
                               const edge::batch_request& r)
{
  http::request request;
  request.method = "GET";
  request.target = std::string{ peer_results_path } + r.id +
                   "?after=" + std::to_string(r.after) +
                   "&wait=" + std::to_string(r.wait_ms);
  http::exchange_options o;
  o.timeout_ms = r.wait_ms + peer_read_ms;
  o.connect_timeout_ms = peer_read_ms / 2;
  auto sent = std::make_shared<http::pending_request>();
  *sent = deps.http.fetch(
    b.stored.owner_address,
    request,
    o,
    [self = shared_from_this(), caller, r](http::exchange_outcome end,
                                           http::response&& a) {
      if (end == http::exchange_outcome::complete && a.status == 200) {
        caller.respond(answer(200, std::move(a.body)));
        return;
      }
      self->read_from_store(caller, r);
    });
  caller.on_disconnect([sent] { sent->cancel(); });
}

void
manager::impl::read_from_store(const http::call& caller,
                               const edge::batch_request& r)
{
  auto* b = find_batch(r.id);
  const auto now = http::now_ms();
  if (b == nullptr) {
    caller.respond(retry_later(deps.dialect));
    return;
  }
  if (now - b->chunks_checked_ms < chunk_check_ms &&
      b->ledger.listed.size() >= r.after) {
    respond_page(caller, *b, r.after);
    return;
  }
  // The read shows the state at the time it was started, however late its
  // answer is processed.
  load_chunks(r.id, [self = shared_from_this(), caller, r, now](bool ok) {
    auto* found = self->find_batch(r.id);
    if (found != nullptr && ok) {
      found->chunks_checked_ms = std::max(found->chunks_checked_ms, now);
    }
    // Without an answer from the store, nothing is known about the positions
    // after the last known result.
    if (found == nullptr || (!ok && found->ledger.listed.size() <= r.after)) {
      caller.respond(retry_later(self->deps.dialect));
      return;
    }
    self->respond_page(caller, *found, r.after);
  });
}

} // namespace cactusford::batches
