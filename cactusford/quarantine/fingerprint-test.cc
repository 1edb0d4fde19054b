#include "cactusford/quarantine/fingerprint.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::quarantine;

Test(quarantine, repeats_of_a_request_have_the_same_fingerprint)
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
  SECTION("any other part that a backend server reads changes it")
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
  SECTION("another key of the same workspace does not change it")
  {
    auto other = first;
    other.fields.push_back({ "Authorization", "Bearer k" });
    cr_assert_eq(fingerprint_of(first, "w"), fingerprint_of(other, "w"));
    cr_assert_neq(fingerprint_of(first, "w"), fingerprint_of(first, "v"));
  }
  SECTION("moving a boundary between two parts changes it")
  {
    cr_assert_neq(fingerprint_of({ "h", "GET", "/a", "", "b" }),
                  fingerprint_of({ "h", "GET", "/ab", "", "" }));
  }
}
