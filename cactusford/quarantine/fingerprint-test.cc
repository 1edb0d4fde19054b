#include "cactusford/quarantine/fingerprint.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::quarantine;

Test(quarantine, the_same_work_has_the_same_fingerprint)
{
  const http::request first{
    "POST",
    "/look/1?x=2",
    { { "Host", "h" }, { "Request-Id", "1" }, { "Deadline", "800" } },
    "body"
  };
  auto again = first;
  again.fields = { { "host", "h" }, { "Request-Id", "2" } };
  cr_assert_eq(fingerprint_of(first), fingerprint_of(again));
  cr_assert_eq(fingerprint_of(first).size(), fingerprint_digits);
  SECTION("whatever a backend server reads makes another")
  {
    auto other = first;
    other.body = "bodY";
    cr_assert_neq(fingerprint_of(first), fingerprint_of(other));
    other = first;
    other.target = "/look/1?x=3";
    cr_assert_neq(fingerprint_of(first), fingerprint_of(other));
    other = first;
    other.fields.push_back({ "Authorization", "Bearer k" });
    cr_assert_neq(fingerprint_of(first), fingerprint_of(other));
  }
  SECTION("two keys of one workspace do not")
  {
    auto other = first;
    other.fields.push_back({ "Authorization", "Bearer k" });
    cr_assert_eq(fingerprint_of(first, "w"), fingerprint_of(other, "w"));
    cr_assert_neq(fingerprint_of(first, "w"), fingerprint_of(first, "v"));
  }
  SECTION("and so does where one part ends and the next begins")
  {
    cr_assert_neq(fingerprint_of({ "h", "GET", "/a", "", "b" }),
                  fingerprint_of({ "h", "GET", "/ab", "", "" }));
  }
}
