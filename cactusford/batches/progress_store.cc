#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

// Text is saved once a run has lasted about a second, and every second after
// that, so at most that much is lost with the owner. Each write is a billed
// call; a step with stragglers makes about six of them.
constexpr std::uint64_t save_interval_ms = 1000;
constexpr std::uint64_t min_run_ms = 900;

// A value in the store is limited to a megabyte.
constexpr std::size_t max_saved_bytes = 600U << 10;

// Collects the text of runs that have lasted long enough, as far as it fits
// into one value.
progress
collect_progress(const batch_state& b,
                 std::uint64_t now,
                 std::uint64_t min_age_ms)
{
  progress texts;
  std::size_t bytes = 0;
  for (const auto& i : b.items) {
    const bool unfinished =
      i.stage == item_stage::running || i.stage == item_stage::waiting;
    const bool is_worth_saving =
      i.text.events > 0 &&
      (i.stage == item_stage::waiting || now - i.started_ms >= min_age_ms);
    if (!unfinished || !is_worth_saving) {
      continue;
    }
    bytes += i.text.text.size();
    if (bytes > max_saved_bytes) {
      break;
    }
    texts[b.submission.items[i.index].id] = i.text;
  }
  return texts;
}

} // namespace

void
manager::impl::save_progress(batch_state& b, std::function<void()> done)
{
  const auto now = http::now_ms();
  b.last_save_ms = now;
  // An owner that is shutting down hands over all text that it has.
  const auto texts = collect_progress(b, now, leaving ? 0 : min_run_ms);
  if (texts.empty()) {
    done();
    return;
  }
  b.saving = true;
  const auto id = b.stored.id;
  store::call c;
  c.op = b.has_stored_progress ? store::operation::replace
                               : store::operation::create;
  c.kind = progress_kind;
  c.name = id;
  c.body = encode_progress(texts);
  this->deps.store.perform(
    c, [self = shared_from_this(), id, done](store::reply&& r) {
      if (auto* current = self->find_batch(id)) {
        current->saving = false;
        // A conflict means that a previous owner created the object; the next
        // write replaces it.
        current->has_stored_progress =
          (current->has_stored_progress &&
           r.result != store::call_result::missing) ||
          r.result == store::call_result::done ||
          r.result == store::call_result::conflict;
      }
      done();
    });
}

void
manager::impl::save_progress_if_due(batch_state& b, std::uint64_t now)
{
  if (!b.saving && now - b.last_save_ms >= save_interval_ms) {
    save_progress(b, [] {});
  }
}

void
manager::impl::load_progress(const std::string& id, std::function<void()> done)
{
  store::call c;
  c.op = store::operation::get;
  c.kind = progress_kind;
  c.name = id;
  deps.store.perform(
    c, [self = shared_from_this(), id, done](store::reply&& r) {
      auto* b = self->find_batch(id);
      if (b != nullptr && r.result == store::call_result::done &&
          !r.items.empty()) {
        b->has_stored_progress = true;
        const auto saved = decode_progress(r.items.front().spec);
        std::size_t used = 0;
        for (auto& i : b->items) {
          const auto found = saved.find(b->submission.items[i.index].id);
          if (i.stage == item_stage::waiting && found != saved.end() &&
              found->second.events > i.text.events &&
              is_admissible(found->second, self->version_rule_of(*b))) {
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
