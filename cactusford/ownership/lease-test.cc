#include "cactusford/ownership/lease.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>

using namespace cactusford::ownership;

namespace {

lease_client
candidate(const char* name, std::uint32_t rank)
{
  lease_client client;
  client.self = name;
  client.rank = rank;
  client.duration_ms = 9000;
  return client;
}

// Simulates the platform's conditional write.
bool
write(lease& stored, lease_client& client, action a, std::uint64_t now)
{
  if (client.seen.version != stored.version) {
    on_conflict(client);
    return false;
  }
  const auto fence = a == action::renew ? client.seen.fence : 0;
  ++stored.version;
  stored.holder = a == action::release ? "" : client.self;
  stored.fence = fence == 0 ? stored.version : fence;
  on_written(client, a, stored.version, now);
  return true;
}

} // namespace

// The owner is paused for longer than its lease, and another entry takes over.
// When the owner resumes, it believes that it still holds the lease: its next
// write conflicts, and until then its fencing token is the older one.
Test(lease, a_paused_owner_loses_to_a_newer_fence)
{
  lease stored;
  auto a = candidate("a", 0);
  auto b = candidate("b", 1);
  on_read(a, stored, 0);
  cr_assert(next_action(a, false, 0) == action::acquire);
  cr_assert(write(stored, a, action::acquire, 0));
  const auto old_fence = a.seen.fence;
  on_read(b, stored, 10);
  SECTION("while the lease is renewed nobody takes over")
  {
    cr_assert(next_action(a, true, 3000) == action::renew);
    write(stored, a, action::renew, 3000);
    cr_assert_eq(a.seen.fence, old_fence, "renewal keeps the fence");
    on_read(b, stored, 3100);
    cr_assert(next_action(b, true, 9600) == action::read);
    on_read(b, stored, 9600);
  }
  SECTION("an unchanged lease is taken over after its duration")
  {
    cr_assert(next_action(b, true, 3100 + 9000 + 500) == action::acquire);
    cr_assert(write(stored, b, action::acquire, 12600));
    cr_assert_gt(b.seen.fence, old_fence);
  }
  SECTION("the old owner's next write fails")
  {
    cr_assert(next_action(a, true, 20000) == action::renew);
    cr_assert(!write(stored, a, action::renew, 20000));
    cr_assert(!a.held);
  }
}

// The store stops answering a holder, and its lease expires: another instance
// takes over and acts. The holder does not learn of that, so it must have
// stopped by then, by its own clock.
Test(lease, a_holder_stops_before_another_can_begin)
{
  lease stored;
  auto a = candidate("a", 0);
  auto b = candidate("b", 0);
  on_read(a, stored, 0);
  cr_assert(next_action(a, false, 0) == action::acquire);
  cr_assert_not(may_act(a, 0));
  write(stored, a, action::acquire, 100);
  cr_assert(may_act(a, 100));
  // b sees the write as soon as it can have taken effect.
  on_read(b, stored, 1);
  std::uint64_t stopped_ms = 0;
  std::uint64_t took_over_ms = 0;
  for (std::uint64_t now = 100; took_over_ms == 0; now += 10) {
    if (next_action(a, true, now) != action::none) {
      on_unavailable(a, now);
    }
    stopped_ms = may_act(a, now) ? 0 : stopped_ms == 0 ? now : stopped_ms;
    if (next_action(b, true, now) == action::acquire) {
      took_over_ms = now;
    } else {
      on_read(b, stored, now);
    }
  }
  cr_assert_neq(stopped_ms, 0);
  cr_assert_lt(stopped_ms, took_over_ms);
  SECTION("a holder that releases the lease stops at once")
  {
    auto c = candidate("c", 0);
    on_read(c, {}, 0);
    next_action(c, false, 0);
    lease own;
    write(own, c, action::acquire, 0);
    c.releasing = true;
    cr_assert_not(may_act(c, 0));
  }
}

// The platform is down for longer than any lease. Nobody can take over, so the
// holder continues; a candidate must not trust what it read before the outage.
Test(lease, an_outage_changes_no_owner)
{
  lease stored;
  auto a = candidate("a", 0);
  on_read(a, stored, 0);
  next_action(a, false, 0);
  write(stored, a, action::acquire, 0);
  for (std::uint64_t now = 3000; now < 60000; now += 3000) {
    cr_assert(next_action(a, true, now) == action::renew);
    on_unavailable(a, now);
    cr_assert(a.held);
  }
}

// For any interleaving of reads, writes, lost answers and pauses: fencing
// tokens grow with every change of owner, and the newest one belongs to a
// single client.
Test(lease, property_fences_only_grow)
{
  const bool ok = rc::check("fences only grow", [] {
    lease stored;
    std::array<lease_client, 3> all{ candidate("a", 0),
                                     candidate("b", 1),
                                     candidate("c", 2) };
    std::uint64_t now = 0;
    std::uint64_t newest = 0;
    std::string owner;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 6)));
    for (const auto& [who, what] : steps) {
      auto& client = all.at(static_cast<std::size_t>(who));
      now += 1700;
      const auto a = next_action(client, true, now);
      if (a == action::none) {
        continue;
      }
      if (what == 0) {
        on_unavailable(client, now);
      } else if (a == action::read) {
        on_read(client, stored, now);
      } else if (write(stored, client, a, now) && a == action::acquire) {
        RC_ASSERT(client.seen.fence > newest);
        newest = client.seen.fence;
        owner = client.self;
      }
      for (const auto& other : all) {
        RC_ASSERT(!other.held || other.seen.fence < newest ||
                  other.self == owner);
      }
    }
  });
  cr_assert(ok);
}

// Guards against a process that ends when it reads a lease which another writer
// has overwritten, and against a lease that nobody takes over again.
Test(lease, is_taken_over_after_another_writer_overwrote_it)
{
  constexpr std::size_t deep = 400'000;
  for (const auto& spec : { std::string{},
                            std::string{ "7" },
                            std::string{ R"({"holder":7})" },
                            std::string{ R"({"holder":"a","fence":"x"})" },
                            std::string{ R"({"holder":"a","fence":-1})" },
                            std::string{ R"({"holder":"a","fence":1e30})" },
                            std::string(deep, '[') + std::string(deep, ']') }) {
    auto client = candidate("b", 0);
    on_read(client, lease_from(7, spec), 1000);
    cr_expect_eq(client.seen.fence, 7, "%.40s", spec.c_str());
    cr_expect(next_action(client, true, 1000) != action::acquire);
    client.busy = false;
    cr_expect(next_action(client, true, 1000 + client.duration_ms) ==
              action::acquire);
  }
}
