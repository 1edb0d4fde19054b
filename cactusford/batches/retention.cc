#include "cactusford/batches/manager_impl.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// How often ended batches are checked for expiry, and how many are removed per
// check: each removal takes about ten calls to the store.
constexpr std::uint64_t expiry_check_ms = 1000;
constexpr std::size_t max_removals_per_check = 2;

// The last owner removes a batch. If that owner is gone, another instance
// removes the batch after this additional time.
constexpr std::uint64_t non_owner_delay_ms = 60000;

} // namespace

// Removes ended batches after the time during which callers may read them.
// Otherwise the store and the memory of each entry would grow without limit.
void
manager::impl::remove_expired(std::uint64_t now)
{
  if (now - last_expiry_check_ms < expiry_check_ms || leaving) {
    return;
  }
  last_expiry_check_ms = now;
  const auto wall = timeline::wall_ms();
  std::size_t begun = 0;
  for (auto& entry : batches) {
    auto& b = *entry.second;
    const bool is_owner = b.stored.owner == deps.instance;
    const auto retention_ms =
      deps.retention_ms + (is_owner ? 0 : non_owner_delay_ms);
    const bool expired = wall > b.stored.accepted_wall_ms + retention_ms;
    if (b.stored.ended && expired && !b.removing &&
        begun < max_removals_per_check) {
      b.removing = true;
      ++begun;
      remove_chunk(entry.first, 0);
    }
  }
}

// Removes the chunks in order, then the saved text, then the submission, and
// the batch object last. An interrupted removal is resumed because the batch
// object still exists.
void
manager::impl::remove_chunk(const std::string& id, std::uint64_t chunk)
{
  store::call c;
  c.op = store::operation::remove;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  deps.store.perform(c,
                     [self = shared_from_this(), id, chunk](store::reply&& r) {
                       if (r.result == store::call_result::done) {
                         self->remove_chunk(id, chunk + 1);
                       } else if (r.result == store::call_result::missing) {
                         self->remove_progress_and_parts(id);
                       } else if (auto* b = self->find_batch(id)) {
                         b->removing = false;
                       }
                     });
}

void
manager::impl::remove_progress_and_parts(const std::string& id)
{
  store::call text;
  text.op = store::operation::remove;
  text.kind = progress_kind;
  text.name = id;
  deps.store.perform(text, [self = shared_from_this(), id](store::reply&&) {
    const auto* b = self->find_batch(id);
    const auto parts = b == nullptr ? 0 : b->stored.parts;
    self->remove_parts(id, 0, parts, [self, id](bool gone) {
      if (gone) {
        self->remove_batch_object(id);
      } else if (auto* kept = self->find_batch(id)) {
        kept->removing = false;
      }
    });
  });
}

void
manager::impl::remove_batch_object(const std::string& id)
{
  store::call batch;
  batch.op = store::operation::remove;
  batch.kind = batch_kind;
  batch.name = id;
  deps.store.perform(batch, [self = shared_from_this(), id](store::reply&& r) {
    process::log_line(timeline::event{ "batch_removed" }
                        .with("batch", id)
                        .with("verdict", store::name_of(r.result)));
    const bool gone = r.result == store::call_result::done ||
                      r.result == store::call_result::missing;
    if (gone) {
      self->forget(id);
    } else if (auto* b = self->find_batch(id)) {
      b->removing = false;
    }
  });
}

} // namespace cactusford::batches
