#include "cactusford/batches/keeper_impl.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// How often kept batches are looked through, and how many are removed then: a
// removal is some ten calls to the store.
constexpr std::uint64_t look_ms = 1000;
constexpr std::size_t removals_at_once = 2;

// The last owner removes a batch. If it is gone, another does, later.
constexpr std::uint64_t others_wait_ms = 60000;

} // namespace

// Ended batches are kept for as long as callers may read them. Without this the
// store and the memory of each entry would grow for ever.
void
keeper::impl::remove_expired(std::uint64_t now)
{
  if (now - last_expiry_look < look_ms || leaving) {
    return;
  }
  last_expiry_look = now;
  const auto wall = timeline::wall_ms();
  std::size_t begun = 0;
  for (auto& entry : batches) {
    auto& b = *entry.second;
    const bool mine = b.stored.owner == p.instance;
    const auto keep = p.keep_ms + (mine ? 0 : others_wait_ms);
    const bool expired = wall > b.stored.accepted_wall_ms + keep;
    if (b.stored.ended && expired && !b.removing && begun < removals_at_once) {
      b.removing = true;
      ++begun;
      remove_chunk(entry.first, 0);
    }
  }
}

// Chunks go in their order, then the kept text, then the submission, then
// the batch itself: what was cut short is found again by the batch that still
// stands.
void
keeper::impl::remove_chunk(const std::string& id, std::uint64_t chunk)
{
  store::call c;
  c.op = store::operation::remove;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  p.store.perform(c, [self = shared_from_this(), id, chunk](store::reply&& r) {
    if (r.result == store::call_result::done) {
      self->remove_chunk(id, chunk + 1);
    } else if (r.result == store::call_result::missing) {
      self->remove_rest(id);
    } else if (auto* b = self->known(id)) {
      b->removing = false;
    }
  });
}

void
keeper::impl::remove_rest(const std::string& id)
{
  store::call text;
  text.op = store::operation::remove;
  text.kind = progress_kind;
  text.name = id;
  p.store.perform(text, [self = shared_from_this(), id](store::reply&&) {
    const auto* b = self->known(id);
    const auto parts = b == nullptr ? 0 : b->stored.parts;
    self->remove_parts(id, 0, parts, [self, id](bool gone) {
      if (gone) {
        self->remove_head(id);
      } else if (auto* kept = self->known(id)) {
        kept->removing = false;
      }
    });
  });
}

void
keeper::impl::remove_head(const std::string& id)
{
  store::call batch;
  batch.op = store::operation::remove;
  batch.kind = batch_kind;
  batch.name = id;
  p.store.perform(batch, [self = shared_from_this(), id](store::reply&& r) {
    process::log_line(timeline::event{ "batch_removed" }
                        .with("batch", id)
                        .with("verdict", store::name_of(r.result)));
    const bool gone = r.result == store::call_result::done ||
                      r.result == store::call_result::missing;
    if (gone) {
      self->forget(id);
    } else if (auto* b = self->known(id)) {
      b->removing = false;
    }
  });
}

} // namespace cactusford::batches
