#include "cactusford/store/shared_watches.h"

#include <algorithm>
#include <utility>

namespace cactusford::store {

namespace {

// Watches that the store holds for less only check for changes. Their answer is
// needed at once.
constexpr std::uint64_t min_joinable_hold_ms = 100;

bool
is_held_watch(const joinable_call& c)
{
  return !c.kind.empty() && c.since != 0 && c.held_ms >= min_joinable_hold_ms;
}

// Returns true if a watch may wait for the answer to another one: until that
// one is answered, nothing has changed since the older of the two revisions.
bool
may_wait_for(const joinable_call& watch, const joinable_call& other)
{
  return is_held_watch(watch) && is_held_watch(other) &&
         other.kind == watch.kind && other.since <= watch.since;
}

// Returns true if the answer to a watch from an older revision holds exactly
// what the given watch would return.
bool
answers(const answer_contents& contents, const joinable_call& watch)
{
  if (contents.is_history_gone) {
    return false;
  }
  return !contents.has_objects || contents.oldest_change > watch.since;
}

} // namespace

const shared_watches::answer*
shared_watches::find_recent(const joinable_call& call,
                            std::uint64_t now_ms) const
{
  const auto found =
    std::find_if(recent_.begin(), recent_.end(), [&](const auto& e) {
      const auto& a = e.second;
      const bool is_equivalent =
        e.first == call.request.target ||
        (may_wait_for(call, a.call) && answers(a.contents, call));
      return is_equivalent && now_ms - a.at_ms < reuse_ms;
    });
  return found == recent_.end() ? nullptr : &found->second;
}

shared_watches::call_in_flight*
shared_watches::find_in_flight(const joinable_call& call)
{
  const auto same = in_flight_.find(call.request.target);
  if (same != in_flight_.end()) {
    return &same->second;
  }
  const auto found =
    std::find_if(in_flight_.begin(), in_flight_.end(), [&](const auto& e) {
      return may_wait_for(call, e.second.call);
    });
  return found == in_flight_.end() ? nullptr : &found->second;
}

void
shared_watches::join(const joinable_call& call,
                     std::uint64_t now_ms,
                     origin from,
                     const call_starter& start_call,
                     handler done)
{
  if (const auto* a = find_recent(call, now_ms)) {
    done(http::exchange_outcome::complete, a->value, a->confirmed_ms);
    return;
  }
  waiter w{ call, from, start_call, std::move(done) };
  if (auto* other = find_in_flight(call)) {
    other->waiters.push_back(std::move(w));
    return;
  }
  wait(std::move(w));
}

// Waits for a call with the same target, which is started if there is none.
void
shared_watches::wait(waiter w)
{
  const auto start_call = w.start_call;
  const auto [entry, is_first] =
    in_flight_.try_emplace(w.call.request.target, call_in_flight{ w.call, {} });
  entry->second.waiters.push_back(std::move(w));
  if (is_first) {
    start_call();
  }
}

void
shared_watches::complete(const std::string& target,
                         std::uint64_t now_ms,
                         http::exchange_outcome end,
                         const http::response& r,
                         std::uint64_t confirmed_ms,
                         const answer_contents& contents)
{
  std::erase_if(recent_, [&](const auto& e) {
    return now_ms - e.second.at_ms >= reuse_ms;
  });
  const auto found = in_flight_.find(target);
  if (found == in_flight_.end()) {
    return;
  }
  const auto ended = std::move(found->second);
  in_flight_.erase(found);
  const bool is_complete = end == http::exchange_outcome::complete;
  if (is_complete && contents.has_objects) {
    recent_[target] = { ended.call, contents, now_ms, confirmed_ms, r };
  }
  for (const auto& w : ended.waiters) {
    const bool is_same = w.call.request.target == target;
    if (is_same || !is_complete || answers(contents, w.call)) {
      w.done(end, r, confirmed_ms);
    } else {
      wait(w);
    }
  }
}

std::vector<shared_watches::handler>
shared_watches::take_relayed_handlers()
{
  std::vector<handler> taken;
  for (auto& entry : in_flight_) {
    auto& waiters = entry.second.waiters;
    for (auto& w : waiters) {
      if (w.from == origin::relayed) {
        taken.push_back(std::move(w.done));
      }
    }
    std::erase_if(waiters,
                  [](const waiter& w) { return w.from == origin::relayed; });
  }
  return taken;
}

} // namespace cactusford::store
