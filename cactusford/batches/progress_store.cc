#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <algorithm>
#include <utility>

namespace cactusford::batches {

namespace {

// Text is saved once a run has lasted about a second, and every second after
// that, so at most that much is lost with the owner. Each write is a billed
// call; a step with stragglers makes about six of them.
constexpr std::uint64_t save_interval_ms = 1000;
constexpr std::uint64_t min_run_ms = 900;

// A value in the store is limited to a megabyte.
constexpr std::size_t max_saved_bytes = 600U << 10;

// Keeps of the progress what fits into one value: what ends an item first, as
// it is short and the item must not run again, then results, then texts.
progress
fit_into_value(progress all)
{
  progress kept;
  kept.failures = std::move(all.failures);
  std::size_t bytes = 0;
  std::stable_partition(all.finished.begin(),
                        all.finished.end(),
                        [](const auto& r) { return !r.done; });
  for (auto& r : all.finished) {
    bytes += r.text.size();
    if (bytes > max_saved_bytes) {
      return kept;
    }
    kept.finished.push_back(std::move(r));
  }
  for (auto& [id, t] : all.texts) {
    bytes += t.text.size();
    if (bytes > max_saved_bytes) {
      break;
    }
    kept.texts[id] = std::move(t);
  }
  return kept;
}

// Returns true if the text may replace the known one of the same item.
bool
is_longer(const item_text& t, const item_text& known)
{
  return std::pair{ t.events, t.complete } >
         std::pair{ known.events, known.complete };
}

// Removes what an owner that goes on need not save: texts of runs that have not
// lasted long enough, and results that it lists within seconds.
void
remove_short_lived(progress& p, const batch_state& b, std::uint64_t now)
{
  std::erase_if(p.texts, [&](const auto& t) {
    const auto& i = b.items[b.index_of.at(t.first)];
    return i.stage == item_stage::running && now - i.started_ms < min_run_ms;
  });
  std::erase_if(p.finished, [](const auto& r) { return r.done; });
}

} // namespace

progress
collect_progress(const batch_state& b)
{
  progress p;
  p.finished = b.ledger.pending;
  for (const auto& i : b.items) {
    if (i.stage == item_stage::finished) {
      continue;
    }
    const auto& id = b.submission.items[i.index].id;
    if (i.text.events > 0) {
      p.texts[id] = i.text;
    }
    if (i.failed_runs + i.failed_scores > 0) {
      p.failures[id] = { i.failed_runs, i.failed_scores };
    }
  }
  return p;
}

// Complete texts still wait for their score; `score_complete_texts` starts
// that.
std::size_t
manager::impl::apply_progress(batch_state& b, progress&& p)
{
  const auto now = http::now_ms();
  const auto rule = version_rule_of(b);
  for (auto& r : p.finished) {
    const auto found = b.index_of.find(r.id);
    const bool is_rejected = !r.done;
    if (found != b.index_of.end() && add_result(b.ledger, std::move(r), now)) {
      b.has_rejected_item = b.has_rejected_item || is_rejected;
      b.items[found->second].stage = item_stage::finished;
      b.on_item_finished(found->second, now);
    }
  }
  std::size_t used = 0;
  for (auto& i : b.items) {
    const auto& id = b.submission.items[i.index].id;
    if (const auto failed = p.failures.find(id); failed != p.failures.end()) {
      i.failed_runs = std::max(i.failed_runs, failed->second.runs);
      i.failed_scores = std::max(i.failed_scores, failed->second.scores);
    }
    const auto text = p.texts.find(id);
    if (i.stage == item_stage::waiting && text != p.texts.end() &&
        is_longer(text->second, i.text) && is_admissible(text->second, rule)) {
      i.text = text->second;
      ++used;
    }
  }
  return used;
}

void
manager::impl::score_complete_texts(batch_state& b)
{
  for (auto& i : b.items) {
    if (i.stage == item_stage::waiting && i.text.complete &&
        is_admissible(i.text, version_rule_of(b))) {
      on_text_complete(b, i);
    }
  }
}

void
manager::impl::save_progress(batch_state& b,
                             bool is_handing_over,
                             std::function<void()> done)
{
  const auto now = http::now_ms();
  b.last_save_ms = now;
  // Before the batch is loaded, the stored progress of its previous owner says
  // more.
  auto all = b.loaded ? collect_progress(b) : progress{};
  if (!is_handing_over) {
    remove_short_lived(all, b, now);
  }
  const auto saved = fit_into_value(std::move(all));
  const bool has_news = !saved.texts.empty() || !saved.finished.empty() ||
                        saved.failures != b.saved_failures;
  if (is_empty(saved) || !has_news) {
    done();
    return;
  }
  b.saved_failures = saved.failures;
  b.saving = true;
  const auto id = b.stored.id;
  store::call c;
  c.op = b.has_stored_progress ? store::operation::replace
                               : store::operation::create;
  c.kind = progress_kind;
  c.name = id;
  c.body = encode_progress(saved);
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
    save_progress(b, false, [] {});
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
        auto saved = decode_progress(r.items.front().spec);
        const auto finished = saved.finished.size();
        const auto failed = saved.failures.size();
        const auto used = self->apply_progress(*b, std::move(saved));
        process::log_line(timeline::event{ "progress_loaded" }
                            .with("batch", id)
                            .with("items", used)
                            .with("finished", finished)
                            .with("failed", failed));
      }
      done();
    });
}

} // namespace cactusford::batches
