#include "cactusford/ownership/lease.h"

#include <nlohmann/json.hpp>

namespace cactusford::ownership {

namespace {

constexpr std::uint32_t polls_per_lease = 3;
// Candidates of a later rank wait longer, so that two rarely write at once. If
// they do, the conditional write lets only one succeed.
constexpr std::uint64_t rank_delay_ms = 500;

// A call that is sent before the lease expires arrives within this time.
constexpr std::uint64_t act_margin_ms = 500;

bool
may_take_over(const keeper& k, bool holder_listed, std::uint64_t now_ms)
{
  const auto unchanged = now_ms - k.seen_ms;
  const auto delay = k.rank * rank_delay_ms;
  if (k.seen.holder.empty() || k.seen.holder == k.self || !holder_listed) {
    return unchanged >= delay;
  }
  return unchanged >= k.duration_ms + delay;
}

} // namespace

action
begin(keeper& k, bool holder_listed, std::uint64_t now_ms)
{
  k.begun_ms = k.busy ? k.begun_ms : now_ms;
  const auto interval = k.duration_ms / polls_per_lease;
  if (k.busy) {
    return action::none;
  }
  if (k.held && k.releasing) {
    k.busy = true;
    return action::release;
  }
  if (k.held) {
    if (now_ms - k.renewed_ms < interval) {
      return action::none;
    }
    k.busy = true;
    return action::renew;
  }
  if (k.releasing) {
    return action::none;
  }
  if (k.has_seen && may_take_over(k, holder_listed, now_ms)) {
    k.busy = true;
    return action::acquire;
  }
  if (!k.has_seen || now_ms - k.polled_ms >= interval) {
    k.busy = true;
    return action::read;
  }
  return action::none;
}

bool
may_act(const keeper& k, std::uint64_t now_ms)
{
  return k.held && !k.releasing &&
         now_ms + act_margin_ms < k.confirmed_ms + k.duration_ms;
}

void
on_read(keeper& k, const lease& l, std::uint64_t now_ms)
{
  k.busy = false;
  k.polled_ms = now_ms;
  if (!k.has_seen || l.version != k.seen.version) {
    k.seen = l;
    k.seen_ms = now_ms;
    k.has_seen = true;
  }
}

void
on_written(keeper& k, action a, std::uint64_t version, std::uint64_t now_ms)
{
  k.busy = false;
  k.seen.version = version;
  k.seen_ms = now_ms;
  k.renewed_ms = now_ms;
  k.confirmed_ms = k.begun_ms;
  if (a == action::acquire) {
    k.seen.holder = k.self;
    k.seen.fence = version;
    k.held = true;
  } else if (a == action::release) {
    k.seen.holder.clear();
    k.held = false;
  }
}

void
on_unavailable(keeper& k, std::uint64_t now_ms)
{
  k.busy = false;
  k.polled_ms = now_ms;
  k.renewed_ms = now_ms;
  // The write may have taken effect although its answer was lost, so the
  // version read before is not reliable any more.
  if (!k.held) {
    k.has_seen = false;
  }
}

void
on_conflict(keeper& k)
{
  k.busy = false;
  k.held = false;
  k.has_seen = false;
}

std::string
to_spec(const lease& l)
{
  return nlohmann::json{ { "holder", l.holder }, { "fence", l.fence } }.dump();
}

lease
lease_from(std::uint64_t version, const std::string& spec)
{
  const auto j = nlohmann::json::parse(spec, nullptr, false);
  lease l;
  l.version = version;
  if (j.is_object()) {
    l.holder = j.value("holder", std::string{});
    l.fence = j.value("fence", std::uint64_t{ 0 });
  }
  // The acquiring write is stored before its version, and so its fencing token,
  // is known.
  if (l.fence == 0) {
    l.fence = version;
  }
  return l;
}

} // namespace cactusford::ownership
