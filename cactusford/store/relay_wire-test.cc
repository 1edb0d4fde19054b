#include "cactusford/store/relay_wire.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::store;

namespace {

constexpr auto complete = http::exchange_outcome::complete;

http::response
answer_of_relay(std::uint64_t asked_ms, std::uint64_t confirmed_ms)
{
  const relay_metadata metadata{ asked_ms, confirmed_ms, {} };
  return relayed_response(complete, { 200, {}, "b" }, metadata);
}

} // namespace

Test(relay_wire, encodes_and_decodes_a_call)
{
  relayed_call c;
  c.inner = { { "GET", "/things", {}, "b" }, 1300, 1000, "things", 7 };
  c.shared = true;
  c.accepts_packed = true;
  c.hops = 2;
  c.message = { { "x", 1 } };
  const auto r = encode(c);
  cr_assert_eq(r.target, relay_path);
  const auto read = relayed_call_from(r.body);
  cr_assert(read.has_value());
  cr_assert(*read == c);
  SECTION("the error for a malformed call names the field")
  {
    const auto broken = relayed_call_from(R"({"method": "GET"})");
    cr_assert_not(broken.has_value());
    cr_assert_eq(broken.fault.field, "target");
  }
}

// Guards against a view that counts as newer than it is, because the clocks of
// two instances differ or the connection between them is slow.
Test(relay_wire, determines_the_age_of_an_answer_without_comparing_clocks)
{
  SECTION("held for a second by a relay whose clock is far ahead")
  {
    const auto r = answer_of_relay(900000, 901000);
    cr_assert_eq(relay_confirmed_ms(r, 50, 5000), 1050);
  }
  SECTION("answer made before the relay received the call")
  {
    const auto r = answer_of_relay(900000, 899800);
    cr_assert_eq(relay_confirmed_ms(r, 500, 510), 300);
  }
  SECTION("clamped to the range from 0 to now")
  {
    cr_assert_eq(relay_confirmed_ms(answer_of_relay(0, 1000), 50, 60), 60);
    cr_assert_eq(relay_confirmed_ms(answer_of_relay(1000, 0), 50, 60), 0);
  }
  SECTION("an out-of-range number does not make the answer newer than now")
  {
    const http::response r{ 200,
                            { { "Confirmed-After-Ms", "9223372036854775807" } },
                            "" };
    cr_assert_eq(relay_confirmed_ms(r, 50, 60), 60);
  }
}

Test(relay_wire, treats_a_watch_without_changes_as_fully_held)
{
  cr_assert_eq(store_confirmed_ms(100, 1000, false, 5000), 1100);
  cr_assert_eq(store_confirmed_ms(100, 1000, true, 5000), 100);
  cr_assert_eq(store_confirmed_ms(100, 1000, false, 300), 300);
}

Test(relay_wire, reports_an_unreachable_store)
{
  using http::exchange_outcome;
  cr_assert(reports_store_unreachable(store_unreachable_response()));
  const auto not_sent = relayed_response(exchange_outcome::not_sent, {}, {});
  cr_assert_eq(not_sent.status, 503, "the call was not executed");
  const auto cut = relayed_response(exchange_outcome::connection_lost, {}, {});
  cr_assert_eq(cut.status, 504, "the call may have been executed");
  cr_assert(reports_store_unreachable(cut));
  cr_assert_not(
    reports_store_unreachable(relayed_response(complete, { 200, {}, "" }, {})));
}
