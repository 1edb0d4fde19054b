#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Text is kept once a run has lasted about a second, and again after each
// further second: with its owner at most that much is lost. Each write is a
// priced call; a step with stragglers makes some six of them.
constexpr std::uint64_t save_every_ms = 1000;
constexpr std::uint64_t least_run_ms = 900;

// A value of the store is a megabyte at most.
constexpr std::size_t saved_bytes = 600U << 10;

// Runs that have lasted long enough, within what one value holds.
progress
progress_of(const batch_state& b, std::uint64_t now, std::uint64_t least_ms)
{
  progress p;
  std::size_t bytes = 0;
  for (const auto& i : b.items) {
    const bool unfinished =
      i.stage == item_stage::running || i.stage == item_stage::waiting;
    const bool worth_it =
      i.text.events > 0 &&
      (i.stage == item_stage::waiting || now - i.started_ms >= least_ms);
    if (!unfinished || !worth_it) {
      continue;
    }
    bytes += i.text.text.size();
    if (bytes > saved_bytes) {
      break;
    }
    p[b.submission.items[i.index].id] = i.text;
  }
  return p;
}

} // namespace

void
keeper::impl::save_progress(batch_state& b, std::function<void()> done)
{
  const auto now = http::now_ms();
  b.saved_ms = now;
  // A leaving owner gives away all it has.
  const auto p = progress_of(b, now, leaving ? 0 : least_run_ms);
  if (p.empty()) {
    done();
    return;
  }
  b.saving = true;
  const auto id = b.stored.id;
  store::call c;
  c.op = b.has_saved ? store::operation::replace : store::operation::create;
  c.kind = progress_kind;
  c.name = id;
  c.body = encode_progress(p);
  this->p.store.perform(
    c, [self = shared_from_this(), id, done](store::reply&& r) {
      if (auto* now_known = self->known(id)) {
        now_known->saving = false;
        // Another owner may have written it before: then it is replaced.
        now_known->has_saved =
          (now_known->has_saved && r.result != store::call_result::missing) ||
          r.result == store::call_result::done ||
          r.result == store::call_result::conflict;
      }
      done();
    });
}

void
keeper::impl::maybe_save(batch_state& b, std::uint64_t now)
{
  if (!b.saving && now - b.saved_ms >= save_every_ms) {
    save_progress(b, [] {});
  }
}

void
keeper::impl::load_progress(const std::string& id, std::function<void()> done)
{
  store::call c;
  c.op = store::operation::get;
  c.kind = progress_kind;
  c.name = id;
  p.store.perform(c, [self = shared_from_this(), id, done](store::reply&& r) {
    auto* b = self->known(id);
    if (b != nullptr && r.result == store::call_result::done &&
        !r.items.empty()) {
      b->has_saved = true;
      const auto saved = decode_progress(r.items.front().spec);
      std::size_t used = 0;
      for (auto& i : b->items) {
        const auto found = saved.find(b->submission.items[i.index].id);
        if (i.stage == item_stage::waiting && found != saved.end() &&
            found->second.events > i.text.events) {
          i.text = found->second;
          ++used;
        }
      }
      process::log_line(timeline::event{ "progress_loaded" }
                          .with("batch", id)
                          .with("items", used));
    }
    done();
  });
}

} // namespace cactusford::batches
