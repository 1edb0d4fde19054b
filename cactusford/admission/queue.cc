#include "cactusford/admission/queue.h"

#include <algorithm>

namespace cactusford::admission {

namespace {

constexpr double min_share = 0.001;

bool
is_active(const flow_state& f)
{
  return f.waiting > 0 || f.running > 0;
}

// Raises the virtual time of an idle flow to the lowest one of the active
// flows. With its old virtual time it would be served alone until it had caught
// up on the share that others used while it was idle.
void
raise_virtual_time(queue& q, flow_state& f)
{
  if (is_active(f)) {
    return;
  }
  std::optional<double> least;
  for (const auto& [name, other] : q.flows) {
    if (&other != &f && is_active(other)) {
      least = std::min(least.value_or(other.virtual_time), other.virtual_time);
    }
  }
  f.virtual_time = std::max(f.virtual_time, least.value_or(f.virtual_time));
}

std::pair<std::int64_t, std::uint64_t>
rollout_key(const queue& q, const waiting_call& c)
{
  const auto length = static_cast<std::int64_t>(c.expected_tokens);
  return { q.longest_first ? -length : 0, c.id };
}

} // namespace

int
tier_of(call_class c) noexcept
{
  return c == call_class::rollout ? 1 : 0;
}

bool
push(queue& q, const waiting_call& c)
{
  if (q.by_id.size() >= q.limit) {
    return false;
  }
  if (c.cls != call_class::rollout) {
    q.callers.emplace(std::pair{ tier_of(c.cls), c.id }, c);
  } else {
    auto& f = q.flows[c.flow];
    raise_virtual_time(q, f);
    f.share = std::max(c.share, min_share);
    ++f.waiting;
    q.rollouts[c.flow].emplace(rollout_key(q, c), c);
  }
  q.by_id.emplace(c.id, c);
  return true;
}

std::optional<waiting_call>
pop_caller(queue& q)
{
  if (q.callers.empty()) {
    return std::nullopt;
  }
  auto c = std::move(q.callers.begin()->second);
  q.callers.erase(q.callers.begin());
  q.by_id.erase(c.id);
  return c;
}

std::optional<waiting_call>
pop_rollout(queue& q)
{
  flow_state* best = nullptr;
  std::string name;
  for (auto& [flow, f] : q.flows) {
    const bool better = best == nullptr || f.virtual_time < best->virtual_time;
    if (f.waiting > 0 && better) {
      best = &f;
      name = flow;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  auto& calls = q.rollouts[name];
  auto c = std::move(calls.begin()->second);
  calls.erase(calls.begin());
  q.by_id.erase(c.id);
  --best->waiting;
  ++best->running;
  return c;
}

bool
remove(queue& q, std::uint64_t id)
{
  const auto found = q.by_id.find(id);
  if (found == q.by_id.end()) {
    return false;
  }
  const auto c = std::move(found->second);
  q.by_id.erase(found);
  if (c.cls != call_class::rollout) {
    q.callers.erase({ tier_of(c.cls), c.id });
  } else {
    q.rollouts[c.flow].erase(rollout_key(q, c));
    --q.flows[c.flow].waiting;
  }
  return true;
}

void
charge(queue& q, const std::string& flow, std::uint64_t tokens)
{
  auto& f = q.flows[flow];
  f.virtual_time += static_cast<double>(tokens) / f.share;
}

void
note_finished(queue& q, const std::string& flow)
{
  auto& f = q.flows[flow];
  f.running -= std::min<std::size_t>(f.running, 1);
}

std::size_t
size(const queue& q)
{
  return q.by_id.size();
}

} // namespace cactusford::admission
