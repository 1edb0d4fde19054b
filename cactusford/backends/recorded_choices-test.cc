#include "cactusford/backends/registry.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusford::backends;

namespace {

// Numbers that are the same on every platform.
struct sequence
{
  std::uint64_t state = 20261203;

  std::uint64_t next(std::uint64_t below)
  {
    constexpr std::uint64_t factor = 6364136223846793005;
    constexpr std::uint64_t increment = 1442695040888963407;
    constexpr unsigned low_bits = 33;
    state = state * factor + increment;
    return (state >> low_bits) % below;
  }

  double fraction()
  {
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(next(steps)) / steps;
  }
};

constexpr std::uint64_t data_centres = 3;
constexpr std::uint64_t servers = 24;

announcement
random_announcement(sequence& s)
{
  announcement a;
  const auto at = s.next(servers);
  a.id = "server-" + std::to_string(at);
  a.started_ms = 1 + s.next(2);
  a.service = at % 2 == 0 ? "engines" : "plain";
  a.address = "address-" + std::to_string(at);
  a.data_centre = "dc-" + std::to_string(at % data_centres);
  a.slots = static_cast<std::uint32_t>(1 + s.next(6));
  a.leaving = s.next(12) == 0;
  a.versions["m"] = 1 + s.next(3);
  return a;
}

void
change_something(registry& r, sequence& s, std::uint64_t now_ms)
{
  // No requests run on servers that are not listed.
  r.unlisted_runs.clear();
  announce(r, random_announcement(s));
  auto* b = find(r, "server-" + std::to_string(s.next(servers)));
  if (b == nullptr) {
    return;
  }
  b->in_flight = static_cast<std::uint32_t>(s.next(5));
  switch (s.next(6)) {
    case 0:
      note_failure(*b, now_ms);
      break;
    case 1:
      note_refusal(*b, "m", now_ms);
      break;
    case 2:
      note_load(*b, { std::uint32_t(s.next(6)), 0, 6 }, now_ms);
      break;
    case 3:
      note_pace(*b, 20 + double(s.next(60)), now_ms);
      break;
    case 4:
      note_success(*b, 10 + s.next(30));
      break;
    default:
      withdraw(r, b->info.id, now_ms);
  }
}

// Digest of the servers that are chosen while the registry changes.
std::uint64_t
digest_of_choices(registry r)
{
  constexpr std::uint64_t fnv_prime = 1099511628211;
  std::uint64_t digest = 14695981039346656037U;
  const auto add = [&](const backend* b) {
    for (const auto c : b == nullptr ? std::string{ "-" } : b->info.id) {
      digest = (digest ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
  };
  sequence s;
  std::uint64_t now_ms = 100'000;
  for (int i = 0; i < 4000; ++i) {
    now_ms += s.next(40);
    change_something(r, s, now_ms);
    call_needs call;
    call.service = "plain";
    call.data_centre = "dc-0";
    if (s.next(3) == 0) {
      call.tried = { "server-1", "server-3" };
    }
    add(choose_for_call(r, call, now_ms, s.fraction()));
    item_needs item;
    item.service = "engines";
    item.model = "m";
    item.min_version = s.next(3);
    item.data_centre = "dc-1";
    add(choose_for_item(r, item, now_ms));
    digest = (digest ^ (can_serve(r, item, now_ms) ? 1U : 0U)) * fnv_prime;
  }
  return digest;
}

// Recorded with the version before data centres were taken into account
// (309ead5).
constexpr std::uint64_t recorded_digest = 6095104237262589462U;

} // namespace

// Guards against other choices in a deployment without drain orders.
Test(recorded_choices, are_unchanged_where_no_order_is_in_force)
{
  SECTION("a deployment without orders")
  {
    const auto digest = digest_of_choices({});
    cr_assert_eq(digest, recorded_digest, "%zu", std::size_t{ digest });
  }
  SECTION("orders are watched, and there is none")
  {
    registry r;
    r.topology.drains.is_known = false;
    cactusford::data_centres::apply_list(r.topology.drains, {});
    cr_assert_eq(digest_of_choices(r), recorded_digest);
  }
  SECTION("the last order was removed")
  {
    registry r;
    auto& drains = r.topology.drains;
    cactusford::data_centres::apply_list(drains, { { "dc-0", 3 } });
    cr_assert_neq(digest_of_choices(r), recorded_digest);
    cactusford::data_centres::apply_change(drains, { "dc-0", 4, true });
    cr_assert_eq(digest_of_choices(r), recorded_digest);
  }
}
