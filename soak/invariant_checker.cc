#include "soak/invariant_checker.h"

#include "standins/stream_engine.h"

#include <algorithm>

namespace cactusford::soak {

namespace {

// A position that one reader got must be there for all this much later, and an
// ended batch must not run any more after the second: docs/SOAK.md.
constexpr std::uint64_t settle_ms = 1000;
constexpr std::uint64_t cancel_ms = 3000;

} // namespace

void
judge::broken(const std::string& rule, const std::string& what)
{
  violations_.push_back(rule + ": " + what);
}

void
judge::on_sent(const std::string& id, const std::set<std::string>& items)
{
  auto& b = batches_[id];
  b.items = items;
  for (const auto& i : items) {
    batch_of_[i] = id;
  }
}

void
judge::on_accepted(const std::string& id)
{
  batches_[id].accepted = true;
}

void
judge::on_refused(const std::string& id)
{
  batches_[id].refused = true;
}

void
judge::check_result(const std::string& id, const seen_result& r)
{
  ++results_;
  if (!batches_[id].items.contains(r.item)) {
    broken("mixed", id + " lists " + r.item);
  }
  if (!r.done) {
    broken("lost", r.item + " was given up");
    return;
  }
  if (r.text != standins::stream_engine::text_of(r.item, item_events)) {
    broken("whole", r.item + " has another text");
  }
  if (r.score != "sig-score-" + r.item) {
    broken("mixed", r.item + " has the score " + r.score);
  }
}

void
judge::on_page(const std::string& id,
               std::uint64_t asked_ms,
               std::uint64_t now_ms,
               std::size_t after,
               const std::vector<seen_result>& page)
{
  auto& all = batches_[id].positions;
  for (std::size_t n = 0; n < page.size(); ++n) {
    const auto at = after + n;
    if (at < all.size()) {
      if (!(all[at].result == page[n])) {
        broken("once", id + " changed position " + std::to_string(at));
      }
      continue;
    }
    const bool twice =
      std::any_of(all.begin(), all.end(), [&](const position& p) {
        return p.result.item == page[n].item;
      });
    if (twice) {
      broken("once", page[n].item + " stands at two positions");
    }
    check_result(id, page[n]);
    all.push_back({ page[n], now_ms });
  }
  const auto end = after + page.size();
  const bool denied = page.empty() && end < all.size() &&
                      asked_ms > all[end].first_seen_ms + settle_ms;
  if (denied) {
    broken("lost", id + " has nothing at position " + std::to_string(end));
  }
}

void
judge::on_missing(const std::string& id, std::uint64_t /*asked_ms*/)
{
  if (batches_[id].accepted) {
    broken("lost", id + " is unknown");
  }
}

void
judge::on_ended(const std::string& id, std::uint64_t now_ms)
{
  auto& b = batches_[id];
  b.ended_ms = b.ended_ms == 0 ? now_ms : b.ended_ms;
}

void
judge::on_run(const std::string& item, std::uint64_t now_ms)
{
  const auto found = batch_of_.find(item);
  if (found == batch_of_.end()) {
    broken("unasked", item + " was never sent");
    return;
  }
  const auto& b = batches_[found->second];
  if (b.refused) {
    broken("refused", item + " ran");
  }
  if (b.ended_ms != 0 && now_ms > b.ended_ms + cancel_ms) {
    broken("unasked", item + " ran after the end of its batch");
  }
}

void
judge::on_call_answer(const std::string& id,
                      int status,
                      const std::string& body,
                      const std::string& signature)
{
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  if (status == ok) {
    ++calls_answered_;
    if (body != "answer-" + id || signature != "sig-" + id) {
      broken("mixed", id + " got the answer " + body);
    }
  }
  if (status == unavailable) {
    calls_refused_.insert(id);
    if (call_runs_.contains(id)) {
      broken("refused", id + " had run");
    }
  }
}

void
judge::on_call_run(const std::string& id)
{
  if (++call_runs_[id] > 1) {
    broken("twice", id + " ran again");
  }
  if (calls_refused_.contains(id)) {
    broken("refused", id + " ran later");
  }
}

std::size_t
judge::shown(const std::string& id) const
{
  const auto found = batches_.find(id);
  return found == batches_.end() ? 0 : found->second.positions.size();
}

void
judge::finish()
{
  for (const auto& [id, b] : batches_) {
    if (b.accepted && b.ended_ms == 0 && b.positions.size() != b.items.size()) {
      broken("lost",
             id + " has " + std::to_string(b.positions.size()) + " of " +
               std::to_string(b.items.size()) + " results");
    }
  }
}

} // namespace cactusford::soak
