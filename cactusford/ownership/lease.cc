#include "cactusford/ownership/lease.h"

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

namespace cactusford::ownership {

namespace {

constexpr std::uint32_t polls_per_duration = 3;
// Candidates of a later rank wait longer, so that two rarely write at once. If
// they do, the conditional write lets only one succeed.
constexpr std::uint64_t rank_delay_ms = 500;

// A call that is sent before the lease expires arrives within this time.
constexpr std::uint64_t act_margin_ms = 500;

bool
may_take_over(const lease_client& client,
              bool holder_listed,
              std::uint64_t now_ms)
{
  const auto unchanged_ms = now_ms - client.seen_since_ms;
  const auto delay_ms = client.rank * rank_delay_ms;
  if (client.seen.holder.empty() || client.seen.holder == client.self ||
      !holder_listed) {
    return unchanged_ms >= delay_ms;
  }
  return unchanged_ms >= client.duration_ms + delay_ms;
}

} // namespace

action
next_action(lease_client& client, bool holder_listed, std::uint64_t now_ms)
{
  client.write_sent_ms = client.busy ? client.write_sent_ms : now_ms;
  const auto interval = client.duration_ms / polls_per_duration;
  if (client.busy) {
    return action::none;
  }
  if (client.held && client.releasing) {
    client.busy = true;
    return action::release;
  }
  if (client.held) {
    if (now_ms - client.renewed_ms < interval) {
      return action::none;
    }
    client.busy = true;
    return action::renew;
  }
  if (client.releasing) {
    return action::none;
  }
  if (client.has_seen && may_take_over(client, holder_listed, now_ms)) {
    client.busy = true;
    return action::acquire;
  }
  if (!client.has_seen || now_ms - client.polled_ms >= interval) {
    client.busy = true;
    return action::read;
  }
  return action::none;
}

bool
may_act(const lease_client& client, std::uint64_t now_ms)
{
  return client.held && !client.releasing &&
         now_ms + act_margin_ms < client.confirmed_ms + client.duration_ms;
}

void
on_read(lease_client& client, const lease& l, std::uint64_t now_ms)
{
  client.busy = false;
  client.polled_ms = now_ms;
  if (!client.has_seen || l.version != client.seen.version) {
    client.seen = l;
    client.seen_since_ms = now_ms;
    client.has_seen = true;
  }
}

void
on_written(lease_client& client,
           action a,
           std::uint64_t version,
           std::uint64_t now_ms)
{
  client.busy = false;
  client.seen.version = version;
  client.seen_since_ms = now_ms;
  client.renewed_ms = now_ms;
  client.confirmed_ms = client.write_sent_ms;
  if (a == action::acquire) {
    client.seen.holder = client.self;
    client.seen.fence = version;
    client.held = true;
  } else if (a == action::release) {
    client.seen.holder.clear();
    client.held = false;
  }
}

void
on_unavailable(lease_client& client, std::uint64_t now_ms)
{
  client.busy = false;
  client.polled_ms = now_ms;
  client.renewed_ms = now_ms;
  // The write may have taken effect although its answer was lost, so the
  // version read before is not reliable any more.
  if (!client.held) {
    client.has_seen = false;
  }
}

void
on_conflict(lease_client& client)
{
  client.busy = false;
  client.held = false;
  client.has_seen = false;
}

std::string
to_spec(const lease& l)
{
  return nlohmann::json{ { "holder", l.holder }, { "fence", l.fence } }.dump();
}

lease
lease_from(std::uint64_t version, const std::string& spec)
{
  return lease_from(version, store::parse_message(spec));
}

lease
lease_from(std::uint64_t version, const nlohmann::json& spec)
{
  const auto read = store::try_decode([&] {
    return lease{ version,
                  store::string_field(spec, "holder"),
                  store::uint_field_or(spec, "fence", 0) };
  });
  auto l = read.value_or(lease{ version, std::string{ unreadable_holder }, 0 });
  // The acquiring write is stored before its version, and so its fencing token,
  // is known.
  if (l.fence == 0) {
    l.fence = version;
  }
  return l;
}

} // namespace cactusford::ownership
