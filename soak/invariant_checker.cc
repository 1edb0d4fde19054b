#include "soak/invariant_checker.h"

#include "standins/stream_engine.h"

#include <algorithm>

namespace cactusford::soak {

namespace {

// Once one reader has received a position, every reader must get it after the
// first limit. After the second, no item of a deleted batch may start. See
// docs/SOAK.md.
constexpr std::uint64_t visibility_limit_ms = 1000;
constexpr std::uint64_t cancel_limit_ms = 3000;

} // namespace

void
invariant_checker::add_violation(const std::string& rule,
                                 const std::string& what)
{
  violations_.push_back(rule + ": " + what);
}

void
invariant_checker::on_sent(const std::string& id,
                           const std::set<std::string>& items,
                           bool single_version)
{
  auto& b = batches_[id];
  b.items = items;
  b.single_version = single_version;
  for (const auto& i : items) {
    failed_runs_[i] = 0;
    batches_by_item_[i].push_back(id);
  }
}

void
invariant_checker::on_accepted(const std::string& id)
{
  batches_[id].accepted = true;
}

void
invariant_checker::on_refused(const std::string& id)
{
  batches_[id].refused = true;
}

// Each event must come from one of the versions that the result names. With a
// single version, that one must have generated every event.
void
invariant_checker::check_versions(const batch& b, const observed_result& r)
{
  if (b.single_version && r.versions.size() != 1) {
    add_violation("single",
                  r.item + " names " + std::to_string(r.versions.size()) +
                    " versions");
  }
  for (const auto& generated : event_versions_[r.item]) {
    const bool is_named = std::any_of(
      r.versions.begin(), r.versions.end(), [&](std::uint64_t version) {
        return generated.second.contains(version);
      });
    if (!is_named) {
      add_violation("attributed",
                    r.item + " names no version that generated event " +
                      std::to_string(generated.first));
      return;
    }
  }
}

void
invariant_checker::check_result(const std::string& id, const observed_result& r)
{
  ++results_;
  if (!batches_[id].items.contains(r.item)) {
    add_violation("mixed", id + " contains the foreign item " + r.item);
  }
  if (!r.done) {
    ++given_up_;
    if (failed_runs_[r.item] < attempts_per_item) {
      add_violation("lost", r.item + " was abandoned");
    }
    return;
  }
  check_versions(batches_[id], r);
  if (r.text != standins::stream_engine::text_of(r.item, events_per_item)) {
    add_violation("whole", r.item + " has the wrong text");
  }
  if (r.score != "sig-score-" + r.item) {
    add_violation("mixed", r.item + " has the wrong score " + r.score);
  }
}

void
invariant_checker::on_page(const std::string& id,
                           std::uint64_t asked_ms,
                           std::uint64_t now_ms,
                           std::size_t after,
                           const std::vector<observed_result>& page)
{
  auto& positions = batches_[id].positions;
  for (std::size_t n = 0; n < page.size(); ++n) {
    const auto at = after + n;
    if (at < positions.size()) {
      if (!(positions[at].result == page[n])) {
        add_violation(
          "once", id + " changed the result at position " + std::to_string(at));
      }
      continue;
    }
    const bool is_duplicate =
      std::any_of(positions.begin(), positions.end(), [&](const position& p) {
        return p.result.item == page[n].item;
      });
    if (is_duplicate) {
      add_violation("once", page[n].item + " is at two positions");
    }
    check_result(id, page[n]);
    positions.push_back({ page[n], now_ms });
  }
  const auto end = after + page.size();
  const bool is_missing =
    page.empty() && end < positions.size() &&
    asked_ms > positions[end].first_seen_ms + visibility_limit_ms;
  if (is_missing) {
    add_violation(
      "lost", id + " returned no result at position " + std::to_string(end));
  }
}

void
invariant_checker::on_missing(const std::string& id, std::uint64_t /*asked_ms*/)
{
  if (batches_[id].accepted) {
    add_violation("lost", id + " was accepted, but is not found");
  }
}

void
invariant_checker::on_ended(const std::string& id, std::uint64_t now_ms)
{
  auto& b = batches_[id];
  b.ended_ms = b.ended_ms == 0 ? now_ms : b.ended_ms;
}

void
invariant_checker::on_run(const std::string& item, std::uint64_t now_ms)
{
  const auto found = batches_by_item_.find(item);
  if (found == batches_by_item_.end()) {
    add_violation("unasked", item + " ran, but was never sent");
    return;
  }
  const auto& ids = found->second;
  const bool all_refused =
    std::all_of(ids.begin(), ids.end(), [&](const auto& id) {
      return batches_[id].refused;
    });
  if (all_refused) {
    add_violation("refused", item + " ran, but its batch was refused");
  }
  const bool all_over =
    std::all_of(ids.begin(), ids.end(), [&](const auto& id) {
      const auto& b = batches_[id];
      const bool has_ended =
        b.ended_ms != 0 && now_ms > b.ended_ms + cancel_limit_ms;
      return b.refused || has_ended;
    });
  if (all_over && !all_refused) {
    add_violation("unasked", item + " ran after its batch was deleted");
  }
}

void
invariant_checker::on_event(const std::string& item,
                            std::uint64_t event,
                            std::uint64_t version)
{
  event_versions_[item][event].insert(version);
}

void
invariant_checker::on_failed_run(const std::string& item)
{
  ++failed_runs_[item];
}

void
invariant_checker::on_idle_engine(const std::string& engine)
{
  add_violation("idle", engine + " got no item although items were waiting");
}

void
invariant_checker::on_call_answer(const std::string& id,
                                  int status,
                                  const std::string& body,
                                  const std::string& signature)
{
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  if (status == ok) {
    ++calls_answered_;
    if (body != "answer-" + id || signature != "sig-" + id) {
      add_violation("mixed", id + " got the wrong response " + body);
    }
  }
  if (status == unavailable) {
    calls_refused_.insert(id);
    if (call_runs_.contains(id)) {
      add_violation("refused", id + " was refused, but had run");
    }
  }
}

void
invariant_checker::on_call_run(const std::string& id)
{
  if (++call_runs_[id] > 1) {
    add_violation("twice", id + " ran more than once");
  }
  if (calls_refused_.contains(id)) {
    add_violation("refused", id + " was refused, but ran later");
  }
}

void
invariant_checker::on_drained(const std::string& data_centre,
                              std::uint64_t now_ms)
{
  drained_at_ms_.emplace(data_centre, now_ms);
}

void
invariant_checker::on_undrained(const std::string& data_centre)
{
  drained_at_ms_.erase(data_centre);
}

bool
invariant_checker::is_past_drain_limit(const std::string& data_centre,
                                       std::uint64_t now_ms) const
{
  const auto found = drained_at_ms_.find(data_centre);
  return found != drained_at_ms_.end() &&
         now_ms > found->second + limits_.drain_within_ms;
}

void
invariant_checker::on_late_request(const std::string& server,
                                   const std::string& request,
                                   const std::string& sender,
                                   bool sender_was_undisturbed)
{
  if (sender_was_undisturbed) {
    add_violation("drained",
                  server + " received " + request + " from " + sender +
                    " after its data centre was drained");
  }
}

void
invariant_checker::on_cold(const std::string& server, std::uint64_t until_ms)
{
  cold_servers_[server] = { until_ms, {} };
}

void
invariant_checker::on_request(const std::string& server, std::uint64_t now_ms)
{
  const auto found = cold_servers_.find(server);
  if (found == cold_servers_.end() || now_ms >= found->second.until_ms) {
    return;
  }
  constexpr std::uint64_t second_ms = 1000;
  auto& received = found->second.received_ms;
  received.push_back(now_ms);
  while (received.front() + second_ms <= now_ms) {
    received.pop_front();
  }
  busiest_cold_second_ = std::max(busiest_cold_second_, received.size());
  const auto limit =
    limits_.cold_per_second * limits_.cold_excess + limits_.cold_slack;
  if (static_cast<double>(received.size()) > limit) {
    add_violation("cold",
                  server + " received " + std::to_string(received.size()) +
                    " requests in a second while it was cold");
  }
}

std::size_t
invariant_checker::results_seen(const std::string& id) const
{
  const auto found = batches_.find(id);
  return found == batches_.end() ? 0 : found->second.positions.size();
}

void
invariant_checker::finish()
{
  for (const auto& [id, b] : batches_) {
    if (b.accepted && b.ended_ms == 0 && b.positions.size() != b.items.size()) {
      add_violation("lost",
                    id + " has " + std::to_string(b.positions.size()) + " of " +
                      std::to_string(b.items.size()) + " results");
    }
  }
}

} // namespace cactusford::soak
